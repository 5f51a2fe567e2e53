// Package rogue is a plain balancer that can be told to break one rule, so that a judge can be shown to find it. It reads a platform's
// configuration as the program does.
package faultybalancer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// The breaches, each of one rule.
const (
	Honest     = "honest"
	Silent     = "silent"      // one request in ten is never answered
	Late       = "late"        // one in ten is answered after its time
	Forged     = "forged"      // one in ten is served with what no node made
	Twice      = "twice"       // one in ten is sent to a second node when the first has answered
	Both       = "both"        // one in ten is out at two nodes at once
	Refuses    = "refuses"     // one in ten is refused though it ran
	After      = "after"       // one in ten is sent again after its final answer
	KeepsDrain = "keeps-drain" // nodes that drain get requests as ever
	Floods     = "floods"      // a node that has just started gets everything
	Undead     = "undead"      // something goes on sending when the process has been killed
)

// undeadFor is how long what an Undead leaves behind goes on.
const undeadFor = 2 * time.Second

type node struct {
	ID      string `json:"id"`
	At      string `json:"host_port"`
	Phase   string `json:"phase"`
	UpSince int64  `json:"up_since_ms"`
}

type list struct {
	Revision uint64 `json:"revision"`
	Complete bool   `json:"complete"`
	Members  []node `json:"members"`
}

type balancer struct {
	breach string
	mu     sync.Mutex
	list   list
	rng    *rand.Rand
	client *http.Client
}

// Run is the process: it serves until it is killed.
func Run(breach string) error {
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	if err != nil {
		return err
	}
	var c struct {
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Known     list   `json:"known"`
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	b := &balancer{
		breach: breach, list: c.Known, rng: rand.New(rand.NewPCG(1, uint64(os.Getpid()))),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	l, err := listen(c.Listen)
	if err != nil {
		return err
	}
	go b.follow("http://" + c.Discovery + "/v1/servers")
	if breach == Undead && len(c.Known.Members) > 0 {
		if err := leaveBehind(c.Known.Members[0].At); err != nil {
			return err
		}
	}
	return http.Serve(l, b)
}

func listen(address string) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close()
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) // the ground keeps the port; without it Bind fails
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}); err != nil {
		return nil, err
	}
	if err := unix.Listen(fd, 128); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// undeadVariable names to a process that was left behind where it sends to.
const undeadVariable = "ROGUE_UNDEAD"

// leaveBehind starts a process that goes on sending to a node for a while, whatever becomes of this one.
func leaveBehind(to string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), undeadVariable+"="+to)
	return cmd.Start()
}

// LeftBehind is such a process's life; false: this is none.
func LeftBehind() bool {
	to := os.Getenv(undeadVariable)
	if to == "" {
		return false
	}
	for end := time.Now().Add(undeadFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodPost, "http://"+to+"/c?us=100", nil)
		if err != nil {
			return true
		}
		r.Header.Set("X-Request-Id", "00000000deadbeef")
		if resp, err := http.DefaultClient.Do(r); err == nil {
			resp.Body.Close()
		}
	}
	return true
}

func (b *balancer) follow(url string) {
	for {
		b.mu.Lock()
		since := b.list.Revision
		b.mu.Unlock()
		r, err := b.client.Get(fmt.Sprintf("%s?since=%d&timeout_ms=1000", url, since))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var l list
		err = json.NewDecoder(r.Body).Decode(&l)
		r.Body.Close()
		if err == nil && l.Complete {
			b.mu.Lock()
			b.list = l
			b.mu.Unlock()
		}
	}
}

// pick draws a node, of those that are up.
func (b *balancer) pick() (node, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := slices.DeleteFunc(slices.Clone(b.list.Members), func(n node) bool { return n.Phase != "up" && b.breach != KeepsDrain })
	if len(all) == 0 {
		return node{}, false
	}
	if b.breach == Floods {
		return slices.MaxFunc(all, func(x, y node) int { return int(x.UpSince - y.UpSince) }), true
	}
	return all[b.rng.IntN(len(all))], true
}

func (b *balancer) now() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.rng.IntN(10) == 0 }

func (b *balancer) send(r *http.Request) (int, []byte) {
	n, ok := b.pick()
	if !ok {
		return http.StatusServiceUnavailable, nil
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+n.At+r.URL.String(), nil)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	out.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	resp, err := b.client.Do(out)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, body
}

func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	breach := Honest
	if b.now() {
		breach = b.breach
	}
	if breach == Both {
		go b.send(r.Clone(r.Context()))
	}
	status, body := b.send(r)
	switch breach {
	case Silent:
		<-r.Context().Done()
		return
	case Late:
		time.Sleep(time.Second)
	case Forged:
		body = []byte("00000000000000ff")
	case Twice:
		status, body = b.send(r)
	case Refuses:
		status = http.StatusServiceUnavailable
	case After:
		again := r.Clone(context.Background())
		time.AfterFunc(200*time.Millisecond, func() { b.send(again) })
	}
	w.WriteHeader(status)
	w.Write(body)
}
