package route

import (
	"errors"
	"strings"
	"testing"
)

func TestTarget(t *testing.T) {
	for text, want := range map[string]Target{
		"/a/b?x=%2f..//":       {Path: "/a/b", Query: "?x=%2f..//"},
		"/a//b///":             {Path: "/a/b/"},
		"/%61/%7e":             {Path: "/a/~"},
		"/a/%2e%2E/b":          {Path: "/b"},
		"/a/./b/.":             {Path: "/a/b/"},
		"/a/..":                {Path: "/"},
		"/.well-known/x":       {Path: "/.well-known/x"},
		"/a%c3%a9":             {Path: "/a%C3%A9"},
		"/a;v=1":               {Path: "/a;v=1"},
		"//a/b":                {Path: "/a/b"},
		"/...":                 {Path: "/..."},
		"/":                    {Path: "/"},
		"/a/%3Bx":              {Path: "/a/%3Bx"},
		"http://H:80/a/../b?q": {Host: "h", Path: "/b", Query: "?q"},
		"HTTP://h":             {Host: "h", Path: "/"},
		"http://h?q":           {Host: "h", Path: "/", Query: "?q"},
	} {
		if got, err := ParseTarget(text); err != nil || got != want {
			t.Errorf("%q: %+v, %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{
		"/a%2fb", "/a%5Cb", "/a\\b", "/%00", "/a%0a", "/%", "/%4", "/%zz",
		"/..", "/a/../../b", "/%2e%2e/x", "/a/..;/b", "/a/.;x/b",
		"*", "", "a", "a:443", "/a b", "/a#b",
		"https://h/a", "http://u@h/", "http:///a", "http://a\\b/",
	} {
		if got, err := ParseTarget(text); !errors.Is(err, ErrAmbiguous) {
			t.Errorf("%q: %+v, %v, want ErrAmbiguous", text, got, err)
		}
	}
}

// FuzzTarget: the canonical form of a canonical target is the target itself, and it contains nothing that a server
// could interpret as another path.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/a/%2e%2e//b?c", "http://H/%41", "/..;/", "/%25%32%65", "//", "/a/.."} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		target, err := ParseTarget(text)
		if err != nil {
			return
		}
		again, err := ParseTarget(target.String())
		if err != nil || again.Path != target.Path || again.Query != target.Query {
			t.Fatalf("the canonical form of %q is %q, and of that %q, %v", text, target, again, err)
		}
		for _, wrong := range []string{"//", "/./", "/../", "\\", "%2F", "%2f", "%5C", "%00", "/..;"} {
			if strings.Contains(target.Path, wrong) {
				t.Errorf("the canonical form of %q is %q", text, target.Path)
			}
		}
		if strings.HasSuffix(target.Path, "/..") || strings.HasSuffix(target.Path, "/.") || target.Path[0] != '/' {
			t.Errorf("the canonical form of %q is %q", text, target.Path)
		}
	})
}
