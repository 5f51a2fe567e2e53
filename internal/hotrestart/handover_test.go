package hotrestart

import (
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivearch/internal/override"
)

func pair(t *testing.T, path string) (old, fresh *Link) {
	t.Helper()
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if fresh, err = Dial(path); err != nil {
		t.Fatal(err)
	}
	if old, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { old.Close(); fresh.Close() })
	return old, fresh
}

// TestBytesWaitInTheSocket hands a connection over while its peer writes: not a byte is lost, and the peer sees nothing.
func TestBytesWaitInTheSocket(t *testing.T) {
	folder := filepath.Join(t.TempDir(), strings.Repeat("x", 150)) // over the length of a socket's address
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	old, fresh := pair(t, filepath.Join(folder, "s"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	mine, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(peer, "before ")
	if err := old.Send(Message{Kind: KindClientConnection}, mine.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
	mine.Close()
	io.WriteString(peer, "behind")
	m, file, err := fresh.Receive()
	if err != nil || m.Kind != KindClientConnection || file == nil {
		t.Fatal(m, file, err)
	}
	c, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	text := make([]byte, len("before behind"))
	if _, err := io.ReadFull(c, text); err != nil || string(text) != "before behind" {
		t.Errorf("%q %v", text, err)
	}
	io.WriteString(c, "answer")
	c.Close()
	if text, err := io.ReadAll(peer); string(text) != "answer" || err != nil {
		t.Errorf("%q %v", text, err)
	}
}

// TestMessages: a message comes whole, one at a time, and the end of the other process is an error.
func TestMessages(t *testing.T) {
	old, fresh := pair(t, filepath.Join(t.TempDir(), "s"))
	held := map[string]override.Entry{}
	for i := range 1000 {
		held[strings.Repeat("i", i%40)+string(rune('a'+i%26))] = override.Entry{Out: true, At: int64(i)}
	}
	old.Send(Message{Kind: KindState, Serial: 3, Overrides: held, Standby: true}, nil)
	old.Send(Message{Kind: KindReady}, nil)
	m, _, err := fresh.Receive()
	if err != nil || len(m.Overrides) != len(held) || !m.Standby || m.Serial != 3 {
		t.Error(m.Kind, len(m.Overrides), err)
	}
	if m, _, err = fresh.Receive(); err != nil || m.Kind != KindReady {
		t.Error(m.Kind, err)
	}
	old.Close()
	if _, _, err = fresh.Receive(); err == nil {
		t.Error("no error after the end")
	}
	if _, err := Dial(filepath.Join(t.TempDir(), "nobody")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("nobody listens: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"state","held":{"a":{"out":true,"at":1}}}`))
	f.Add([]byte(`{"kind":"client"`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if m, err := Decode(text); err == nil && m.Kind == "" {
			t.Errorf("%q passed for a message", text)
		}
	})
}
