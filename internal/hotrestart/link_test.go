package hotrestart

import (
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"olivearch/internal/override"
)

// linkPair returns the two ends of a link through a path.
func linkPair(t *testing.T, path string) (oldProcess, newProcess *Link) {
	t.Helper()
	listener, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if newProcess, err = Dial(path); err != nil {
		t.Fatal(err)
	}
	if oldProcess, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		oldProcess.Close()
		newProcess.Close()
	})
	return oldProcess, newProcess
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if client, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, conn.(*net.TCPConn)
}

func writeString(t *testing.T, w io.Writer, text string) {
	t.Helper()
	if _, err := io.WriteString(w, text); err != nil {
		t.Fatal(err)
	}
}

// TestHandOverBetweenWrites hands over a connection between two writes of the client. The new process must read both,
// and the client must read the answer of the new process.
func TestHandOverBetweenWrites(t *testing.T) {
	folder := filepath.Join(t.TempDir(), strings.Repeat("x", 150)) // too long for a socket's address
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	oldProcess, newProcess := linkPair(t, filepath.Join(folder, "s"))
	client, accepted := tcpPair(t)

	writeString(t, client, "before ")
	if err := oldProcess.Send(Message{Kind: KindClientConnection}, accepted); err != nil {
		t.Fatal(err)
	}
	accepted.Close()
	writeString(t, client, "after")

	message, file, err := newProcess.Receive()
	if err != nil || message.Kind != KindClientConnection || file == nil {
		t.Fatalf("received %+v, %v, %v", message, file, err)
	}
	takenOver, err := net.FileConn(file)
	if err != nil {
		t.Fatal(err)
	}
	file.Close()
	text := make([]byte, len("before after"))
	if _, err := io.ReadFull(takenOver, text); err != nil || string(text) != "before after" {
		t.Errorf("the new process reads %q, %v", text, err)
	}
	writeString(t, takenOver, "answer")
	takenOver.Close()
	if text, err := io.ReadAll(client); string(text) != "answer" || err != nil {
		t.Errorf("the client reads %q, %v", text, err)
	}
}

// TestMessages: each Receive returns one complete message, and fails after the other process has closed the link.
func TestMessages(t *testing.T) {
	oldProcess, newProcess := linkPair(t, filepath.Join(t.TempDir(), "s"))
	overrides := map[string]override.Entry{}
	for i := range 1000 {
		overrides[strings.Repeat("i", i%40)+string(rune('a'+i%26))] = override.Entry{Out: true, At: int64(i)}
	}
	state := Message{Kind: KindState, Serial: 3, Overrides: overrides, Standby: true}
	for _, message := range []Message{state, {Kind: KindReady}} {
		if err := oldProcess.Send(message, nil); err != nil {
			t.Fatal(err)
		}
	}

	got, file, err := newProcess.Receive()
	if err != nil || file != nil {
		t.Errorf("received with %v, %v, want no file and no error", file, err)
	}
	if got.Kind != KindState || got.Serial != 3 || !got.Standby || !maps.Equal(got.Overrides, overrides) {
		t.Errorf("received %s %d, standby %v, %d overrides",
			got.Kind, got.Serial, got.Standby, len(got.Overrides))
	}
	if got, _, err = newProcess.Receive(); err != nil || got.Kind != KindReady {
		t.Errorf("received %s, %v, want %s", got.Kind, err, KindReady)
	}

	oldProcess.Close()
	if _, _, err = newProcess.Receive(); !errors.Is(err, io.EOF) {
		t.Errorf("after the other process has closed the link: %v, want one that wraps io.EOF", err)
	}
	if _, err := Dial(filepath.Join(t.TempDir(), "missing")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("no socket at the path: %v, want one that wraps ErrNotExist", err)
	}
}

// TestReceiveErrors: for a message that cannot be decoded, Receive returns an error and no file.
func TestReceiveErrors(t *testing.T) {
	oldProcess, newProcess := linkPair(t, filepath.Join(t.TempDir(), "s"))
	_, accepted := tcpPair(t)
	defer accepted.Close()
	for _, test := range []struct {
		name    string
		message Message
	}{
		{"no kind", Message{}},
		{"a kind of a later version", Message{Kind: "later"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := oldProcess.Send(test.message, accepted); err != nil {
				t.Fatal(err)
			}
			if message, file, err := newProcess.Receive(); err == nil || file != nil {
				t.Errorf("received %+v, %v, %v", message, file, err)
			}
		})
	}
}

func TestSendRejectsLongMessages(t *testing.T) {
	oldProcess, _ := linkPair(t, filepath.Join(t.TempDir(), "s"))
	if err := oldProcess.Send(
		Message{Kind: KindState, Listen: strings.Repeat("x", maxMessageSize)}, nil,
	); err == nil {
		t.Error("a message over the limit was sent")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"state","held":{"a":{"out":true,"at":1}}}`))
	f.Add([]byte(`{"kind":"client"`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if message, err := Decode(text); err == nil && message.Kind == "" {
			t.Errorf("%q was decoded as a message without a kind", text)
		}
	})
}
