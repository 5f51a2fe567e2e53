package body

import (
	"errors"
	"io"
	"net"
	"time"

	"olivearch/internal/http1"
)

const (
	// uploadReadTimeout is how long a client may send nothing of a body that is sent while it comes.
	uploadReadTimeout = 5 * time.Second
	// uploadWriteTimeout is how long an upstream may take for a part of a body.
	uploadWriteTimeout = 5 * time.Second
)

// Send writes the rest of a body to an upstream. The last byte is written only if it returns nil. The error is a
// ClientFailed if the client is the cause.
func (u *Upload) Send(upstream net.Conn) (err error) {
	for _, block := range u.blocks {
		if err := http1.Chunk(upstream, block, !u.known, uploadWriteTimeout); err != nil {
			return err
		}
	}
	if !u.Streaming() {
		return u.sendEnd(upstream, u.trailer)
	}
	if !u.start() {
		return ClientFailed{errStopped}
	}
	defer func() { u.finish(err) }()
	return u.sendLive(upstream)
}

// start lets one attempt read from the client, or none if the body is not wanted any more.
func (u *Upload) start() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.started || u.stopped {
		return false
	}
	u.started = true
	return true
}

// finish records how the attempt that read from the client has ended.
func (u *Upload) finish(err error) {
	u.mu.Lock()
	u.finished = true
	u.complete = err == nil
	u.clientFailed = errors.As(err, new(ClientFailed))
	u.mu.Unlock()
	u.done <- err
}

// sendLive writes what the client still sends, to the body's end.
func (u *Upload) sendLive(upstream net.Conn) error {
	started := time.Now()
	var sent int64
	var waited time.Duration // for the client
	for {
		if time.Since(started) > u.limits.Within || u.tooSlow(sent, waited) {
			return ClientFailed{ErrClientTooSlow}
		}
		partSent, partWaited, err := u.sendPart(upstream)
		if errors.Is(err, io.EOF) {
			return u.sendEnd(upstream, u.limits.Trailer(u.src))
		}
		if err != nil {
			return err
		}
		sent += partSent
		waited += partWaited
	}
}

// sendEnd writes what follows the last byte of a body, if it is chunked.
func (u *Upload) sendEnd(upstream net.Conn, trailer http1.Fields) error {
	if u.known {
		return nil
	}
	return http1.End(upstream, trailer, uploadWriteTimeout)
}

// tooSlow tells whether a client that has sent so many bytes may not be waited for any longer.
func (u *Upload) tooSlow(sent int64, waited time.Duration) bool {
	if u.floor.Rate <= 0 || waited <= u.floor.Grace {
		return false
	}
	required := float64(u.floor.Rate) * (waited - u.floor.Grace).Seconds()
	return float64(sent) < required
}

// sendPart moves a part of the body, and tells how long it has waited for the client. It is io.EOF at the body's end.
func (u *Upload) sendPart(upstream net.Conn) (sent int64, waited time.Duration, err error) {
	if u.known {
		return u.forwardNext(upstream)
	}
	return u.copyNext(upstream)
}

// forwardNext moves a part of a body whose length is known, once something of it has come.
func (u *Upload) forwardNext(upstream net.Conn) (sent int64, waited time.Duration, err error) {
	if err := u.setReadTimeout(uploadReadTimeout); err != nil {
		return 0, 0, err
	}
	waitStart := time.Now()
	if err := u.src.Wait(); err != nil && !errors.Is(err, io.EOF) {
		return 0, 0, ClientFailed{err}
	}
	waited = time.Since(waitStart)
	if err := u.setReadTimeout(partTimeout); err != nil {
		return 0, waited, err
	}
	forwardStart := time.Now()
	sent, err = forwardPart(u.src, upstream, uploadWriteTimeout)
	if err == nil && sent < maxPart { // what is missing has not come within partTimeout
		waited += time.Since(forwardStart)
	}
	if u.isClientFault(err) {
		err = ClientFailed{err}
	}
	return sent, waited, err
}

// isClientFault tells whether forwarding has failed because the client ended its connection.
func (u *Upload) isClientFault(err error) bool {
	if err == nil || errors.Is(err, io.EOF) {
		return false
	}
	return errors.Is(err, io.ErrUnexpectedEOF) || http1.PeerClosed(u.conn)
}

// copyNext moves a part of a body whose length is not known.
func (u *Upload) copyNext(upstream net.Conn) (sent int64, waited time.Duration, err error) {
	if err := u.setReadTimeout(uploadReadTimeout); err != nil {
		return 0, 0, err
	}
	block := blocks.Get().(*[BlockSize]byte)
	defer blocks.Put(block)
	waitStart := time.Now()
	n, err := u.src.Read(block[:])
	waited = time.Since(waitStart)
	if writeErr := http1.Chunk(upstream, block[:n], true, uploadWriteTimeout); writeErr != nil {
		return 0, waited, writeErr
	}
	if err != nil && !errors.Is(err, io.EOF) {
		err = ClientFailed{err}
	}
	return int64(n), waited, err
}

// setReadTimeout bounds the next read from the client, unless no more is to be read.
func (u *Upload) setReadTimeout(timeout time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return ClientFailed{errStopped}
	}
	_ = u.conn.SetReadDeadline(time.Now().Add(timeout)) // fails on a closed connection, as the read does then
	return nil
}
