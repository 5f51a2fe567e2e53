package upstream

import (
	"syscall"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// BenchmarkConnect compares the CPU time of a request on a new connection to an upstream with that on a reused one. The
// CPU time is that of both sides, which share this process. The cost of a new connection matters because connections to
// 18,000 upstreams are not kept after use.
func BenchmarkConnect(b *testing.B) {
	for _, kept := range []bool{true, false} {
		name := map[bool]string{true: "kept", false: "new"}[kept]
		b.Run(name, func(b *testing.B) {
			server := scripted.Start(b, scripted.Done)
			go func() {
				for range server.Arrivals {
				}
			}()
			transport := HTTP1{ConnectTimeout: time.Second}
			header := http1.Fields{{Name: "X-Request-Id", Value: "1"}}
			message := Message{RequestLine: "GET /x", Host: "x", Header: header}
			var connection Conn
			before := cpuTime(b)
			for b.Loop() {
				result := transport.Do(&Attempt{Message: &message, Address: server.Addr, Conn: connection, Timeout: time.Second})
				if result.Status != balancer.OK {
					b.Fatal(result)
				}
				connection = result.Conn
				if !kept {
					connection.Close()
					connection = nil
				}
			}
			b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
