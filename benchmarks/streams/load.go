package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"olivearch/internal/standin/peers"
)

// through lets bodies through a peer, n at a time, and tells what that cost it.
func through(p *peers.Peer, direction string, n int, gb float64) (s stream, err error) {
	size := int(gb*1e9) / n
	before, err := p.CPU()
	if err != nil {
		return s, err
	}
	began := time.Now()
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { errs[i] = one(p.Address, direction, size) })
	}
	wg.Wait()
	took := time.Since(began)
	after, err := p.CPU()
	if err = errors.Join(append(errs, err)...); err != nil {
		return s, err
	}
	s.Memory, err = p.Resident()
	moved := float64(size*n) / 1e9
	s.CPU, s.Rate = (after-before).Seconds()/moved, moved/took.Seconds()
	return s, err
}

// one lets one body through, and wants all of it.
func one(address, direction string, size int) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(40 * time.Second))
	if direction == "upload" {
		fmt.Fprintf(c, "POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		for left := size; left > 0; {
			n, err := c.Write(filling[:min(left, len(filling))])
			if err != nil {
				return err
			}
			left -= n
		}
	} else {
		fmt.Fprintf(c, "GET /down?%d HTTP/1.1\r\nHost: x\r\n\r\n", size)
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 256<<10), nil)
	if err != nil {
		return err
	}
	got, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, resp.Body, make([]byte, 256<<10))
	if direction == "download" && err == nil && got != int64(size) {
		err = fmt.Errorf("%d of %d bytes came", got, size)
	}
	if resp.StatusCode != http.StatusOK {
		err = errors.Join(err, fmt.Errorf("answered %s", resp.Status))
	}
	return err
}

// tunnels are what was seen of idle ones.
type tunnels struct {
	Open   int     `json:"open"`
	Memory float64 `json:"kib_each"`
	CPU    float64 `json:"cpu_ms_each"` // to open one
}

// hold opens idle tunnels through each peer.
func (r *result) hold(all *peers.Set, idle int) error {
	for _, p := range all.All {
		t, err := open(p, idle)
		if err != nil {
			return fmt.Errorf("%s, %d tunnels: %w", p.Name, idle, err)
		}
		fmt.Fprintf(os.Stderr, "%-9s %d idle tunnels: %.1f KiB each, %.2f ms of CPU each\n", p.Name, t.Open, t.Memory, t.CPU)
		r.Tunnels[p.Name] = t
	}
	return nil
}

func open(p *peers.Peer, idle int) (t tunnels, err error) {
	memory, err := p.Resident()
	if err != nil {
		return t, err
	}
	cpu, err := p.CPU()
	if err != nil {
		return t, err
	}
	for range idle {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return t, err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(c, "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: echo\r\n\r\n")
		in := bufio.NewReaderSize(c, 512)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return t, err
		}
		if resp.StatusCode != http.StatusSwitchingProtocols {
			return t, fmt.Errorf("tunnel %d: %s", t.Open, resp.Status)
		}
		io.WriteString(c, "word")
		if _, err := io.ReadFull(in, make([]byte, len("word"))); err != nil {
			return t, err
		}
		t.Open++
	}
	after, err := p.Resident()
	if err != nil {
		return t, err
	}
	used, err := p.CPU()
	t.Memory, t.CPU = (after-memory)*1024/float64(idle), float64((used-cpu).Microseconds())/1000/float64(idle)
	return t, err
}

// slowClients are ordinary requests without and beside clients that send a byte a second.
type slowClients struct {
	Clients   int     `json:"slow_clients"`
	Alone     float64 `json:"p99_ms_alone"`
	P99       float64 `json:"p99_ms_beside"`
	NotServed int     `json:"not_served"`
}

const (
	slowCount  = 1000
	ordinary   = 100
	asksWithin = 3 * time.Second
)

func besideSlow(p *peers.Peer) (s slowClients, err error) {
	if s.Alone, _, err = ask(p.Address); err != nil {
		return s, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for range slowCount {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return s, err
		}
		s.Clients++
		go func() {
			defer c.Close()
			for _, b := range []byte("POST /up HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n") {
				if _, err := c.Write([]byte{b}); err != nil {
					return // it has been turned away
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	s.P99, s.NotServed, err = ask(p.Address)
	fmt.Fprintf(os.Stderr, "ordinary requests: p99 %.2f ms alone, %.2f ms beside %d slow clients, %d not served\n", s.Alone, s.P99, s.Clients, s.NotServed)
	return s, err
}

// ask lets ordinary clients ask, each ten times a second, and returns the 99th percentile of their latency.
func ask(address string) (p99 float64, wrong int, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var times []time.Duration
	end := time.Now().Add(asksWithin)
	for i := range ordinary {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			c, cerr := net.Dial("tcp", address)
			if cerr != nil {
				mu.Lock()
				defer mu.Unlock()
				err = cerr
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(20 * time.Second))
			in := bufio.NewReader(c)
			for next := time.Now(); next.Before(end); next = next.Add(100 * time.Millisecond) {
				time.Sleep(time.Until(next))
				io.WriteString(c, "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx")
				resp, rerr := http.ReadResponse(in, nil)
				if rerr == nil {
					_, rerr = io.Copy(io.Discard, resp.Body)
				}
				mu.Lock()
				times = append(times, time.Since(next))
				if rerr != nil || resp.StatusCode != http.StatusOK {
					wrong++
				}
				mu.Unlock()
				if rerr != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	if err != nil {
		return 0, wrong, err
	}
	slices.Sort(times)
	return float64(times[len(times)*99/100].Microseconds()) / 1000, wrong, nil
}
