//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	coordination "olivearch/internal/coordination/client"
)

func init() { plays["lease-renewal"] = playLeaseRenewal }

// valve is a relay in front of a server. While it is shut, the server's answers are held back.
type valve struct {
	address string
	shut    atomic.Bool
}

func newValve(target string) (*valve, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &valve{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go v.relay(conn, target)
		}
	}()
	return v, nil
}

func (v *valve) relay(conn net.Conn, target string) {
	defer conn.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	go func() { _, _ = io.Copy(server, conn) }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := server.Read(buffer)
		for v.shut.Load() {
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			return
		}
		if _, err := conn.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// Lengths of the leases.
const (
	firstLease  = 30 * time.Second
	renewedFor  = 2 * time.Second
	secondLease = 5 * time.Second
	secondTries = 8 * time.Second
)

// playLeaseRenewal: a holder renews its lease for a shorter time, and the answer does not come in time. The lease that
// it has stays valid to its end. Nobody else may get the units meanwhile.
func playLeaseRenewal(set *stage) ([]string, error) {
	servers, err := set.cluster("k1", "k2", "k3")
	if err != nil {
		return nil, err
	}
	text, err := servers.operator("bound", "part", "1")
	set.note("operator: bound part 1: %s", strings.TrimSpace(text))
	if err != nil {
		return nil, err
	}
	relayed, valves := map[string]string{}, []*valve{}
	for name, address := range servers.voters {
		added, err := newValve(address)
		if err != nil {
			return nil, err
		}
		valves = append(valves, added)
		relayed[name] = added.address
	}
	first, second := coordination.New("first", relayed), coordination.New("second", servers.voters)
	defer first.Close()
	defer second.Close()
	held, err := set.acquire(first, "first", firstLease, nil)
	if err != nil {
		return nil, err
	}
	for _, shut := range valves {
		shut.shut.Store(set.trouble)
	}
	renewed, err := set.acquire(first, "first", renewedFor, held)
	switch {
	case err == nil:
		held = renewed
	case !errors.Is(err, coordination.ErrUncertain):
		return nil, err
	}
	for _, shut := range valves {
		shut.shut.Store(false)
	}
	return set.contend(second, held)
}

// contend asks for the unit that another holder has, until it is granted.
func (s *stage) contend(second *coordination.Client, held *coordination.Lease) ([]string, error) {
	for end := time.Now().Add(secondTries); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		got, err := s.acquire(second, "second", secondLease, nil)
		if err != nil {
			continue
		}
		now := time.Now()
		if held.Valid(now) && got.Valid(now) {
			return []string{fmt.Sprintf("two holders of one unit: the lease of first is valid for another %v",
				time.Until(held.Until).Round(time.Millisecond))}, nil
		}
		return nil, nil
	}
	if time.Until(held.Until) > 0 {
		return nil, nil
	}
	return nil, errors.New("second never got the lease")
}

// acquire asks for the unit, or renews a lease on it.
func (s *stage) acquire(
	from *coordination.Client, holder string, duration time.Duration, renewed *coordination.Lease,
) (*coordination.Lease, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, err := from.AcquireLease(ctx, "part", holder, 1, duration, renewed)
	kind := "asks for the unit"
	if renewed != nil {
		kind = "renews its lease"
	}
	if err != nil {
		s.note("%s %s for %v: %v", holder, kind, duration, err)
		return nil, err
	}
	s.note("%s %s for %v: granted under fence %d, valid for %v",
		holder, kind, duration, got.FencingToken, time.Until(got.Until).Round(time.Millisecond))
	return got, nil
}
