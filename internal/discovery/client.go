// Package discovery follows the endpoint list of a discovery service by long polling, for the pools of a balancer. It
// also maps the service's ids to the numbers of upstreams in the decision module.
//
// The source of a list is either a shared service, which is polled, or an agent on the balancer's own machine, which
// pushes lists. After a failed call to a shared service the watch ends: the decision module chooses the backoff before
// the next one. A failed call to an agent is retried here, as it loads no other machine.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// maxListingSize bounds the part of an answer that is read, in bytes.
const maxListingSize = 4 << 20

// Client follows the endpoint list of the service at one address, and posts an Event for each answer and failure. Its
// methods may be called from many goroutines.
type Client struct {
	Address  string // host and port of the service
	url      string
	client   *http.Client
	ctx      context.Context // of all calls; Close cancels it
	cancel   context.CancelFunc
	revision atomic.Pointer[uint64] // of the newest listing that was posted; nil before the first
	assumed  atomic.Bool            // revision is that of a stored list, which may be another service's
	post     func(Event)
}

// Event is an answer of the service, or the failure of a call. From lets the receiver ignore late events of a service
// that a new configuration has replaced.
type Event struct {
	From *Client
	Listing
	Err error
}

// New returns a Client of the service at address, a host and port. The Client calls post with each event, from the
// goroutine that runs Watch or Fetch.
func New(ctx context.Context, address string, post func(Event)) *Client {
	c := &Client{
		Address: address,
		url:     "http://" + address + "/v1/servers",
		post:    post,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Close cancels all calls and closes the idle connections.
func (c *Client) Close() {
	c.cancel()
	c.client.CloseIdleConnections()
}

// Watch follows the list until ctx is cancelled or the Client is closed. Unless the list is pushed, it also ends after
// the first failed call. The first call asks for the complete list if this Client has no revision yet: revisions of
// another service cannot be compared with those of this one.
func (c *Client) Watch(ctx context.Context, pushed bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(c.ctx, cancel)
	defer stop()
	limits := pollLimits
	if pushed {
		limits = pushLimits
	}
	failedBefore := false
	for ctx.Err() == nil {
		nextCall := time.After(WatchPause)
		listing, err := c.awaitChange(ctx, limits)
		if ctx.Err() != nil {
			return
		}
		switch {
		case err == nil:
			c.post(Event{From: c, Listing: listing})
			c.SetRevision(listing.Revision)
		case !pushed:
			<-nextCall // the decision module may start the next watch immediately
			c.post(Event{From: c, Listing: listing, Err: err})
			return
		case !failedBefore: // the retry needs no decision, so only the first of several failures is posted
			c.post(Event{From: c, Listing: listing, Err: err})
		}
		failedBefore = err != nil
		<-nextCall
	}
}

// awaitChange makes one call of a watch. It asks for changes since the newest listing, or for the complete list if no
// listing was posted yet.
func (c *Client) awaitChange(ctx context.Context, limits callLimits) (Listing, error) {
	revision := c.revision.Load()
	if revision == nil {
		return c.call(ctx, c.url, limits.listTimeout)
	}
	url := fmt.Sprintf("%s?since=%d&timeout_ms=%d", c.url, *revision, limits.wait.Milliseconds())
	return c.call(ctx, url, limits.wait+limits.grace)
}

// Fetch asks for the complete list once, and posts the answer or failure.
func (c *Client) Fetch() {
	listing, err := c.call(c.ctx, c.url, ListTimeout)
	if c.ctx.Err() != nil {
		return
	}
	c.post(Event{From: c, Listing: listing, Err: err})
	if err == nil {
		c.SetRevision(listing.Revision)
	}
}

// SetRevision records the revision of a posted listing. Later watches ask for changes since this revision. A revision
// older than the recorded one is ignored.
func (c *Client) SetRevision(revision uint64) {
	for {
		newest := c.revision.Load()
		if newest != nil && revision <= *newest {
			return
		}
		if c.revision.CompareAndSwap(newest, &revision) {
			return
		}
	}
}

// AssumeRevision sets the revision of a list that was stored by an earlier process. The service may be another one,
// with revisions of its own: the first answer tells.
func (c *Client) AssumeRevision(revision uint64) {
	c.assumed.Store(true)
	c.SetRevision(revision)
}

// Errors of an answer that has only changes.
var (
	errNoCompleteList = errors.New("discovery: answer has only changes, but no complete list came before")
	errOtherService   = errors.New("discovery: answer has only changes, and a lower revision than the stored list")
)

// checkRevision returns an error for changes to a list that this Client does not have. After errOtherService the next
// call asks for the complete list.
func (c *Client) checkRevision(listing *Listing) error {
	newest := c.revision.Load()
	if !listing.Complete && newest == nil {
		return errNoCompleteList
	}
	if !c.assumed.Swap(false) {
		return nil
	}
	if listing.Complete {
		c.revision.Store(&listing.Revision)
		return nil
	}
	if listing.Revision < *newest {
		c.revision.Store(nil)
		return errOtherService
	}
	return nil
}

// call fetches a listing, checks it and sorts its members by id.
func (c *Client) call(ctx context.Context, url string, timeout time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var listing Listing
	body, err := c.get(ctx, url)
	if err != nil {
		return listing, err
	}
	if err := json.Unmarshal(body, &listing); err != nil {
		return listing, fmt.Errorf("discovery: %w", err)
	}
	for i := range listing.Members {
		if err := listing.Members[i].Check(); err != nil {
			return listing, fmt.Errorf("discovery: %w", err)
		}
	}
	if err := c.checkRevision(&listing); err != nil {
		return listing, err
	}
	slices.SortFunc(listing.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return listing, nil
}

// get returns the body of an answer with status 200. Any other status is an error.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: unexpected status %s", response.Status)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListingSize))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return body, nil
}
