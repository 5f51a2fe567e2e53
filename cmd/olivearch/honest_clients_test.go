package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// patientClients are honest clients beside those that take memory.
var patientClients = honestLoad{clients: 4, pause: 20 * time.Millisecond, limit: 250 * time.Millisecond}

// wantedInTime is the part of the honest requests that must be served in time.
const wantedInTime = 0.9

// honestOutcomes are the outcomes of requests of clients that behave well.
type honestOutcomes struct {
	inTime, late, failed atomic.Int64

	mu        sync.Mutex
	latencies []time.Duration
	ended     []honestOutcome
}

// honestOutcome is the outcome of a request.
type honestOutcome struct {
	began, ended time.Time
	served       bool
	limit        time.Duration
}

// between returns the outcomes of the requests that began and ended between two times and that no pause met.
func (o *honestOutcomes) between(from, to time.Time, pauses []pause) *honestOutcomes {
	o.mu.Lock()
	defer o.mu.Unlock()
	var selected honestOutcomes
	for _, outcome := range o.ended {
		met := func(p pause) bool { return outcome.began.Before(p.ended) && p.began.Before(outcome.ended) }
		if outcome.began.Before(from) || outcome.ended.After(to) || slices.ContainsFunc(pauses, met) {
			continue
		}
		selected.note(outcome)
	}
	return &selected
}

func (o *honestOutcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	slices.Sort(o.latencies)
	return fmt.Sprintf("%d in time, %d late, %d not served; half within %v, 99 of 100 within %v",
		o.inTime.Load(), o.late.Load(), o.failed.Load(), o.quantile(50), o.quantile(99))
}

// quantile returns the latency that percent of the sorted latencies don't exceed.
func (o *honestOutcomes) quantile(percent int) time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	return o.latencies[(len(o.latencies)-1)*percent/100].Round(time.Millisecond)
}

// note counts a request that has ended.
func (o *honestOutcomes) note(outcome honestOutcome) {
	latency := outcome.ended.Sub(outcome.began)
	o.mu.Lock()
	o.latencies = append(o.latencies, latency)
	o.ended = append(o.ended, outcome)
	o.mu.Unlock()
	switch {
	case !outcome.served:
		o.failed.Add(1)
	case latency > outcome.limit:
		o.late.Add(1)
	default:
		o.inTime.Add(1)
	}
}

// areInTime reports whether enough of the requests were served in time.
func (o *honestOutcomes) areInTime() bool {
	inTime := float64(o.inTime.Load())
	all := inTime + float64(o.late.Load()+o.failed.Load())
	return inTime > 0 && inTime >= wantedInTime*all
}

// honestLoad are clients that behave well.
type honestLoad struct {
	clients        int
	pause          time.Duration // between two requests of a client
	limit          time.Duration // by which a response is in time
	tellsLimit     bool          // the requests say how much time they have
	newConnections bool          // a connection for each request; else each client keeps its own
}

// run sends requests until ctx ends.
func (h honestLoad) run(ctx context.Context, address string, outcomes *honestOutcomes) {
	transport := &http.Transport{MaxIdleConnsPerHost: h.clients, DisableKeepAlives: h.newConnections}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 2 * time.Second}
	var clients sync.WaitGroup
	var serial atomic.Int64
	for range h.clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				served := h.send(client, address, serial.Add(1))
				outcomes.note(honestOutcome{began, time.Now(), served, h.limit})
				<-time.After(h.pause)
			}
		})
	}
	clients.Wait()
}

func (h honestLoad) send(client *http.Client, address string, serial int64) (served bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/c", strings.NewReader("abc"))
	if err != nil {
		return false
	}
	request.Header.Set("X-Class", "c")
	if h.tellsLimit {
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(h.limit.Milliseconds(), 10))
	}
	request.Header.Set("X-Request-Id", fmt.Sprintf("%016x", serial))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
