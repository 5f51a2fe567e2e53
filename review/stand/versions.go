//go:build review

package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Versions is the discovery service of PROTOCOL with a list for each version: version 0 is the empty list with which the
// service began, and each change makes the next one. A watch is answered with the entries that differ between the list of
// the version that it names and the newest one; with the whole list if there is no such version.
type Versions struct {
	Address string

	record *Record
	mu     sync.Mutex
	lists  [][]Member    // by version
	news   chan struct{} // closed at the next change
}

// StartVersions starts the service on a free port with the empty list.
func StartVersions(record *Record) (*Versions, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &Versions{Address: listener.Addr().String(), record: record, lists: [][]Member{nil}, news: make(chan struct{})}
	go http.Serve(listener, http.HandlerFunc(v.handle))
	return v, nil
}

// Change makes the next version from the newest list.
func (v *Versions) Change(what string, next func(members []Member) []Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := append([]Member(nil), v.lists[len(v.lists)-1]...)
	v.lists = append(v.lists, next(newest))
	close(v.news)
	v.news = make(chan struct{})
	v.record.Line("discovery: version %d: %s", len(v.lists)-1, what)
}

// Add lists a member.
func (v *Versions) Add(added Member) {
	v.Change(added.ID+" is "+added.Phase, func(members []Member) []Member { return append(members, added) })
}

// Remove removes a member.
func (v *Versions) Remove(id string) {
	v.Change(id+" is removed", func(members []Member) (left []Member) {
		for _, member := range members {
			if member.ID != id {
				left = append(left, member)
			}
		}
		return left
	})
}

func (v *Versions) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" {
		http.NotFound(w, r)
		return
	}
	from, watch := -1, r.URL.Query().Get("since") != ""
	if watch {
		var err error
		if from, err = strconv.Atoi(r.URL.Query().Get("since")); err != nil {
			http.Error(w, "since", http.StatusBadRequest)
			return
		}
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, time.Minute))
	for {
		answer, newer, news := v.answer(from, watch)
		if newer || !watch {
			v.write(w, r, answer)
			return
		}
		select {
		case <-news:
		case <-deadline:
			v.write(w, r, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer returns the answer to a call, and whether there is something newer than the version that it names.
func (v *Versions) answer(from int, watch bool) (answer List, newer bool, news <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := len(v.lists) - 1
	answer = List{Revision: uint64(newest), Members: []Member{}}
	if !watch || from < 0 || from > newest {
		answer.Complete = true
		answer.Members = append(answer.Members, v.lists[newest]...)
		return answer, true, v.news
	}
	before := map[string]Member{}
	for _, member := range v.lists[from] {
		before[member.ID] = member
	}
	for _, member := range v.lists[newest] {
		if old, listed := before[member.ID]; !listed || old != member {
			answer.Members = append(answer.Members, member)
		}
		delete(before, member.ID)
	}
	for _, gone := range before {
		gone.Phase = "removed"
		answer.Members = append(answer.Members, gone)
	}
	return answer, newest > from, v.news
}

func (v *Versions) write(w http.ResponseWriter, r *http.Request, list List) {
	body, _ := json.Marshal(list)
	if len(list.Members) > 0 {
		v.record.Line("discovery: GET %s: %s", r.URL, body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(body)
}
