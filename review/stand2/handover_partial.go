package main

import (
	"fmt"
	"io"
	"strings"
	"syscall"
	"time"
)

func init() { plays["handover-partial"] = playHandoverPartial }

// Times of the case: the client sends its body in pieces, a moment apart. The last one goes out lastPiece after
// SIGTERM; an upstream works for workTime on the request.
const (
	pieces     = 16
	pieceBytes = 1024
	pieceEvery = 100 * time.Millisecond
	lastPiece  = 900 * time.Millisecond
	workTime   = 400 * time.Millisecond
	lateAfter  = 500 * time.Millisecond // after the client's time a request without an answer is lost
)

// playHandoverPartial: a client is writing a request, slowly, while the balancer is upgraded. Its last byte is written
// to the connection that the balancer has accepted, so it is owed one final answer.
func playHandoverPartial(set *stage) ([]string, error) {
	site, err := set.site(workTime)
	if err != nil {
		return nil, err
	}
	caller, err := dial(site.listen)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	status, err := caller.exchange("first-0001", checkinTime)
	if err != nil {
		return nil, err
	}
	set.note("client: request first-0001 answered %d", status)
	if set.trouble {
		if _, err := set.balancer("new", site.config); err != nil {
			return nil, err
		}
	}
	return set.sendSlowly(caller, site.balancer)
}

// sendSlowly sends a request in pieces; SIGTERM comes to the old process in the middle.
func (s *stage) sendSlowly(caller *client, old *process) ([]string, error) {
	const name = "slow-0002"
	s.note("client: begins to write request %s, with a body of %d bytes", name, pieces*pieceBytes)
	if _, err := io.WriteString(caller.conn, head(name, checkinTime, pieces*pieceBytes)); err != nil {
		return nil, err
	}
	for i := range pieces {
		if i == pieces-1-int(lastPiece/pieceEvery) && s.trouble {
			s.note("SIGTERM to the old process")
			old.signal(syscall.SIGTERM)
		}
		if _, err := io.WriteString(caller.conn, strings.Repeat("x", pieceBytes)); err != nil {
			return []string{fmt.Sprintf("the connection ended in the middle of %s, with no answer: %v", name, err)}, nil
		}
		if i < pieces-1 {
			time.Sleep(pieceEvery)
		}
	}
	s.note("client: has written the last byte of %s", name)
	status, err := caller.answer(checkinTime + lateAfter)
	if err != nil {
		return []string{fmt.Sprintf("request %s was taken and got no answer: %v", name, err)}, nil
	}
	s.note("client: request %s answered %d", name, status)
	return nil, nil
}
