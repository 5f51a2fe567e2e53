package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	// accepted is how an operators' command that was carried out is answered, alone or with a note behind it.
	accepted = "+OK"
	// commandTimeout bounds one operators' command.
	commandTimeout = 5 * time.Second
	// balancerName is the balancer's in its configuration. Its hot-restart socket is named after it.
	balancerName = "n0"
)

// balancerConfig is a platform's configuration file; the listener's and discovery's addresses are filled in. Requests
// wait for up to 8 s for an upstream, so that a slow machine loses none between two operators' commands.
const balancerConfig = `{"name":"` + balancerName + `","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"az":"z1","balancers":1,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":100000,"keepalive_us":60000000},
"obligations":{"ask_within_us":10000000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,
"tip_multiple":3},
"profiles":[{"name":"c","target_us":8000000,"give_up_us":9000000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}}`

// balancerSite is where a balancer runs: processes that take over from each other share it.
type balancerSite struct {
	folder     string // of its files, and of its hot-restart socket
	configPath string
	listen     string   // address for clients
	variables  []string // further ones of the environment
}

// newBalancerSite makes a folder with a balancer's configuration.
func newBalancerSite(folder, discovery string) (*balancerSite, error) {
	own, err := os.MkdirTemp(folder, "balancer-")
	if err != nil {
		return nil, fmt.Errorf("making a balancer's folder: %w", err)
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	site := &balancerSite{folder: own, configPath: filepath.Join(own, "config.json"), listen: listen}
	text := fmt.Sprintf(balancerConfig, listen, discovery)
	if err := os.WriteFile(site.configPath, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("writing a balancer's configuration: %w", err)
	}
	return site, nil
}

// socketPath is where a process of this site waits for one that takes over.
func (s *balancerSite) socketPath() string {
	return filepath.Join(s.folder, "olivearch-"+balancerName+".sock")
}

// balancer is a running balancer.
type balancer struct {
	*process
	commands string // address for operators' commands
}

// start starts a balancer of a version. It returns once that says that it serves.
func (s *balancerSite) start(ctx context.Context, chosen version) (*balancer, error) {
	commands, err := freeAddress()
	if err != nil {
		return nil, err
	}
	variables := append([]string{
		"RELAY_CONFIG=" + s.configPath, "RELAY_MANAGEMENT=" + commands, "RELAY_DISCOVERY=", "TMPDIR=" + s.folder,
	}, s.variables...)
	running, err := start(s.folder, variables, chosen.balancer)
	if err != nil {
		return nil, err
	}
	started := &balancer{process: running, commands: commands}
	if err := started.await(ctx, "status"); err != nil {
		return nil, errors.Join(fmt.Errorf("%w; its log ends with: %s", err, running.tail()), running.stop())
	}
	return started, nil
}

// await gives an operators' command until it is accepted.
func (b *balancer) await(ctx context.Context, line string) error {
	return poll(ctx, line, func(ctx context.Context) error { return b.command(ctx, line) })
}

// command gives an operators' command. An answer other than acceptance is an error.
func (b *balancer) command(ctx context.Context, line string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", b.commands)
	if err != nil {
		return fmt.Errorf("giving the command %q: %w", line, err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(commandTimeout)); err != nil {
		return fmt.Errorf("giving the command %q: %w", line, err)
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return fmt.Errorf("giving the command %q: %w", line, err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("waiting for the answer to %q: %w", line, err)
	}
	if !strings.HasPrefix(string(answer), accepted) {
		return fmt.Errorf("the command %q is answered %q", line, strings.TrimSpace(string(answer)))
	}
	return nil
}
