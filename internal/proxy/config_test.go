package proxy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"clayladder"
)

const configText = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"127.0.0.1:7","phase":"up","size":1.0,"up_since_ms":0}]},
"settings":` + settingsText + `}`

func load(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadConfig(func(name string) string {
		if name == "RELAY_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestConfig(t *testing.T) {
	c, err := load(t, configText, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	want(t, "name", c.Name, "n4")
	want(t, "seed", c.Seed, uint64(0x8c1f30d27a5be964))
	want(t, "known", c.Known.Revision, uint64(41))
	want(t, "keep-alive", c.Links.KeepAlive, time.Minute)
	want(t, "classes", len(c.Settings.Classes), 3)
}

// RELAY_DISCOVERY names the address of the start. After that the file's holds.
func TestReloadedDiscoveryIsTheFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configText), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"RELAY_CONFIG": path, "RELAY_DISCOVERY": "127.0.0.1:1", "RELAY_NAME": "n4"}
	getenv := func(name string) string { return env[name] }
	c, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "at the start", c.Discovery, "127.0.0.1:1")
	if c, err = ReloadConfig(getenv, c); err != nil {
		t.Fatal(err)
	}
	want(t, "read again", c.Discovery, "127.0.0.1:8500")
	want(t, "name", c.Name, "n4")
}

func TestConfigNamesWhatIsWrong(t *testing.T) {
	if _, err := LoadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no file: got %v", err)
	}
	for _, c := range []struct{ old, new, wants string }{
		{`{"name"`, `"name"`, "invalid character"},
		{"127.0.0.1:7070", "", "listen"},
		{"127.0.0.1:8500", "nowhere", "discovery"},
		{"8c1f30d27a5be964", "seed", "seed"},
		{`"memory_mb":192`, `"memory_mb":0`, "memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "sockets"},
		{`"settings"`, `"other"`, "settings are missing"},
		{"on_request", "never", "membership_mode"},
		{`"keepalive_us":60000000`, `"keepalive_us":0`, "keepalive_us"},
		{`"phase":"up"`, `"phase":"odd"`, "odd"},
		{`"127.0.0.1:7"`, `"here"`, "s-5be2a07c"},
	} {
		if _, err := load(t, strings.Replace(configText, c.old, c.new, 1), nil); err == nil || !strings.Contains(err.Error(), c.wants) {
			t.Errorf("%s: got %v, want it to name %s", c.new, err, c.wants)
		}
	}
}

func TestNames(t *testing.T) {
	n := newNames()
	want(t, "hex", n.id("s-5be2a07c"), clayladder.UpstreamID(0x5be2a07c))
	want(t, "the same again", n.id("s-5be2a07c"), clayladder.UpstreamID(0x5be2a07c))
	other := n.id("5be2a07c.example")
	want(t, "another form", other, hashed("5be2a07c.example"))
	seen := map[clayladder.UpstreamID]string{}
	for _, text := range []string{"s-7", "s-07", "s-007", "s-zz", "s-123456789", "", "s-"} { // three that come to one number
		id := n.id(text)
		if seen[id] != "" {
			t.Errorf("%q and %q are mixed up", text, seen[id])
		}
		seen[id] = text
	}
}

// An upstream that started before this process is as cold as it is at other balancers; one of long ago is not.
func TestStartsAreOnTheLoopsClock(t *testing.T) {
	c, err := load(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(t.Context(), c.spec())
	m := member{ID: "s-1", Phase: "up", UpSinceMS: time.Now().Add(-3 * time.Second).UnixMilli()}
	if age := l.now() - m.upstream(1).StartedAt; age < 2900*time.Millisecond || age > 4*time.Second {
		t.Errorf("age %v, want 3 s", age)
	}
	m.UpSinceMS = 0
	want(t, "long ago", m.upstream(1).StartedAt, time.Duration(0))
}

func TestLoadReports(t *testing.T) {
	whole := clayladder.Load{Fields: clayladder.HasErrors | clayladder.HasUtil | clayladder.HasService, Errors: 0.5, Util: 0.61, Service: 14.5}
	for _, c := range []struct {
		name    string
		reports []string
		want    clayladder.Load
		why     string
	}{
		{"whole", []string{"err_ps=0.5, load_share=0.61,mean_ms=14.5,other=3"}, whole, ""},
		{"none", nil, clayladder.Load{}, ""},
		{"empty", []string{""}, clayladder.Load{}, `"" is not NAME=NUMBER`},
		{"half of it", []string{"load_share=0.61,mean_ms=x"}, clayladder.Load{}, `"mean_ms=x" is not NAME=NUMBER`},
		{"cut", []string{"load_share=0.61,mean"}, clayladder.Load{}, `"mean" is not NAME=NUMBER`},
		{"two", []string{"load_share=0.61", "load_share=0.62"}, clayladder.Load{}, "X-Load stands there more than once"},
		{"a name twice", []string{"load_share=0.61,load_share=0.1"}, clayladder.Load{}, `"load_share" stands there more than once`},
		{"not finite", []string{"load_share=NaN"}, clayladder.Load{}, `"load_share=NaN" is out of range`},
		{"negative", []string{"load_share=-0.5"}, clayladder.Load{}, `"load_share=-0.5" is out of range`},
		{"more than all cores", []string{"load_share=61"}, clayladder.Load{}, "a utilisation of 61: 1 is all cores busy"},
		{"unknown names", []string{"cpu=0.5"}, clayladder.Load{}, `"cpu=0.5" names no load that is known`},
	} {
		got, why := loadOf(c.reports)
		want(t, c.name, got, c.want)
		want(t, c.name, why, c.why)
	}
}

// With no connection left to open, an attempt could not connect: the module is told so, once, and nothing is owed.
func TestNoConnectionLeft(t *testing.T) {
	c, err := load(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(t.Context(), c.spec())
	l.maxConns = 0
	if err := l.start(c.Seed, &c.Known); err != nil {
		t.Fatal(err)
	}
	r := &request{at: l.now(), reply: make(chan answer, 1)}
	r.Class, r.Budget = "checkin", time.Second
	arrived{r}.apply(l)
	l.settle()
	if len(r.attempts) == 0 {
		t.Fatal("no attempt was made")
	}
	want(t, "attempts owed", r.out, 0)
	want(t, "written", r.attempts[0].stage.Load(), dropped)
	want(t, "connections", l.conns, 0)
}
