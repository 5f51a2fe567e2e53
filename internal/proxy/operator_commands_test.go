package proxy

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"

	"olivearch/balancer"
)

// An upstream that was taken out by hand gets nothing, whatever discovery says of it, until it is called back.
func TestOutByHand(t *testing.T) {
	one, two := scripted.Start(t, scripted.Done), scripted.Start(t, scripted.Done)
	b := startBalancer(t, upMember("s-00000001", one), upMember("s-00000002", two))
	<-b.registry.calls
	for range 2 { // the call may come twice
		if _, err := b.TakeOutOfService("s-00000001"); err != nil {
			t.Fatal(err)
		}
	}
	list := listing(11, upMember("s-00000001", one), upMember("s-00000002", two))
	list.Members[0].UpSinceMS = time.Now().UnixMilli() // discovery tells of its restart, and that it is up
	b.registry.answers <- list
	<-b.registry.calls
	want(t, "at the one that is out", b.arrivalsOf(t, 10, one, two)[0], 0)
	for _, id := range []string{"s-00000009", ""} {
		_, out := b.TakeOutOfService(id)
		_, back := b.ReturnToService(id)
		if out == nil || back == nil {
			t.Errorf("%q: an unknown id is owed a no", id)
		}
	}
	if _, err := b.ReturnToService("s-00000001"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for b.arrivalsOf(t, 5, one, two)[0] == 0 {
		if time.Now().After(deadline) {
			t.Fatal("not used after the call back")
		}
	}
}

// While drained the balancer says no at /healthz, serves what comes and closes behind it, and lets idle connections go.
func TestDrainOfTheBalancer(t *testing.T) {
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
	for range 2 { // the command may come twice
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
		t.Errorf("an idle connection 4 s after the call: %v, want it closed", err)
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
	want(t, "connections are kept again", resp.Close, false)
}

// New settings hold from the reload on, and a request under way keeps its class.
func TestSettingsChange(t *testing.T) {
	release := make(chan struct{})
	s := scripted.Start(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return scripted.Done(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", s))
	late := b.doInBackground(b.newRequest("read", "", "X-Late", "1"))
	<-s.Arrivals
	status, _ := b.do(t, b.newRequest("fresh", ""))
	want(t, "a class that is not known yet", status, 400)
	c := b.config
	c.Settings.Classes = append([]balancer.Class(nil), c.Settings.Classes[1:]...)
	c.Settings.Classes = append(c.Settings.Classes, balancer.Class{
		Name: "fresh", LatencyObjective: time.Second, Deadline: 2 * time.Second,
		Idempotency: balancer.NonIdempotent, PriorityWeight: 1,
	})
	c.Settings.Limits.MaxAttempts = 1
	b.reloads <- c
	b.reloads <- c // the first is with the loop, and what is posted from now on comes after it
	deadline := time.Now().Add(10 * time.Second)
	for status, _ = b.do(t, b.newRequest("fresh", "")); status != 200; status, _ = b.do(t, b.newRequest("fresh", "")) {
		if time.Now().After(deadline) {
			t.Fatal("the new class is not served")
		}
	}
	status, _ = b.do(t, b.newRequest("read", ""))
	want(t, "a class that has gone", status, 400)
	close(release)
	want(t, "one under way in it", <-late, outcome{status: 200})
}

// A broken file changes nothing, and the error names what is wrong.
func TestBrokenFilesAreRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"RELAY_CONFIG": path}[name] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(configText)
	before, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ from, to, want string }{
		{configText, "", "unexpected end"},
		{configText[len(configText)/2:], "", "unexpected end"},
		{`"worth_by":"work",`, ``, "settings.worth_by is missing"},
		{
			`"group":"all","memory_span_us":9000000,"worth":1`, `"group":"all","memory_span_us":9000000`,
			"settings.profiles.each.worth is missing",
		},
		{`"cancel":true,`, ``, "settings.limits.cancel is missing"},
		{`"limits":{"cores":1.0,`, `"limits":{`, "limits.cores is missing"},
		{`"max_attempts":3`, `"max_attempts":0`, "Limits.MaxAttempts"},
		{
			`"target_us":2000000,"give_up_us":4000000,"repeat":"read_like"`,
			`"target_us":2000000,"give_up_us":-1,"repeat":"read_like"`, "Deadline",
		},
		{`"max_attempts":3`, `"max_attempts":"3"`, "max_attempts"},
	} {
		text := strings.Replace(configText, x.from, x.to, 1)
		if text == configText {
			t.Fatalf("%q is not in the sample", x.from)
		}
		write(text)
		_, err := ReloadConfig(getenv, before)
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%q for %q: %v, want %q", x.to, x.from, err, x.want)
		}
	}
	write(strings.Replace(configText, `"members":[`, `"members":[],"more":[`, 1))
	if _, err := ReloadConfig(getenv, before); err != nil {
		t.Errorf("other upstreams: %v", err)
	}
}
