//go:build review

package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stage is what a case has: its record, a temporary folder and the processes that it started.
type stage struct {
	trouble bool
	folder  string // temporary
	start   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File // of the record
	processes []*process
}

func newStage(recordPath string, trouble bool) (*stage, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return nil, err
	}
	s := &stage{
		trouble: trouble, folder: folder, start: time.Now(), record: bufio.NewWriter(record), file: record,
	}
	s.note("trouble: %v", trouble)
	return s, nil
}

// note writes a line to the record and to standard output, with the seconds since the start.
func (s *stage) note(format string, args ...any) { fmt.Print(s.log(format, args...)) }

// log writes a line to the record alone, and returns it.
func (s *stage) log(format string, args ...any) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = s.record.WriteString(line)
	return line
}

// close ends the record.
func (s *stage) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.record.Flush()
	_ = s.file.Close()
}

// end kills the processes that still run and removes the temporary folder. With KEEP set the folder stays.
func (s *stage) end() {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	}
}

// process is a process of the project.
type process struct {
	stage *stage
	name  string
	cmd   *exec.Cmd
	admin string        // address of the operators' commands; empty: none
	ended chan struct{} // closed once the process has ended
}

// launch starts a program of the project. Its log goes to a file in the temporary folder.
func (s *stage) launch(name string, env []string, command ...string) (*process, error) {
	logFile, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{stage: s, name: name, cmd: cmd, ended: make(chan struct{})}
	s.processes = append(s.processes, p)
	s.note("process %s starts", name)
	go func() {
		_ = cmd.Wait()
		s.note("process %s has ended: %v", name, cmd.ProcessState)
		close(p.ended)
	}()
	return p, nil
}

// balancer starts a platform's balancer and waits until it is ready.
func (s *stage) balancer(name, config string, env ...string) (*process, error) {
	p, err := s.newProcess(name, config, env...)
	if err != nil {
		return nil, err
	}
	return p, p.awaitReady()
}

// newProcess starts a platform's balancer by the command of the deploy file, with an address for operators.
func (s *stage) newProcess(name, config string, env ...string) (*process, error) {
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	all := append([]string{"RELAY_CONFIG=" + config, "TMPDIR=" + s.folder, "RELAY_MANAGEMENT=" + admin}, env...)
	p, err := s.launch(name, all, "/bin/sh", "-c", "exec bin/olivearch")
	if err != nil {
		return nil, err
	}
	p.admin = admin
	return p, nil
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *process) signal(sig syscall.Signal) {
	if !p.hasEnded() {
		_ = p.cmd.Process.Signal(sig)
	}
}

// command sends an operators' command and returns the answer.
func (p *process) command(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "%s\n", line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer), err
}

// operator sends a command and notes the answer.
func (p *process) operator(line string) (string, error) {
	answer, err := p.command(line)
	p.stage.note("operator to %s: %s: %s", p.name, line, answer)
	return answer, err
}

// awaitReady waits until status is answered with +OK.
func (p *process) awaitReady() error {
	return until(10*time.Second, p.name+" is ready", func() bool {
		answer, err := p.command("status")
		ok := err == nil && strings.HasPrefix(answer, "+OK")
		if ok {
			p.stage.note("operator to %s: status: %s", p.name, answer)
		}
		return ok
	})
}

// until polls a condition.
func until(limit time.Duration, what string, condition func() bool) error {
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("not within %v: %s", limit, what)
		}
	}
	return nil
}

// The ports of processes lie below those that the system gives to outgoing connections: no such connection takes one
// between the look for it and the start of its process.
const (
	firstPort = 12000
	portCount = 18000
)

// freeAddress returns an address of the loopback interface on which nothing listens.
func freeAddress() (string, error) {
	var last error
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
		last = err
	}
	return "", last
}
