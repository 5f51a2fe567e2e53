package main

import (
	"io"
	"strings"
	"syscall"
	"time"
)

func init() { plays["long-upload"] = playLongUpload }

// playLongUpload: a client sends a long body while the balancer is told to end.
func playLongUpload(set *stage) ([]string, error) {
	site, err := set.site(700 * time.Millisecond)
	if err != nil {
		return nil, err
	}
	caller, err := dial(site.listen)
	if err != nil {
		return nil, err
	}
	defer caller.close()
	const name, size, part, parts = "long-0001", 3 << 20, 3 << 20 / 24, 24
	set.note("client: begins to write request %s of %d bytes", name, size)
	if _, err := io.WriteString(caller.conn, head(name, checkinTime, size)); err != nil {
		return nil, err
	}
	for i := range parts {
		if i == parts-14 && set.trouble {
			set.note("SIGTERM")
			site.balancer.signal(syscall.SIGTERM)
		}
		if _, err := io.WriteString(caller.conn, strings.Repeat("x", part)); err != nil {
			break
		}
		if i < parts-1 {
			time.Sleep(pieceEvery)
		}
	}
	set.note("client: wrote the last byte of %s", name)
	status, err := caller.answer(checkinTime + lateAfter)
	if err != nil {
		return []string{"request " + name + " was taken and got no answer: " + err.Error()}, nil
	}
	set.note("client: request %s answered %d", name, status)
	return nil, nil
}
