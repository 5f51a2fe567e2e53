package server

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// What followers cost at rest, in one process with one voter: CPU of both sides, heap, and how long a word takes until all have it.
//
//	go test -run - -bench Followers -benchtime 1x ./internal/coordination/server
func BenchmarkFollowers(b *testing.B) {
	for _, n := range []int{0, 100, 300, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				followed(b, n)
			}
		})
	}
}

func followed(b *testing.B, n int) {
	const rest = 5 * time.Second
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addresses := map[string]string{"k1": l.Addr().String()}
	ctx, cancel := context.WithCancel(b.Context())
	v, err := New(Config{Name: "k1", Address: addresses["k1"], Voters: addresses, Folder: b.TempDir(), ReplaceAfter: 2 * time.Second}, l)
	if err != nil {
		b.Fatal(err)
	}
	var all sync.WaitGroup
	all.Go(func() {
		if err := v.Run(ctx); err != nil {
			b.Error(err)
		}
	})
	defer all.Wait()
	defer cancel()
	c := client.New("test", addresses)
	defer c.Close()
	within, end := context.WithTimeout(b.Context(), 30*time.Second)
	defer end()
	say := func(i int) {
		if _, err := c.Propose(within, &state.SetOverride{Subject: state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: fmt.Sprintf("s-%08x", i)}, By: "test", Reason: "disk swap"}); err != nil {
			b.Fatal(err)
		}
	}
	say(0)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	told := make(chan int, 10*n+10)
	for i := range n {
		f := client.StartFollower(fmt.Sprint("balancer ", i), addresses, "", func(w []state.Override) { told <- len(w) })
		defer f.Close()
	}
	know := func(words int) {
		for all := 0; all < n; {
			select {
			case w := <-told:
				if w == words {
					all++
				}
			case <-within.Done():
				b.Fatal("not all have it")
			}
		}
	}
	began := time.Now()
	know(1)
	b.ReportMetric(time.Since(began).Seconds(), "s-until-all-follow")
	runtime.GC()
	runtime.ReadMemStats(&after)
	used, at := cpu(b), time.Now()
	time.Sleep(rest) // a rest is what is measured
	b.ReportMetric(100*(cpu(b)-used).Seconds()/time.Since(at).Seconds(), "%core-at-rest")
	began = time.Now()
	say(1)
	know(2)
	b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-until-all-know")
	b.ReportMetric(float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse)/float64(max(n, 1)), "bytes/follower")
}

// cpu is the CPU time that this process has used.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
