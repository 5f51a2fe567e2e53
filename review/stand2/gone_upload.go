//go:build review

package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

func init() { plays["gone-upload"] = playGoneUpload }

// patient is a class like checkin whose clients wait longer.
const patient = `{"name":"checkin","target_us":2000000,"give_up_us":3000000,"group":"all","late_worth":0.0,` +
	`"memory_span_us":5000000,"repeat":"non_idempotent","stream":false,"worth":1.0}`

const (
	patientTime = 3 * time.Second
	// uploadBytes is over the 64 KiB and 1 MiB that are read ahead.
	uploadBytes = 1<<20 + 64<<10 + 40<<10
	// attemptsEnd is how long after a client's close an attempt may still begin.
	attemptsEnd = 100 * time.Millisecond
)

// playGoneUpload: the only upstream is busy, and a client that has written a long request leaves. Its request may not
// be sent any more.
func playGoneUpload(set *stage) ([]string, error) {
	server, err := set.upstream("s-00000001", 600*time.Millisecond)
	if err != nil {
		return nil, err
	}
	source, err := set.discovery("A", 41, server)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config, err := set.writeConfig(patient, listen, source.address, source.list())
	if err != nil {
		return nil, err
	}
	if _, err := set.balancer("balancer", config); err != nil {
		return nil, err
	}
	for number := range 4 {
		busy, err := dial(listen)
		if err != nil {
			return nil, err
		}
		defer busy.close()
		if _, err := io.WriteString(busy.conn, head(fmt.Sprintf("busy-%d", number), patientTime, 2)+"ok"); err != nil {
			return nil, err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return set.leave(listen, server)
}

// leave sends a long request and closes the connection once all of it is written.
func (s *stage) leave(listen string, server *upstream) ([]string, error) {
	const name = "gone-0001"
	caller, err := dial(listen)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	text := head(name, patientTime, uploadBytes) + strings.Repeat("x", uploadBytes)
	if _, err := io.WriteString(caller.conn, text); err != nil {
		return nil, err
	}
	s.note("client: has written the last byte of %s", name)
	time.Sleep(30 * time.Millisecond)
	closed := time.Now()
	if s.trouble {
		caller.close()
		s.note("client: has closed its connection")
	}
	time.Sleep(4 * time.Second)
	for _, a := range server.arrivals {
		if late := a.at.Sub(closed); s.trouble && a.id == name && late > attemptsEnd {
			return []string{fmt.Sprintf("an attempt of %s began %v after its client had gone", name, late)}, nil
		}
	}
	return nil, nil
}
