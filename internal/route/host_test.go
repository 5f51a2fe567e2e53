package route

import (
	"errors"
	"strings"
	"testing"
)

func TestHost(t *testing.T) {
	for text, want := range map[string]string{
		"Maps.Plano.example.ORG:8080": "maps.plano.example.org",
		"a.":                          "a",
		"127.0.0.1:1":                 "127.0.0.1",
		"[::0001]:80":                 "[::1]",
		"[2001:DB8::1]":               "[2001:db8::1]",
		"a_b-c":                       "a_b-c",
	} {
		if got, err := Host(text); err != nil || got != want {
			t.Errorf("%q: %q, %v, want %q", text, got, err, want)
		}
	}
	for _, text := range []string{
		"", ":80", "a:b", "a:123456", "user@a", "a b", "a..b", ".a", "ü", "a/b", "a%2eb",
		"[::1", "[1.2.3.4]", "[::1]x",
		strings.Repeat("a", 64), strings.Repeat("a.", 127) + "a",
	} {
		if got, err := Host(text); got != "" || !errors.Is(err, ErrAmbiguous) {
			t.Errorf("%q: %q, %v, want ErrAmbiguous", text, got, err)
		}
	}
}

// FuzzHost: the canonical form of a canonical host is the host itself, and it is short enough for DNS.
func FuzzHost(f *testing.F) {
	for _, seed := range []string{"A.b:80", "[::1]:1", "a..", "[fe80::1%25x]"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		host, err := Host(text)
		if err != nil {
			return
		}
		if again, err := Host(host); again != host || err != nil {
			t.Fatalf("the canonical form of %q is %q, and of that %q, %v", text, host, again, err)
		}
		if host != strings.ToLower(host) || strings.ContainsAny(host, " /@%\\") || len(host) > maxHostLength {
			t.Errorf("the canonical form of %q is %q", text, host)
		}
	})
}
