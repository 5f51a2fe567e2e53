//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["keyed-upload"] = playKeyedUpload }

// keyed is a class whose requests have an Idempotency-Key. All upstreams together drop repeats for keyWindow.
const keyed = `{"name":"checkin","target_us":2000000,"give_up_us":3000000,"group":"all","late_worth":0.0,` +
	`"memory_span_us":1000000,"repeat":"idempotency_key","stream":false,"worth":1.0}`

const (
	keyWindow  = time.Second
	keySlack   = 50 * time.Millisecond // each time limit on sockets is so much longer
	keyedBytes = 1100000               // read ahead as a whole: 64 KiB and 1 MiB more are
	cutFor     = 1300 * time.Millisecond
	keyedTime  = 3 * time.Second
	// segment is that of a connection over Ethernet, and receiveBuffer a small one of an upstream's choice. On loopback
	// segments have 64 KiB, and the system would take a body of 1 MiB from the balancer at once where nothing is read.
	segment       = 1460
	receiveBuffer = 16 << 10
)

// keyMemory is what all upstreams remember together.
type keyMemory struct {
	stage   *stage
	trouble bool

	mu    sync.Mutex
	seen  map[string]time.Time // when a key first ran
	runs  []time.Time          // of the request
	began int                  // upstreams that have had its first bytes
	// written is what the balancer had written of the second attempt at the end of the window, of all that it wrote.
	written, all int
	failed       error // of the look at the system's buffers
}

// begin counts an upstream that gets the first bytes of the request, and returns how many were there before.
func (k *keyMemory) begin() (before int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.began++
	return k.began - 1
}

// windowEnd returns the end of the window in which the key that ran first is remembered.
func (k *keyMemory) windowEnd() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runs[0].Add(keyWindow + keySlack)
}

// watch notes at the end of the window how many bytes of the second attempt the balancer has written: those that were
// read here, and those that the system still holds on either side of the connection.
func (k *keyMemory) watch(conn net.Conn, counted *countingReader) {
	time.Sleep(time.Until(k.windowEnd()))
	held, err := heldBySystem(conn)
	read := int(counted.read.Load())
	k.mu.Lock()
	k.written, k.failed = read+held, err
	k.mu.Unlock()
	k.stage.note("end of the window: %d bytes of the second attempt read, %d held by the system, %v", read, held, err)
}

// run runs a request, unless its key is remembered.
func (k *keyMemory) run(server, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if first, ok := k.seen[key]; ok && now.Sub(first) <= keyWindow+keySlack {
		k.stage.note("upstream %s: a repeat of %s, dropped", server, key)
		return
	}
	if _, ok := k.seen[key]; !ok {
		k.seen[key] = now
	}
	k.runs = append(k.runs, now)
	k.stage.note("upstream %s: its last byte has come, %s runs", server, key)
}

// serve serves the requests on a connection. The first upstream that gets the request runs it and resets the
// connection; the one that gets it next is cut off from the balancer in the middle of it.
func (k *keyMemory) serve(conn net.Conn, server string) {
	defer conn.Close()
	counted := &countingReader{from: conn}
	request, err := http.ReadRequest(bufio.NewReaderSize(counted, 4096))
	if err != nil {
		return
	}
	before := k.begin()
	k.stage.note("upstream %s: the first bytes of the request", server)
	if k.trouble && before > 0 {
		go k.watch(conn, counted)
		time.Sleep(cutFor)
		k.stage.note("upstream %s: the cut of %v ends", server, cutFor)
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		k.stage.note("upstream %s: the request ends before its last byte: %v", server, err)
		return
	}
	k.run(server, request.Header.Get("Idempotency-Key"))
	if before == 0 {
		time.Sleep(50 * time.Millisecond)
		k.stage.note("upstream %s: resets the connection", server)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	k.mu.Lock()
	k.all = int(counted.read.Load())
	k.mu.Unlock()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nchecked in")
}

// countingReader counts the bytes that it has read.
type countingReader struct {
	from io.Reader
	read atomic.Int64
}

func (c *countingReader) Read(into []byte) (count int, err error) {
	count, err = c.from.Read(into)
	c.read.Add(int64(count))
	return count, err
}

// heldBySystem returns how many bytes on their way to conn the system holds, by /proc/net/tcp: those that conn has not
// read, and those of the other side that have not come here.
func heldBySystem(conn net.Conn) (held int, err error) {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	found := false
	port := func(address net.Addr) string { return fmt.Sprintf(":%04X", address.(*net.TCPAddr).Port) }
	here, there := port(conn.LocalAddr()), port(conn.RemoteAddr())
	for _, line := range strings.Split(string(table), "\n") {
		fields := strings.Fields(line) // number, local and remote address, state, queues in hexadecimal
		if len(fields) < 5 {
			continue
		}
		var sending, receiving int
		if _, err := fmt.Sscanf(fields[4], "%X:%X", &sending, &receiving); err != nil {
			continue
		}
		switch {
		case strings.HasSuffix(fields[1], here) && strings.HasSuffix(fields[2], there):
			held += receiving
			found = true
		case strings.HasSuffix(fields[1], there) && strings.HasSuffix(fields[2], here):
			held += sending
		}
	}
	if !found {
		return 0, errors.New("the connection is not in /proc/net/tcp")
	}
	return held, nil
}

// listenAsEthernet listens with segment and receiveBuffer.
func listenAsEthernet() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			if failed == nil {
				failed = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			}
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// upstreams starts two upstreams.
func (k *keyMemory) upstreams() (servers []*upstream, err error) {
	for number := range 2 {
		listener, err := listenAsEthernet()
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("s-%08d", number+1)
		servers = append(servers, &upstream{id: name, address: listener.Addr().String()})
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go k.serve(conn, name)
			}
		}()
	}
	return servers, nil
}

// playKeyedUpload: a keyed request with a long body has run, and the connection is reset. It is sent again within the
// window of repeats, and in the middle of that nothing passes for a while. Its last byte may not be sent after the
// window.
func playKeyedUpload(set *stage) ([]string, error) {
	memory := &keyMemory{stage: set, trouble: set.trouble, seen: map[string]time.Time{}}
	servers, err := memory.upstreams()
	if err != nil {
		return nil, err
	}
	source, err := set.discovery("A", 41, servers...)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := set.writeConfig(keyed, listen, source.address, source.list())
	if err != nil {
		return nil, err
	}
	if _, err := set.balancer("balancer", config); err != nil {
		return nil, err
	}
	caller, err := dial(listen)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	text := head("keyed-0001", keyedTime, keyedBytes)
	text = strings.Replace(text, "\r\n\r\n", "\r\nIdempotency-Key: key-0001\r\n\r\n", 1)
	if _, err := io.WriteString(caller.conn, text+strings.Repeat("x", keyedBytes)); err != nil {
		return nil, err
	}
	set.note("client: has written the last byte of keyed-0001")
	status, err := caller.answer(keyedTime + time.Second)
	set.note("client: request keyed-0001 answered %d, %v", status, err)
	time.Sleep(time.Second)
	return memory.judge()
}

// judge returns a break if the key ran twice, and the balancer had not written all of the second attempt at the end of
// the window.
func (k *keyMemory) judge() ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failed != nil || len(k.runs) < 2 || k.written >= k.all {
		return nil, k.failed
	}
	return []string{fmt.Sprintf("key-0001 ran %d times, %v apart; %d of the %d bytes of the second attempt were written "+
		"after the window of %v", len(k.runs), k.runs[1].Sub(k.runs[0]), k.all-k.written, k.all, keyWindow)}, nil
}
