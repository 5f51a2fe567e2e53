package upstream

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/http1"
	"olivearch/internal/standin/scripted"
)

// What a new connection to a node costs beside a kept one, in CPU time of both sides, which share this
// process: connections to 18,000 nodes are kept no longer than they are used.
func BenchmarkConnect(b *testing.B) {
	for _, kept := range []bool{true, false} {
		name := map[bool]string{true: "kept", false: "new"}[kept]
		b.Run(name, func(b *testing.B) {
			s := scripted.Start(b, func(c net.Conn, r *http.Request) bool { return scripted.Done(c, r) })
			go func() {
				for range s.Arrivals {
				}
			}()
			d := HTTP1{Timeout: time.Second}
			m := Message{Line: "GET /x", Host: "x", Header: http1.Fields{{Name: "X-Request-Id", Value: "1"}}}
			var c Conn
			before := cpu(b)
			for b.Loop() {
				r := d.Do(&Attempt{Message: &m, Address: s.Addr, Conn: c, Wait: time.Second})
				if r.Status != balancer.OK {
					b.Fatal(r)
				}
				if c = r.Conn; !kept {
					c.Close()
					c = nil
				}
			}
			b.ReportMetric(float64((cpu(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// cpu is the CPU time that this process has used.
func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
