package body

import (
	"errors"
	"io"
	"net"
	"time"

	"olivearch/internal/http1"
)

const (
	// uploadReadTimeout is the longest time without a byte from the client while its body is streamed.
	uploadReadTimeout = 5 * time.Second
	// uploadWriteTimeout bounds the writing of one part of a body to the upstream. The transport ends the writing sooner
	// if the upstream takes nothing.
	uploadWriteTimeout = 5 * time.Minute
)

// Send writes the blocks and the rest of the body to an upstream. It writes nothing after end, unless that is zero. The
// last byte has been written only if Send returns nil. The error is a ClientError if the client is the cause or the
// upload was stopped.
func (u *Upload) Send(upstream net.Conn, end time.Time) (err error) {
	limit := http1.WriteLimit{Part: uploadWriteTimeout, End: end}
	readAhead := u.beginSending()
	defer u.endSending()
	for _, block := range readAhead {
		if err := http1.SendPart(upstream, block, !u.lengthKnown, limit); err != nil {
			return err
		}
	}
	if !u.Streaming() {
		return u.sendEnd(upstream, u.trailer, limit)
	}
	if !u.beginReading() {
		return ClientError{errStopped}
	}
	defer func() { u.endReading(err) }()
	return u.sendFromClient(upstream, limit)
}

// beginReading reports whether an attempt may read from the client. It returns true once at most, and never after Stop.
func (u *Upload) beginReading() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started || u.stopped {
		return false
	}
	u.started = true
	return true
}

// endReading records the result of the attempt that read from the client.
func (u *Upload) endReading(err error) {
	u.mu.Lock()
	u.finished = true
	u.complete = err == nil
	u.clientFailed = errors.As(err, new(ClientError))
	u.mu.Unlock()
	u.done <- err
}

// sendFromClient reads the rest of the body from the client and writes it to the upstream.
func (u *Upload) sendFromClient(upstream net.Conn, limit http1.WriteLimit) error {
	started := time.Now()
	var sent int64
	var waited time.Duration // spent waiting for the client
	for {
		if time.Since(started) > u.limits.UploadTimeout || u.tooSlow(sent, waited) {
			return ClientError{ErrClientTooSlow}
		}
		partSent, partWaited, err := u.sendPart(upstream, limit)
		if errors.Is(err, io.EOF) {
			return u.sendEnd(upstream, u.limits.Trailer(u.src), limit)
		}
		if err != nil {
			return err
		}
		sent += partSent
		waited += partWaited
	}
}

// sendEnd writes the last chunk and the trailer, if the body is sent in chunks.
func (u *Upload) sendEnd(upstream net.Conn, trailer http1.Fields, limit http1.WriteLimit) error {
	if u.lengthKnown {
		return nil
	}
	return http1.SendLastChunk(upstream, trailer, limit)
}

// tooSlow reports whether the client sends below the minimum rate: sent is in bytes, waited is the time spent waiting
// for the client.
func (u *Upload) tooSlow(sent int64, waited time.Duration) bool {
	if u.minRate.BytesPerSecond <= 0 || waited <= u.minRate.Grace {
		return false
	}
	required := float64(u.minRate.BytesPerSecond) * (waited - u.minRate.Grace).Seconds()
	return float64(sent) < required
}

// sendPart moves a part of the body. It returns the bytes moved, the time spent waiting for the client, and io.EOF at
// the end of the body.
func (u *Upload) sendPart(upstream net.Conn, limit http1.WriteLimit) (sent int64, waited time.Duration, err error) {
	u.awaitClient()
	defer u.clientSent()
	if u.lengthKnown {
		return u.forwardNext(upstream, limit)
	}
	return u.copyNext(upstream, limit)
}

func (u *Upload) awaitClient() {
	if u.progress != nil {
		u.progress.AwaitClient()
	}
}

func (u *Upload) clientSent() {
	if u.progress != nil {
		u.progress.ClientSent()
	}
}

// forwardNext waits for the next byte of a body of known length and then moves a part of the body.
func (u *Upload) forwardNext(
	upstream net.Conn, limit http1.WriteLimit,
) (sent int64, waited time.Duration, err error) {
	if err := u.setReadTimeout(uploadReadTimeout); err != nil {
		return 0, 0, err
	}
	waitStart := time.Now()
	if err := u.src.Wait(); err != nil && !errors.Is(err, io.EOF) {
		return 0, 0, ClientError{err}
	}
	waited = time.Since(waitStart)
	u.clientSent()
	if err := u.setReadTimeout(partTimeout); err != nil {
		return 0, waited, err
	}
	forwardStart := time.Now()
	sent, err = forwardPart(u.src, upstream, limit)
	if err == nil && sent < maxPartBytes { // more bytes did not arrive within partTimeout
		waited += time.Since(forwardStart)
	}
	if u.isClientFault(err) {
		err = ClientError{err}
	}
	return sent, waited, err
}

// isClientFault reports whether forwarding has failed because the client ended its connection. As long as bytes of it
// are unread, a read can't have failed.
func (u *Upload) isClientFault(err error) bool {
	if err == nil || errors.Is(err, io.EOF) {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || http1.Peek(u.conn).AtEnd()
}

// copyNext moves a part of a body of unknown length.
func (u *Upload) copyNext(upstream net.Conn, limit http1.WriteLimit) (sent int64, waited time.Duration, err error) {
	if err := u.setReadTimeout(uploadReadTimeout); err != nil {
		return 0, 0, err
	}
	block := blocks.Get().(*[BlockSize]byte)
	defer blocks.Put(block)
	waitStart := time.Now()
	n, err := u.src.Read(block[:])
	waited = time.Since(waitStart)
	u.clientSent()
	if u.src.Ended() {
		u.noteArrived()
	}
	if writeErr := http1.SendPart(upstream, block[:n], true, limit); writeErr != nil {
		return 0, waited, writeErr
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = ClientError{err}
	}
	return int64(n), waited, err
}

// setReadTimeout sets the deadline of the next read from the client. It returns an error if the upload was stopped.
func (u *Upload) setReadTimeout(timeout time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return ClientError{errStopped}
	}
	_ = u.conn.SetReadDeadline(time.Now().Add(timeout)) // if it fails, so does the read
	return nil
}
