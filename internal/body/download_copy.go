package body

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"olivearch/internal/http1"
)

const (
	// clientStallTimeout is the longest time for which a client may take nothing of a streamed response. The system
	// of a slow client acknowledges whole segments, up to 64 KiB on loopback, so its pauses are seconds long.
	clientStallTimeout = 20 * time.Second
	// downloadWriteTimeout bounds the writing of one part of a streamed response to the client.
	downloadWriteTimeout = 5 * time.Minute
)

var (
	errTotalExceeded = errors.New("streamed response exceeds the total time of its route")
	errClientStalled = errors.New("client has stopped reading")
)

// Copy streams the body to a client. A body of unknown length is sent in chunks, or without framing if chunked is
// false. If the upstream fails, the client gets no regular end of the body: no last chunk, fewer bytes than announced,
// or a reset.
func (d *Download) Copy(client net.Conn, chunked bool) error {
	defer d.abandon()
	watch := http1.WatchDelivery(client, clientStallTimeout, func() {
		_ = http1.Innermost(client).SetWriteDeadline(expiredDeadline) // fails on a closed connection, as the write does
	})
	defer watch.Stop()
	if d.HasUnknownLength() {
		return d.copyUnknownLength(client, chunked, watch)
	}
	err := d.forward(client, watch)
	d.forwarded <- err
	if err != nil {
		d.logCut(err)
	}
	return err
}

// copyUnknownLength streams a body of unknown length.
func (d *Download) copyUnknownLength(client net.Conn, chunked bool, watch *http1.DeliveryWatch) error {
	err := d.copyParts(client, chunked)
	if err != nil && watch.Stalled() {
		err = errClientStalled
	}
	if errors.Is(err, errTotalExceeded) || errors.Is(err, errClientStalled) {
		d.logCut(err)
	}
	if err != nil && !chunked { // the client would take a regular close for the end of the body
		http1.Abort(client)
	}
	return err
}

// logCut logs that the client gets only a part of the response.
func (d *Download) logCut(err error) {
	d.mu.Lock()
	received, idle := d.received, time.Since(d.stall.lastByte)
	d.mu.Unlock()
	slog.Warn("response cut", "err", err, "request", d.origin.Request, "endpoint", d.origin.Endpoint,
		"received", received, "idle", idle)
}

// writeLimit returns the limit of the writing of a response whose streaming starts now.
func (d *Download) writeLimit() http1.WriteLimit {
	limit := http1.WriteLimit{Part: downloadWriteTimeout}
	if d.limits.DownloadTimeout > 0 {
		limit = limit.EndBy(time.Now().Add(d.limits.DownloadTimeout))
	}
	return limit
}

// totalError returns errTotalExceeded if the response takes longer than its route allows, else err.
func totalError(limit http1.WriteLimit, err error) error {
	if limit.Ended() {
		return errTotalExceeded
	}
	return err
}

// forward moves a body of known length from the upstream's connection to the client's.
func (d *Download) forward(client net.Conn, watch *http1.DeliveryWatch) error {
	limit := d.writeLimit()
	for {
		err := d.forwardNext(client, limit)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if watch.Stalled() { // the bytes that splice(2) had read are lost
			return errClientStalled
		}
		if err := totalError(limit, err); err != nil {
			return err
		}
	}
}

// forwardNext waits for the next byte of a body of known length and then moves a part of the body. It returns io.EOF at
// the end of the body.
func (d *Download) forwardNext(client net.Conn, limit http1.WriteLimit) error {
	if err := d.awaitNextByte(limit.End); err != nil {
		return err
	}
	if err := d.body.Wait(); err != nil && !errors.Is(err, io.EOF) {
		return d.readError(err)
	}
	if err := d.setReadTimeout(partTimeout); err != nil {
		return err
	}
	moved, err := forwardPart(d.body, client, limit)
	d.noteReceived(moved)
	return err
}

// copyParts writes the buffered bytes, and then the parts that Receive reads.
func (d *Download) copyParts(client net.Conn, chunked bool) error {
	limit := d.writeLimit()
	if err := d.sendBuffered(client, chunked, limit); err != nil {
		return totalError(limit, err)
	}
	for {
		next, err := d.awaitPart(limit)
		if err != nil {
			return err
		}
		err = http1.SendPart(client, next.content(), chunked, limit)
		putBlock(next.block)
		switch {
		case err != nil:
			return totalError(limit, err)
		case next.err != nil:
			return d.endParts(client, chunked, limit, next.err)
		}
	}
}

// sendBuffered writes the bytes that were buffered before streaming, and ends the use of their memory.
func (d *Download) sendBuffered(client net.Conn, chunked bool, limit http1.WriteLimit) error {
	d.mu.Lock()
	buffered := d.buffered
	d.buffered = nil
	d.mu.Unlock()
	defer d.releaseBuffer()
	return http1.SendPart(client, buffered, chunked, limit)
}

// awaitPart returns the next part that Receive reads. It returns errTotalExceeded at the end of the limit, and
// errStopped once the download is abandoned, after which Receive may pass on no further part.
func (d *Download) awaitPart(limit http1.WriteLimit) (part, error) {
	var ended <-chan time.Time // nil: never
	if !limit.End.IsZero() {
		timer := time.NewTimer(time.Until(limit.End))
		defer timer.Stop()
		ended = timer.C
	}
	select {
	case next := <-d.parts:
		return next, nil
	case <-ended:
		return part{}, errTotalExceeded
	case <-d.abandoned:
		return part{}, errStopped
	}
}

// endParts ends a response after its last part, whose error is err. Only io.EOF leads to a regular end.
func (d *Download) endParts(client net.Conn, chunked bool, limit http1.WriteLimit, err error) error {
	if !errors.Is(err, io.EOF) {
		d.logCut(err)
		return err
	}
	if !chunked {
		return nil
	}
	return http1.SendLastChunk(client, d.Trailer(), limit)
}
