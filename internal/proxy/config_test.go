package proxy

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const configText = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":41,"complete":true,"members":[
{"id":"s-5be2a07c","host_port":"127.0.0.1:7","phase":"up","size":1.0,"up_since_ms":0}]},
"settings":` + settingsText + `}`

func loadText(t *testing.T, text string, env map[string]string) (Config, error) {
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
	c, err := loadText(t, configText, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	want(t, "name", c.Name, "n4")
	want(t, "seed", c.Seed, uint64(0x8c1f30d27a5be964))
	want(t, "known", c.InitialEndpoints.Revision, uint64(41))
	want(t, "keep-alive", c.ConnectionSettings.KeepAlive, time.Minute)
	want(t, "classes", len(c.Settings.Classes), 3)
}

// RELAY_DISCOVERY sets the address of discovery at the start. A reload takes the address from the file.
func TestReloadTakesDiscoveryFromFile(t *testing.T) {
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
	want(t, "after the reload", c.Discovery, "127.0.0.1:8500")
	want(t, "name", c.Name, "n4")
}

func TestConfigErrorsNameTheKey(t *testing.T) {
	_, err := LoadConfig(func(string) string { return "" })
	if err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no file: got %v", err)
	}
	for _, c := range []struct{ old, new, mention string }{
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
		_, err := loadText(t, strings.Replace(configText, c.old, c.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.mention) {
			t.Errorf("%s: got %v, want it to name %s", c.new, err, c.mention)
		}
	}
}

// A reload of an invalid file fails with an error that names what is wrong. An endpoint list may lack keys that it had
// before.
func TestReloadRejectsBrokenFiles(t *testing.T) {
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
	for _, c := range []struct{ from, to, want string }{
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
		text := strings.Replace(configText, c.from, c.to, 1)
		if text == configText {
			t.Fatalf("%q is not in configText", c.from)
		}
		write(text)
		_, err := ReloadConfig(getenv, before)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: %v, want %q", c.to, c.from, err, c.want)
		}
	}
	write(strings.Replace(configText, `"members":[`, `"members":[],"more":[`, 1))
	if _, err := ReloadConfig(getenv, before); err != nil {
		t.Errorf("a list without upstreams: %v", err)
	}
}
