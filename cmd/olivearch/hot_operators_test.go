package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"olivearch/internal/standin/scripted"
)

// TestHotClientsLeaveOperatorsTheirTurn guards against commands that are answered late, overrides that hold late and a
// process that does not end, because clients keep it busy.
func TestHotClientsLeaveOperatorsTheirTurn(t *testing.T) {
	const commands, limit = 20, 250 * time.Millisecond
	const terminationLimit = 3700 * time.Millisecond // from SIGTERM to SIGKILL on a platform
	admin := scripted.FreeAddress(t)
	t.Setenv("RELAY_MANAGEMENT", admin)
	process := startPlatform(t, hotUpstreams, func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "the response to request %s", r.Header.Get("X-Request-Id"))
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hot := startHostile(ctx, t, hotClients[0], process.listen)
	defer func() { _ = hot.Wait() }() // it is killed
	defer cancel()
	for i := range commands {
		command := "maint-on s-00000003"
		if i%2 > 0 {
			command = "maint-off s-00000003"
		}
		began := time.Now()
		if got := operate(t, admin, command); !strings.HasPrefix(got, "+OK") {
			t.Errorf("%s: %s", command, got)
		}
		if took := time.Since(began); took > limit {
			t.Errorf("%s took %v", command, took)
		}
	}
	began := time.Now()
	sendSignal(t, process.cmd, syscall.SIGTERM)
	process.awaitEnd(t)
	t.Logf("ended %v after SIGTERM", time.Since(began))
	if took := time.Since(began); took > terminationLimit {
		t.Errorf("ended %v after SIGTERM", took)
	}
}

// operate sends an operators' command and returns the answer.
func operate(t *testing.T, address, command string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, command+"\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return answer
}
