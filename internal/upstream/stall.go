package upstream

import (
	"errors"
	"fmt"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
)

var (
	// errStalled is the error of an attempt whose upstream took nothing of a streamed body.
	errStalled = errors.New("upstream takes nothing of the request")
	// errTakenTooSlowly is the error of an attempt whose upstream has not taken the whole body within the request's
	// time, which counts from the client's last byte.
	errTakenTooSlowly = errors.New("upstream takes the request too slowly")
)

// minStallLimit is the shortest time for which an upstream may take nothing. The system of a slow one acknowledges
// whole segments, up to 64 KiB on loopback.
const minStallLimit = time.Second

// minTakingTime is the shortest time after the client's last byte in which an upstream may take the rest of a body.
const minTakingTime = 50 * time.Millisecond

// uploadWatch ends the sending of a streamed body on a connection if the upstream takes nothing of it, or not all of it
// in the request's time. Until the client's last byte that time does not run, so no deadline of the attempt ends the
// writing. An early response can still be read once the watch has ended it.
type uploadWatch struct {
	delivery   *http1.DeliveryWatch
	arrival    *body.ArrivalWatch
	stallLimit time.Duration
	limit      time.Duration
}

// watchUpload starts an uploadWatch. limit is the request's time from the client's last byte.
func watchUpload(connection *conn, upload *body.Upload, limit time.Duration) uploadWatch {
	stallLimit := max(limit, minStallLimit)
	limit = max(limit, minTakingTime)
	return uploadWatch{
		delivery:   http1.WatchDelivery(connection, stallLimit, connection.endWriting),
		arrival:    upload.WatchArrival(limit, connection.endWriting),
		stallLimit: stallLimit,
		limit:      limit,
	}
}

// stop ends the watch, and returns the error of the body's sending, which is err unless the watch has caused it.
func (w uploadWatch) stop(err error) error {
	w.delivery.Stop()
	w.arrival.Stop()
	switch {
	case err == nil:
		return nil
	case w.arrival.Late():
		return fmt.Errorf("%w, in %v: %w", errTakenTooSlowly, w.limit, err)
	case w.delivery.Stalled():
		return fmt.Errorf("%w for %v: %w", errStalled, w.stallLimit, err)
	}
	return err
}
