package discovery

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// listing is a list as a service tells it, with ids and addresses of the usual length.
func listing(n int) Listing {
	l := Listing{Revision: 812_345, Complete: true}
	for i := range n {
		l.Members = append(l.Members, Member{
			ID: fmt.Sprintf("s-%08x", uint32(i)*2654435761), HostPort: fmt.Sprintf("10.%d.%d.%d:7070", 1+i>>16, i>>8&255, i&255),
			Locality: fmt.Sprintf("r%d-z%02d", i%6+1, i%19+1), Cell: i % 8, Phase: "up", Size: 1, UpSinceMS: 1_764_600_000_000 + int64(i)*977,
		})
	}
	return l
}

// What a list costs on the wire and to read, by its entries: docs/CAPACITY.md goes by it. 0 entries are a watch that ends without news, 1 a
// change.
func BenchmarkListing(b *testing.B) {
	for _, n := range []int{0, 1, 37, 1000, 18_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text, err := json.Marshal(listing(n))
			if err != nil {
				b.Fatal(err)
			}
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write(text) }))
			c := &counted{Listener: s.Listener}
			s.Listener = c
			s.Start()
			defer s.Close()
			d := New(b.Context(), s.Listener.Addr().String(), func(Heard) {})
			defer d.End()
			b.ReportAllocs()
			for b.Loop() {
				if l, err := d.call(b.Context(), d.url, 10*time.Second); err != nil || len(l.Members) != n {
					b.Fatal(len(l.Members), err)
				}
			}
			b.ReportMetric(float64(len(text)), "bytes/list")
			b.ReportMetric(float64(c.bytes.Load())/float64(b.N), "bytes/call")
			if n > 0 {
				b.ReportMetric(float64(len(text))/float64(n), "bytes/entry")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
			}
		})
	}
}

// counted is a listener that counts what passes its connections, both ways, without the system's own heads.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countedConn{conn, &c.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
