package proxy

import (
	"net/http"
	"os"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// An upstream that operators have taken out of service gets no requests until they return it, whatever discovery
// reports.
func TestOutOfServiceByOperators(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", one), upMember("s-00000002", two))
	<-b.discoveryServer.polls
	for range 2 { // the command is idempotent
		if _, err := b.TakeOutOfService("s-00000001"); err != nil {
			t.Fatal(err)
		}
	}
	list := listing(11, upMember("s-00000001", one), upMember("s-00000002", two))
	list.Members[0].UpSinceMS = time.Now().UnixMilli() // discovery reports that it has restarted, and is up
	b.discoveryServer.answers <- list
	<-b.discoveryServer.polls
	want(t, "requests at the upstream that is out of service", b.sendAndCount(t, 10, one, two)[0], 0)
	for _, id := range []string{"s-00000009", ""} {
		_, out := b.TakeOutOfService(id)
		_, back := b.ReturnToService(id)
		if out == nil || back == nil {
			t.Errorf("%q: an unknown id must be an error", id)
		}
	}
	if _, err := b.ReturnToService("s-00000001"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for b.sendAndCount(t, 5, one, two)[0] == 0 {
		if time.Now().After(deadline) {
			t.Fatal("not used after its return to service")
		}
	}
}

// A drained balancer answers 503 at /healthz, serves requests, and closes connections after a response or once idle.
func TestStandbyDrainsTheBalancer(t *testing.T) {
	b := startBalancer(t, upMember("s-00000001", scripted.Start(t, scripted.Done)))
	health := func() int {
		resp, err := http.Get(b.url + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	want(t, "health", health(), 200)
	idle := b.dial(t)
	mustWrite(t, idle, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if _, err := idle.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for range 2 { // the command is idempotent
		if err := b.Standby(); err != nil {
			t.Fatal(err)
		}
	}
	want(t, "health while drained", health(), 503)
	resp, err := b.client.Do(b.newRequest("checkin", ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status while drained", resp.StatusCode, 200)
	want(t, "its connection is closed", resp.Close, true)
	if err := idle.SetReadDeadline(began.Add(4 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("an idle connection 4 s after the command: %v, want it closed", err)
	}
	if err := b.Active(); err != nil {
		t.Fatal(err)
	}
	want(t, "health after", health(), 200)
	resp, err = b.client.Do(b.newRequest("checkin", ""))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "its connection is closed after the drain", resp.Close, false)
}
