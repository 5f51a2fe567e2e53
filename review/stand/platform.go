//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Platform starts the project's own programs, as DEPLOY says, in a temporary folder.
type Platform struct {
	Root, Folder string
	record       *Record
	run          string // of deploy/balancer.toml

	mu        sync.Mutex
	processes []*Process
}

// Process is a program that the platform has started.
type Process struct {
	Name  string
	cmd   *exec.Cmd
	ended chan struct{}
	mu    sync.Mutex
	over  bool
	err   error
}

// NewPlatform reads the deploy file of the project at root.
func NewPlatform(record *Record, root string) (*Platform, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run")
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Platform{Root: root, Folder: folder, record: record, run: string(run[1])}, nil
}

// Balancer starts a balancer by the deploy file's run, with further variables of the environment.
func (p *Platform) Balancer(name string, env ...string) (*Process, error) {
	return p.Start(name, p.run, env...)
}

// Start starts a shell command from the root. It is killed if this process ends.
func (p *Platform) Start(name, command string, env ...string) (*Process, error) {
	log, err := os.Create(filepath.Join(p.Folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.Root, log, log
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.Folder}, env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := &Process{Name: name, cmd: cmd, ended: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.record.Line("platform: %s started: %s", name, command)
	go func() {
		err := cmd.Wait()
		started.mu.Lock()
		started.over, started.err = true, err
		started.mu.Unlock()
		p.record.Line("platform: %s has ended: %v", name, cmd.ProcessState)
		close(started.ended)
	}()
	p.mu.Lock()
	p.processes = append(p.processes, started)
	p.mu.Unlock()
	return started, nil
}

// Signal sends a signal to a process that this platform has started and that has not ended.
func (p *Platform) Signal(to *Process, signal syscall.Signal) {
	to.mu.Lock()
	defer to.mu.Unlock()
	if !to.over {
		to.cmd.Process.Signal(signal)
	}
	p.record.Line("platform: %v sent to %s", signal, to.Name)
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Log returns what a process has written.
func (p *Platform) Log(name string) string {
	text, _ := os.ReadFile(filepath.Join(p.Folder, name+".log"))
	return string(text)
}

// Close kills all processes that are left and removes the folder. With KEEP set in the environment it stays.
func (p *Platform) Close() {
	p.mu.Lock()
	all := p.processes
	p.mu.Unlock()
	for _, process := range all {
		select {
		case <-process.ended:
			continue
		default:
		}
		process.mu.Lock()
		if !process.over {
			process.cmd.Process.Signal(syscall.SIGCONT)
			process.cmd.Process.Kill()
		}
		process.mu.Unlock()
		<-process.ended
	}
	for _, process := range all {
		p.record.Line("log of %s:\n%s", process.Name, p.Log(process.Name))
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(p.Folder)
	}
}

// Ports of processes: below those that systems usually give to outgoing connections, so that none of these takes one
// while its process is down.
const (
	firstPort = 12000
	ports     = 18000
)

var givenPorts sync.Map

// FreeAddress returns a loopback address with a free port, and each only once.
func FreeAddress() string {
	for range 1000 {
		port := firstPort + rand.IntN(ports)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		if _, given := givenPorts.LoadOrStore(port, true); !given {
			return address
		}
	}
	panic("no port is free")
}

// Config writes a balancer's configuration file and returns its path. The settings are those of a small deployment:
// one class, unsafe to repeat, wanted within 250 ms and given up after 750 ms.
func (p *Platform) Config(name, listen, discovery string, known List, changes ...func(settings map[string]any)) (string, error) {
	config := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": map[string]any{
			"az": "baires", "balancers": 1, "rank": 0, "membership_mode": "on_request", "weights": "nominal", "worth_by": "work",
			"limits": map[string]any{
				"max_attempts": 5, "cancel": true, "probes": false, "second_copies": false, "retry_after": false,
				"connect_timeout_us": 120000, "keepalive_us": 60000000,
			},
			"obligations": map[string]any{
				"ask_within_us": 10000000, "answer_slack_us": 0, "cold_from": 0.33, "ramp_time_us": 9000000,
				"tip_after_us": 1500000, "tip_multiple": 3, "drain_grace_us": 1000000,
			},
			"profiles": []map[string]any{{
				"name": "checkin", "target_us": 250000, "give_up_us": 750000, "repeat": "non_idempotent", "worth": 1,
			}},
			"reporting": map[string]any{"via": "piggyback"},
		},
	}
	for _, change := range changes {
		change(config["settings"].(map[string]any))
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.Folder, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// Command sends one line to a management address and returns the answer.
func Command(address, line string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "%s\n", line)
	answer, err := io.ReadAll(conn)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(answer))
}

// AwaitStatus waits until a balancer's management address answers status with +OK.
func AwaitStatus(address string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if strings.HasPrefix(Command(address, "status"), "+OK") {
			return true
		}
	}
	return false
}

// AwaitHealthy waits until a balancer answers GET /healthz with 200.
func AwaitHealthy(address string, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + address + "/healthz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no balancer at %s is ready", address)
}
