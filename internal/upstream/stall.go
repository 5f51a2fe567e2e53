package upstream

import (
	"errors"
	"fmt"
	"time"

	"olivearch/internal/http1"
)

// errStalled is the error of an attempt whose upstream took nothing of a streamed body.
var errStalled = errors.New("upstream takes nothing of the request")

// minStallLimit is the shortest time for which an upstream may take nothing.
const minStallLimit = 50 * time.Millisecond

// uploadWatch ends the sending of a streamed body on a connection if the upstream takes nothing of it for a time.
type uploadWatch struct {
	delivery   *http1.DeliveryWatch
	stallLimit time.Duration
}

// watchUpload starts an uploadWatch. An early response can still be read once it has ended the sending.
func watchUpload(connection *conn, limit time.Duration) uploadWatch {
	limit = max(limit, minStallLimit)
	return uploadWatch{delivery: http1.WatchDelivery(connection, limit, connection.endWriting), stallLimit: limit}
}

// stop ends the watch, and returns the error of the body's sending, which is err unless the watch has caused it.
func (w uploadWatch) stop(err error) error {
	w.delivery.Stop()
	if err != nil && w.delivery.Stalled() {
		return fmt.Errorf("%w for %v: %w", errStalled, w.stallLimit, err)
	}
	return err
}
