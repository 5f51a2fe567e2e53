package body

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"olivearch/internal/http1"
)

// downloadWriteTimeout bounds the writing of one part of a streamed response to the client.
const downloadWriteTimeout = 20 * time.Second

var errTotalExceeded = errors.New("streamed response exceeds the total time of its route")

// Copy streams the body to a client. A body of unknown length is sent in chunks, or without framing if chunked is
// false. If the upstream fails, the client gets no regular end of the body: no last chunk, fewer bytes than announced,
// or a reset.
func (d *Download) Copy(client net.Conn, chunked bool) error {
	defer d.abandon()
	if d.HasUnknownLength() {
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
		if err := d.setReadTimeout(d.limits.StallTimeout); err != nil {
			return err
		}
		if err := d.body.Wait(); err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if err := d.setReadTimeout(partTimeout); err != nil {
			return err
		}
		_, err := forwardPart(d.body, client, http1.WriteLimit{Part: downloadWriteTimeout})
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case d.exceedsTotal(started):
			return errTotalExceeded
		}
	}
}

// copyParts writes the buffered bytes, and then the parts that Receive reads.
func (d *Download) copyParts(client net.Conn, chunked bool) error {
	if err := http1.SendPart(client, d.buffered, chunked, http1.WriteLimit{Part: downloadWriteTimeout}); err != nil {
		return err
	}
	started := time.Now()
	for {
		next := <-d.parts
		err := http1.SendPart(client, next.block[:next.n], chunked, http1.WriteLimit{Part: downloadWriteTimeout})
		blocks.Put(next.block)
		switch {
		case err != nil:
			return err
		case d.exceedsTotal(started):
			return errTotalExceeded
		case next.err != nil:
			return d.endParts(client, chunked, next.err)
		}
	}
}

// endParts ends a response after its last part, whose error is err. Only io.EOF leads to a regular end.
func (d *Download) endParts(client net.Conn, chunked bool, err error) error {
	if !errors.Is(err, io.EOF) {
		logCut(err)
		if !chunked { // the client would take a regular close for the end of the body
			http1.Abort(client)
		}
		return err
	}
	if !chunked {
		return nil
	}
	return http1.SendLastChunk(client, d.Trailer(), http1.WriteLimit{Part: downloadWriteTimeout})
}

// exceedsTotal reports whether the response takes longer than its route allows.
func (d *Download) exceedsTotal(started time.Time) bool {
	return d.limits.DownloadTimeout > 0 && time.Since(started) > d.limits.DownloadTimeout
}
