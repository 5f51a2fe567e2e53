package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// requestTime is the time that platformConfig gives a request.
const requestTime = 750 * time.Millisecond

// processLimit bounds the life of a process that a test starts.
const processLimit = 60 * time.Second

// platformProcess is a platform's balancer that runs as a process of its own.
type platformProcess struct {
	*loggedProcess
	listen string
}

// startPlatform starts a balancer with a number of upstreams and with platformConfig, in which replaced pairs of texts
// are exchanged. It waits until the balancer serves.
func startPlatform(t testing.TB, upstreams int, respond http.HandlerFunc, replaced ...string) *platformProcess {
	t.Helper()
	return startPlatformFor(t, processLimit, upstreams, respond, replaced...)
}

// startPlatformFor is startPlatform for a process that is killed after a limit.
func startPlatformFor(
	t testing.TB, limit time.Duration, upstreams int, respond http.HandlerFunc, replaced ...string,
) *platformProcess {
	t.Helper()
	discovery := startDiscovery(t, upstreams, func(_ int, w http.ResponseWriter, r *http.Request) { respond(w, r) })
	listen := scripted.FreeAddress(t)
	text := fmt.Sprintf(platformConfig, listen, discovery.Listener.Addr())
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, path, strings.NewReplacer(replaced...).Replace(text))
	command := program(t)
	command.Env = append(os.Environ(), "RELAY_CONFIG="+path, "TMPDIR="+t.TempDir())
	started := &platformProcess{loggedProcess: startLogged(t, command, limit), listen: listen}
	waitUntil(t, processLimit, "healthy", func() bool { return isHealthy(listen) })
	waitUntil(t, processLimit, "served", func() bool {
		got, err := started.send(t, "ready", "X-Ready: 1\r\n")
		return err == nil && got.status == http.StatusOK
	})
	return started
}

// send sends a request of class c without a body on a new connection and returns the response. fields are further lines
// of its head.
func (p *platformProcess) send(t testing.TB, id, fields string) (answer, error) {
	t.Helper()
	conn := p.dial(t)
	defer conn.Close()
	if _, err := io.WriteString(conn, platformHead(id, fields, 0)); err != nil {
		return answer{}, err
	}
	return readAnswer(bufio.NewReader(conn))
}

// dial opens a connection that the test closes at the latest. Its deadline is processLimit from now.
func (p *platformProcess) dial(t testing.TB) net.Conn {
	t.Helper()
	return openConnection(t, p.listen)
}

// openConnection opens a connection as dial does.
func openConnection(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(processLimit)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// platformHead returns the head of a request of class c with a body of the given length.
func platformHead(id, fields string, bodyLength int) string {
	return strings.TrimSuffix(requestHeader(id, bodyLength), "\r\n") + fields + "\r\n"
}

// isReadyCheck reports whether a request is that of startPlatform.
func isReadyCheck(r *http.Request) bool { return r.Header.Get("X-Ready") != "" }
