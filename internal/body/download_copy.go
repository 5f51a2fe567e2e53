package body

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"olivearch/internal/http1"
)

// downloadWriteTimeout is how long a client may take for a part of a response that is streamed.
const downloadWriteTimeout = 20 * time.Second

var errLate = errors.New("the answer takes longer than its route lets it")

// Copy streams the body to a client: by its length if that is known, or else in chunks, or up to the connection's close
// if chunked is false. If the upstream fails the client gets no clean end, as far as that can be told without chunks.
func (d *Download) Copy(client net.Conn, chunked bool) error {
	defer d.abandon()
	if d.Framed() {
		return d.copyParts(client, chunked)
	}
	err := d.forward(client)
	d.forwarded <- err
	if err != nil {
		logCut(err)
	}
	return err
}

func logCut(err error) { slog.Warn("response cut", "err", err) }

// forward moves a body of known length from the upstream's connection to the client's.
func (d *Download) forward(client net.Conn) error {
	started := time.Now()
	for {
		if err := d.setReadTimeout(d.limits.Quiet); err != nil {
			return err
		}
		if err := d.body.Wait(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := d.setReadTimeout(partTimeout); err != nil {
			return err
		}
		_, err := forwardPart(d.body, client, downloadWriteTimeout)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case d.late(started):
			return errLate
		}
	}
}

// copyParts writes what was buffered, and then the parts that Receive reads.
func (d *Download) copyParts(client net.Conn, chunked bool) error {
	if err := http1.Chunk(client, d.buffered, chunked, downloadWriteTimeout); err != nil {
		return err
	}
	started := time.Now()
	for {
		next := <-d.parts
		err := http1.Chunk(client, next.block[:next.n], chunked, downloadWriteTimeout)
		blocks.Put(next.block)
		switch {
		case err != nil:
			return err
		case d.late(started):
			return errLate
		case next.err != nil:
			return d.endParts(client, chunked, next.err)
		}
	}
}

// endParts ends a response whose last part has come with an error: cleanly after io.EOF only.
func (d *Download) endParts(client net.Conn, chunked bool, err error) error {
	if !errors.Is(err, io.EOF) {
		logCut(err)
		if !chunked { // a close would pass for the end
			http1.Abort(client)
		}
		return err
	}
	if !chunked {
		return nil
	}
	return http1.End(client, d.Trailer(), downloadWriteTimeout)
}

// late tells whether a response takes longer than its route allows.
func (d *Download) late(started time.Time) bool {
	return d.limits.Total > 0 && time.Since(started) > d.limits.Total
}
