package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"olivearch/internal/capacity"
	"olivearch/internal/faulttest/process"
	"olivearch/internal/procstat"
	"olivearch/internal/standin/loopnodes"
	"olivearch/internal/standin/scripted"
)

// balancer is a process of "olivearch serve" with its site.
type balancer struct {
	*process.Process
	site   *capacity.Site
	places capacity.Places
	config string // its file
	log    *lines
	edit   capacity.Edit
	turn   int  // of the node that is up in the first service
	other  bool // a node of the largest service drains
	client *http.Client
}

// prepare writes what a balancer reads.
func (r *rig) prepare(name string, size capacity.Size, folders int) (*balancer, error) {
	site, err := capacity.New(size, r.seed)
	if err != nil {
		return nil, err
	}
	listen, err := free()
	if err != nil {
		return nil, err
	}
	folder := filepath.Join(r.folder, name)
	b := &balancer{
		site: site, log: &lines{came: make(chan struct{})}, config: filepath.Join(folder, "olivearch.yaml"),
		places: capacity.Places{Listen: listen, Lists: filepath.Join(folder, "lists"), Folders: folders, Node: r.nodes.At},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	if err := site.WriteLists(&b.places, b.word); err != nil {
		return nil, err
	}
	return b, b.write()
}

// word is what the lists say: of the first service one node is up at a time.
func (b *balancer) word(node int) capacity.Word {
	if first := b.site.Services[0]; node < first.Nodes && node != b.turn {
		return capacity.Draining
	}
	return capacity.Up
}

func (b *balancer) write() error {
	return capacity.Replace(b.config, b.site.Config(&b.places, b.edit))
}

// start starts the process, and returns how long it took until it answered a request.
func (b *balancer) start(ctx context.Context, r *rig, within time.Duration) (ready time.Duration, err error) {
	cmd := exec.Command(r.program, "serve", "--config", b.config)
	cmd.Stderr = b.log
	began := time.Now()
	if b.Process, err = r.group.Start(cmd); err != nil {
		return 0, err
	}
	for end := began.Add(within); ; {
		if status, _, err := b.ask(Nobody, "", max(time.Millisecond, time.Until(end))); err == nil {
			if status != http.StatusNotFound {
				return 0, fmt.Errorf("a host that has no route is answered %d", status)
			}
			return time.Since(began), nil
		}
		select {
		case <-b.Ended():
			return 0, fmt.Errorf("it ended: %v; %s", b.Failure(), b.log.last())
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("it answers nothing within %v; %d lines of log, the last: %s", within, b.log.count(), b.log.last())
		}
	}
}

// Nobody is a host that no route has.
const Nobody = "nobody.svc.example.org"

// ask sends one request, and returns the answer's status and the node that gave it.
func (b *balancer) ask(host, tenant string, within time.Duration) (status int, node string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.places.Listen+"/", nil)
	if err != nil {
		return 0, "", err
	}
	req.Host = host
	if tenant != "" {
		req.Header.Set("X-Tenant", tenant)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(loopnodes.NodeField), nil
}

// cpu is the CPU time that it has used.
func (b *balancer) cpu() time.Duration {
	d, err := procstat.CPU(b.ID())
	if err != nil {
		return 0
	}
	return d
}

// stop ends the process and waits for it.
func (b *balancer) stop() {
	b.client.CloseIdleConnections()
	if b.Process != nil {
		b.Kill()
		<-b.Ended()
	}
	os.RemoveAll(filepath.Dir(b.config))
}

// Log messages of a balancer at the end of a reload.
const (
	configurationReloaded    = "configuration reloaded"
	configurationNotReloaded = "configuration not reloaded"
)

// reload lets it read its configuration again, and returns how long it took until that was in force.
func (b *balancer) reload(within time.Duration) (time.Duration, error) {
	began, from := time.Now(), b.log.count()
	if err := b.write(); err != nil {
		return 0, err
	}
	if err := b.signal(syscall.SIGHUP); err != nil {
		return 0, err
	}
	line, err := b.log.await(from, within, configurationReloaded, configurationNotReloaded)
	if err != nil {
		return 0, err
	}
	if strings.Contains(line, configurationNotReloaded) {
		return 0, errors.New(line)
	}
	return time.Since(began), nil
}

func (b *balancer) signal(s syscall.Signal) error { return syscall.Kill(b.ID(), s) }

// lines keeps the count and the last lines of a log, and lets others wait for one.
type lines struct {
	mu   sync.Mutex
	part []byte
	kept []string
	n    int
	came chan struct{} // closed at the next line
}

const linesKept = 64

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.part = append(l.part, p...)
	for {
		i := bytes.IndexByte(l.part, '\n')
		if i < 0 {
			return len(p), nil
		}
		l.kept, l.n = append(l.kept, string(l.part[:i])), l.n+1
		l.kept, l.part = l.kept[max(0, len(l.kept)-linesKept):], l.part[i+1:]
		close(l.came)
		l.came = make(chan struct{})
	}
}

func (l *lines) count() int { l.mu.Lock(); defer l.mu.Unlock(); return l.n }

func (l *lines) last() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.kept) == 0 {
		return "(none)"
	}
	return l.kept[len(l.kept)-1]
}

// await returns the first line after the first from ones that has one of the texts.
func (l *lines) await(from int, within time.Duration, texts ...string) (string, error) {
	end := time.After(within)
	for {
		l.mu.Lock()
		for i, line := range l.kept {
			if l.n-len(l.kept)+i < from {
				continue
			}
			for _, text := range texts {
				if strings.Contains(line, text) {
					l.mu.Unlock()
					return line, nil
				}
			}
		}
		came := l.came
		l.mu.Unlock()
		select {
		case <-came:
		case <-end:
			return "", fmt.Errorf("no line with %q within %v; the last: %s", texts[0], within, l.last())
		}
	}
}

// free finds a port for a process that takes no port of the system's.
func free() (string, error) {
	address, _, err := scripted.Reserve() // for as long as this process lives
	return address, err
}
