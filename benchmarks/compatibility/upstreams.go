package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// upstreamCount is how many upstreams stand behind a balancer.
	upstreamCount = 3
	// serviceTime is how long an upstream takes for an answer.
	serviceTime = 2 * time.Millisecond
	// watchTimeout is how long discovery holds a call that asks for a newer list; there never is one.
	watchTimeout = time.Second
	// Upstreams report their load in steps: a report that is the same as the one before is no new reading.
	leastLoad, loadStep, loadSteps = 0.1, 0.01, 7
	// listRevision is that of the list of upstreams.
	listRevision = "7"
	// requestIDHeader names a request; an upstream answers with its value.
	requestIDHeader = "X-Request-Id"
)

// upstreams are stand-ins for upstreams in this process, with the discovery service that lists them.
type upstreams struct {
	servers   []*httptest.Server
	hits      [upstreamCount]atomic.Int64
	discovery *httptest.Server
}

// startUpstreams starts the upstreams and discovery on loopback.
func startUpstreams() *upstreams {
	group := &upstreams{}
	var members []string
	for index := range upstreamCount {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			hits := group.hits[index].Add(1)
			time.Sleep(serviceTime)
			w.Header().Set("X-Load", fmt.Sprintf("util=%g", leastLoad+loadStep*float64(hits%loadSteps)))
			fmt.Fprint(w, r.Header.Get(requestIDHeader))
		}))
		group.servers = append(group.servers, server)
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"phase":"up","size":1}`,
			upstreamID(index), server.Listener.Addr()))
	}
	list := fmt.Sprintf(`{"revision":%s,"complete":true,"members":[%s]}`, listRevision, strings.Join(members, ","))
	group.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("since") == listRevision {
			select {
			case <-r.Context().Done():
			case <-time.After(watchTimeout):
			}
		}
		fmt.Fprint(w, list)
	}))
	return group
}

// upstreamID is an upstream's id in the list.
func upstreamID(index int) string { return fmt.Sprintf("s-%08x", index+1) }

// close ends all servers. Connections that balancers still have are cut.
func (u *upstreams) close() {
	for _, server := range append(u.servers, u.discovery) {
		server.CloseClientConnections()
		server.Close()
	}
}
