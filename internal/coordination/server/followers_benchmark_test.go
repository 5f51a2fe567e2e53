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

// BenchmarkFollowers measures the cost of idle followers in one process with one voter: CPU time of both sides, heap
// and stack, and the time until an override has reached all followers.
//
//	go test -run - -bench Followers -benchtime 1x ./internal/coordination/server
func BenchmarkFollowers(b *testing.B) {
	for _, n := range []int{0, 100, 300, 1500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				measureFollowers(b, n)
			}
		})
	}
}

// idleTime is how long the CPU use of idle followers is measured.
const idleTime = 5 * time.Second

func measureFollowers(b *testing.B, n int) {
	addresses, stop := startSingleVoter(b)
	defer stop()
	c := client.New("test", addresses)
	defer c.Close()
	ctx, cancel := context.WithTimeout(b.Context(), 30*time.Second)
	defer cancel()
	setOverride := func(i int) {
		override := outOfService(fmt.Sprintf("s-%08x", i))
		override.Reason = "disk swap"
		if _, err := c.Propose(ctx, override); err != nil {
			b.Fatal(err)
		}
	}
	setOverride(0)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	updated := make(chan int, 10*n+10)
	for i := range n {
		notify := func(overrides []state.Override) { updated <- len(overrides) }
		f := client.StartFollower(fmt.Sprint("balancer ", i), addresses, "", notify)
		defer f.Close()
	}
	waitForAll := func(overrides int) {
		for all := 0; all < n; {
			select {
			case count := <-updated:
				if count == overrides {
					all++
				}
			case <-ctx.Done():
				b.Fatal("an update has not reached all followers in time")
			}
		}
	}
	began := time.Now()
	waitForAll(1)
	b.ReportMetric(time.Since(began).Seconds(), "s-until-all-follow")
	runtime.GC()
	runtime.ReadMemStats(&after)
	used, at := cpuTime(b), time.Now()
	time.Sleep(idleTime)
	b.ReportMetric(100*(cpuTime(b)-used).Seconds()/time.Since(at).Seconds(), "%core-at-rest")
	began = time.Now()
	setOverride(1)
	waitForAll(2)
	b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "ms-until-all-know")
	grown := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
	b.ReportMetric(float64(grown)/float64(max(n, 1)), "bytes/follower")
}

// startSingleVoter starts a cluster of one server. stop stops the server and waits until it has ended.
func startSingleVoter(b *testing.B) (addresses map[string]string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addresses = map[string]string{"k1": l.Addr().String()}
	ctx, cancel := context.WithCancel(b.Context())
	server, err := New(Config{
		Name: "k1", Address: addresses["k1"], Addresses: addresses, Folder: b.TempDir(), ReplaceAfter: 2 * time.Second,
	}, l)
	if err != nil {
		b.Fatal(err)
	}
	var running sync.WaitGroup
	running.Go(func() {
		if err := server.Run(ctx); err != nil {
			b.Error(err)
		}
	})
	return addresses, func() {
		cancel()
		running.Wait()
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
