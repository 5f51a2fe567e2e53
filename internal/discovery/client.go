// Package discovery follows the endpoint list of a discovery service by long polling.
//
// A service that is polled is never retried by this package after a failed call: the backoff is the decision module's.
// An agent on the balancer's own machine, which pushes lists, costs nobody anything and is retried until it answers.
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

// maxListingSize bounds what is read of an answer, in bytes.
const maxListingSize = 4 << 20

// Client polls one address for the endpoint list, and posts an event for each answer and failure. Its methods may be
// called from many goroutines.
type Client struct {
	Address  string // host and port of the service
	url      string
	client   *http.Client
	ctx      context.Context // ends all calls
	cancel   context.CancelFunc
	revision atomic.Pointer[uint64] // of the newest listing that was posted; nil: none yet
	post     func(Event)
}

// Event is an event: an answer of the service, or the failure of a call. It names its client, as a late event of a
// service that a new configuration has replaced must be ignored.
type Event struct {
	From *Client
	Listing
	Err error
}

// New returns a Client of the service at an address. It calls post with each event, from the goroutine that runs Watch
// or Fetch.
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

// Watch follows the list until ctx or the Client ends, and where the service is polled also until a call fails.
// Revisions of one service mean nothing to another, so without a list of its own it asks for the complete list.
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
			<-nextCall // the decision module may retry at once
			c.post(Event{From: c, Listing: listing, Err: err})
			return
		case !failedBefore: // there is nothing to decide, so the first failure is enough
			c.post(Event{From: c, Listing: listing, Err: err})
		}
		failedBefore = err != nil
		<-nextCall
	}
}

// awaitChange makes one call of a watch: for changes since the newest listing, or for the complete list if there is
// none.
func (c *Client) awaitChange(ctx context.Context, limits callLimits) (Listing, error) {
	revision := c.revision.Load()
	if revision == nil {
		return c.call(ctx, c.url, limits.listTimeout)
	}
	url := fmt.Sprintf("%s?since=%d&timeout_ms=%d", c.url, *revision, limits.wait.Milliseconds())
	return c.call(ctx, url, limits.wait+limits.grace)
}

// Fetch asks for the complete list once.
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

// SetRevision records the revision of a listing that has been posted, from which later watches go on. An older
// revision than the recorded one has no effect.
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

// call fetches a listing and checks it. The members of the listing that it returns are sorted by id.
func (c *Client) call(ctx context.Context, url string, timeout time.Duration) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var listing Listing
	text, err := c.get(ctx, url)
	if err != nil {
		return listing, err
	}
	if err := json.Unmarshal(text, &listing); err != nil {
		return listing, fmt.Errorf("discovery: %w", err)
	}
	for i := range listing.Members {
		if err := listing.Members[i].Check(); err != nil {
			return listing, fmt.Errorf("discovery: %w", err)
		}
	}
	if !listing.Complete && c.revision.Load() == nil {
		return listing, errors.New("discovery: changes to a list that was never told")
	}
	slices.SortFunc(listing.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return listing, nil
}

// get returns the body of a successful answer.
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
		return nil, fmt.Errorf("discovery: answered %s", response.Status)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxListingSize))
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	return text, nil
}
