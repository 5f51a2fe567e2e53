package proxy

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"clayladder"
	"clayladder/internal/route"
)

// desk decides where a frontend's requests go, and which of them never reach a module. Frontends call it from many
// goroutines.
type desk interface {
	// check reads what a request's head says. What is malformed is refused with a reason.
	check(method, target string, h textproto.MIMEHeader) (*request, error)
	// enter hands a whole request to its pool. A status tells that the pool does not take it, and what is answered.
	enter(q *request) (answer, error)
	// leave follows each request that was taken, once it is answered or its client has gone.
	leave(q *request)
	// alive returns once all pools have had a turn.
	alive()
	// now is the time on the pools' clock.
	now() time.Duration
	// longest is the longest time that a client waits.
	longest() time.Duration
}

// platform is the desk of a platform's balancer: one pool, and the request forms of its protocol.
type platform struct {
	classes atomic.Pointer[map[string]clayladder.Class]
	loop    *loop
}

func newPlatform(classes []clayladder.Class, l *loop) *platform {
	d := &platform{loop: l}
	d.adopt(classes)
	return d
}

// adopt puts other classes in the place of those that clients may ask for.
func (d *platform) adopt(classes []clayladder.Class) {
	m := make(map[string]clayladder.Class, len(classes))
	for _, class := range classes {
		m[class.Name] = class
	}
	d.classes.Store(&m)
}

func (d *platform) enter(q *request) (answer, error) { q.post(arrived{q}); return answer{}, nil }
func (d *platform) leave(*request)                   {}
func (d *platform) now() time.Duration               { return d.loop.now() }

func (d *platform) alive() {
	turned := make(turn)
	d.loop.post(turned)
	<-turned
}

func (d *platform) longest() (most time.Duration) {
	for _, class := range *d.classes.Load() {
		most = max(most, class.Deadline)
	}
	return most
}

// check reads what a request says of itself. A field that is there must be right: a guess at what was meant would be
// served in its place.
func (d *platform) check(method, target string, h textproto.MIMEHeader) (*request, error) {
	if absolute, err := route.ParseTarget(target); err == nil && !strings.HasPrefix(target, "/") { // RFC 9112, section 3.2.2
		target = absolute.String()
	}
	class, ok := (*d.classes.Load())[h.Get("X-Class")]
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	id, key := h.Get("X-Request-Id"), h.Get("Idempotency-Key")
	switch {
	case !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return nil, bad("the target is no path")
	case h.Get("Host") == "":
		return nil, bad("Host is wanted")
	case !ok:
		return nil, bad("X-Class names no known class")
	case first != class.Name:
		return nil, bad("the path does not begin with the class")
	case id == "":
		return nil, bad("X-Request-Id is wanted")
	case (class.Repeat == clayladder.Safe) != (method == http.MethodGet),
		class.Repeat != clayladder.Safe && method != http.MethodPost:
		return nil, bad("the method does not fit the class")
	case (class.Repeat == clayladder.Keyed) != (key != ""), key == "" && len(h["Idempotency-Key"]) > 0:
		return nil, bad("Idempotency-Key does not fit the class")
	}
	q := &request{name: id, reply: make(chan answer, 1), post: d.loop.post}
	if err := q.describe(h); err != nil {
		return nil, err
	}
	q.about(h, "obj")
	q.assign(class, class.Deadline)
	q.message = message{line: method + " " + target, header: http.Header(h), host: h.Get("Host"), bodied: method == http.MethodPost}
	return q, nil
}

// describe reads the fields that say what a request is like, whatever its class.
func (q *request) describe(h textproto.MIMEHeader) error {
	q.Tenant, q.Retry = h.Get("X-Tenant"), h.Get("X-Retry") == "1"
	if len(h["X-Deadline-Ms"]) > 0 {
		ms, ok := digits(h.Get("X-Deadline-Ms"))
		if !ok || ms == 0 {
			return bad("X-Deadline-Ms is no time")
		}
		q.patience = time.Duration(min(ms, maxPatience)) * time.Millisecond
	}
	if len(h["X-Cost-Hint"]) > 0 {
		us, ok := digits(h.Get("X-Cost-Hint"))
		if !ok {
			return bad("X-Cost-Hint is no number")
		}
		q.Cost = time.Duration(min(us, maxPatience)) * time.Microsecond
	}
	dropNamed(h, once) // what the protocol wants passed on can't be taken out
	return nil
}

// dropNamed takes out the fields that a message's Connection field names: they were meant for that connection only (RFC
// 9110, section 7.6.1).
func dropNamed(h textproto.MIMEHeader, but []string) {
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(but, name) {
				h.Del(name)
			}
		}
	}
}

// maxPatience bounds what a client may claim, in its unit, so that no sum overflows.
const maxPatience = 1 << 40

// about takes a cookie's value for what the request is about.
func (q *request) about(h textproto.MIMEHeader, cookie string) {
	q.Key, q.HasKey = 0, false
	if len(h["Cookie"]) == 0 {
		return
	}
	c, err := (&http.Request{Header: http.Header(h)}).Cookie(cookie)
	if err != nil {
		return
	}
	q.HasKey = true
	if q.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
		q.Key = uint64(hashed(c.Value))
	}
}

// assign gives a request its class and the shortest of the times that it may take: the client's, the class's, and the
// limit of where it goes.
func (q *request) assign(class clayladder.Class, limit time.Duration) {
	q.Class, q.Budget = class.Name, min(class.Deadline, limit)
	if q.patience > 0 {
		q.Budget = min(q.Budget, q.patience)
	}
	q.Budget = max(0, q.Budget-answerMargin)
	if q.Cost > class.Deadline {
		q.Cost = 0 // work that could not be done in the class's time is no guess to go by, and would move the mean of them
	}
}
