package experiment

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"olivearch/internal/config"
	"olivearch/internal/endpointlist"
	"olivearch/internal/scenario"
	"olivearch/internal/service"
	"olivearch/internal/standin/plainproxy"
)

// Role is the command-line word with which this program starts itself as a contender: ROLE NAME FOLDER CAP QUEUE SEED. The
// folder has the nodes' list and, for olivearch, the configuration.
const Role = "contender"

// readyIn is how long a contender may take to listen.
const readyIn = 10 * time.Second

const (
	listFile   = "nodes.yaml"
	configFile = "olivearch.yaml"
)

// Contend runs one contender until it is told to end, and prints where it listens.
func Contend(args []string, out io.Writer) error {
	if len(args) != 5 {
		return errors.New("a contender wants NAME FOLDER CAP QUEUE SEED")
	}
	name, folder := args[0], args[1]
	var o plainproxy.Options
	if _, err := fmt.Sscan(strings.Join(args[2:], " "), &o.Cap, &o.Queue, &o.Seed); err != nil {
		return fmt.Errorf("a contender's cap, queue and seed: %w", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if name == scenario.Olivearch {
		return olivearch(ctx, filepath.Join(folder, configFile), out)
	}
	if name != scenario.Reverse {
		o.Picker = name
	}
	p, err := plainproxy.New(o)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	list := filepath.Join(folder, listFile)
	go endpointlist.Watch(ctx, list, time.Second, p.List, func(error) {}) // a bad list changes nothing; it ends with the process
	server := &http.Server{Handler: p}
	go func() { <-ctx.Done(); server.Close() }()
	fmt.Fprintln(out, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// olivearch serves a configuration as "olivearch serve" does.
func olivearch(ctx context.Context, path string, out io.Writer) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	service.LimitMemory(c)
	service.FinishConfigLoad(c)
	s, err := service.Start(c, "experiment")
	if err != nil {
		return err
	}
	fmt.Fprintln(out, s.Address(c.Listeners[0].Address), s.AdminAddress())
	select {
	case <-ctx.Done():
		s.Stop()
	case err = <-s.Failed():
	}
	return err
}

// process is a contender that runs.
type process struct {
	cmd            *exec.Cmd
	address, admin string
}

// start starts a contender and waits until it listens. Program is olivearch's own binary; if empty, this program serves the
// configuration itself.
func start(f *scenario.File, name, folder, program string, seed uint64) (*process, error) {
	p := &process{}
	if name == scenario.Olivearch && program != "" {
		return startProgram(f, folder, program)
	}
	if name == scenario.Olivearch {
		if err := os.WriteFile(filepath.Join(folder, configFile), []byte(f.Config("127.0.0.1:0", "127.0.0.1:0", "{file: "+listFile+"}")), 0o600); err != nil {
			return nil, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(self, Role, name, folder, fmt.Sprint(f.Connections), fmt.Sprint(f.Queue), fmt.Sprint(seed))
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", f.Threads), RoleVariable+"=1")
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	told := make(chan string, 1)
	go func() {
		line, _ := bufio.NewReader(out).ReadString('\n') // nothing if it ends before
		told <- line
	}()
	select {
	case line := <-told:
		if fields := strings.Fields(line); len(fields) > 0 {
			p.address = fields[0]
			p.admin = strings.Join(fields[1:], "")
			return p, nil
		}
	case <-time.After(readyIn):
	}
	p.stop()
	return nil, fmt.Errorf("contender %s does not listen", name)
}

// RoleVariable is set for contenders, so that a test's binary knows that it is one.
const RoleVariable = "OLIVEBENCH_CONTENDER"

// startProgram starts a build of olivearch.
func startProgram(f *scenario.File, folder, program string) (*process, error) {
	var addresses [2]string
	for i := range addresses { // it does not print where it listens
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses[i] = l.Addr().String()
		l.Close()
	}
	path := filepath.Join(folder, configFile)
	if err := os.WriteFile(path, []byte(f.Config(addresses[0], addresses[1], "{file: "+listFile+"}")), 0o600); err != nil {
		return nil, err
	}
	p := &process{address: addresses[0], admin: addresses[1]}
	return p, p.run(exec.Command(program, "serve", "--config", path), f.Threads)
}

// run starts a program and waits until its address answers.
func (p *process) run(cmd *exec.Cmd, threads int) error {
	p.cmd = cmd
	p.cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", threads))
	if err := p.cmd.Start(); err != nil {
		return err
	}
	for end := time.Now().Add(readyIn); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.address); err == nil {
			return c.Close()
		}
	}
	p.stop()
	return fmt.Errorf("%s does not listen at %s", cmd.Path, p.address)
}

func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	ended := make(chan struct{})
	go func() { p.cmd.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		p.cmd.Process.Kill()
		<-ended
	}
}
