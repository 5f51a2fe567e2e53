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

// completeListing returns a complete list of the given size, with ids and addresses of typical length.
func completeListing(size int) Listing {
	listing := Listing{Revision: 812_345, Complete: true}
	for i := range size {
		listing.Members = append(listing.Members, Member{
			ID:        fmt.Sprintf("s-%08x", uint32(i)*2654435761),
			HostPort:  fmt.Sprintf("10.%d.%d.%d:7070", 1+i>>16, i>>8&255, i&255),
			Locality:  fmt.Sprintf("r%d-z%02d", i%6+1, i%19+1),
			Cell:      i % 8,
			Phase:     PhaseUp,
			Size:      1,
			UpSinceMS: 1_764_600_000_000 + int64(i)*977,
		})
	}
	return listing
}

// BenchmarkListing measures the bytes on the wire and the time to read a list, by its size. docs/CAPACITY.md uses the
// results. Size 0 stands for a watch call that ends without a change, size 1 for a single change.
func BenchmarkListing(b *testing.B) {
	for _, size := range []int{0, 1, 37, 1000, 18_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkListing(b, size) })
	}
}

func benchmarkListing(b *testing.B, size int) {
	b.Helper()
	body, err := json.Marshal(completeListing(size))
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if _, err := w.Write(body); err != nil {
			b.Error(err)
		}
	}))
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	client := New(b.Context(), server.Listener.Addr().String(), func(Event) {})
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		listing, err := client.call(b.Context(), client.url, 10*time.Second)
		if err != nil || len(listing.Members) != size {
			b.Fatal(len(listing.Members), err)
		}
	}
	b.ReportMetric(float64(len(body)), "bytes/list")
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "bytes/call")
	if size > 0 {
		b.ReportMetric(float64(len(body))/float64(size), "bytes/entry")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(size), "ns/entry")
	}
}

// countingListener counts the bytes that its connections carry in both directions, without TCP and IP headers.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.bytes.Add(int64(n))
	return n, err
}
