package proxy

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"olivearch/balancer"
	"olivearch/internal/frontend"
	"olivearch/internal/http1"
)

// parsed returns a request that is parsed from one header field.
func parsed(t *testing.T, name, value string) *parsedRequest {
	t.Helper()
	request := &parsedRequest{}
	if err := request.parseFields(&http1.Fields{{Name: name, Value: value}}); err != nil {
		t.Fatal(err)
	}
	return request
}

// The budget is the shortest of three times, less deadlineMargin, and never below 0.
func TestBudgetIsTheShortestTime(t *testing.T) {
	class := balancer.Class{Name: "read", Deadline: 4 * time.Second}
	for _, c := range []struct {
		name           string
		clientDeadline string // in milliseconds
		limit          time.Duration
		budget         time.Duration
	}{
		{"the class's", "9000", 5 * time.Second, 4*time.Second - deadlineMargin},
		{"the destination's", "9000", 3 * time.Second, 3*time.Second - deadlineMargin},
		{"the client's", "200", 3 * time.Second, 200*time.Millisecond - deadlineMargin},
		{"under the margin", "3", 3 * time.Second, 0},
		{"a client's too large for a duration", "18446744073709551615", 5 * time.Second, 4*time.Second - deadlineMargin},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := parsed(t, fieldDeadline, c.clientDeadline)
			request.setClass(class, c.limit)
			want(t, "class", request.Class, "read")
			want(t, "budget", request.Budget, c.budget)
		})
	}
}

// A cost hint above the deadline of the class is ignored.
func TestCostHintOverTheDeadlineIsIgnored(t *testing.T) {
	class := balancer.Class{Name: "read", Deadline: time.Second}
	for _, c := range []struct {
		microseconds string
		cost         time.Duration
	}{{"0", 0}, {"700", 700 * time.Microsecond}, {"1000000", time.Second}, {"1000001", 0}} {
		request := parsed(t, fieldCostHint, c.microseconds)
		request.setClass(class, class.Deadline)
		want(t, c.microseconds, request.Cost, c.cost)
	}
}

// The key is the cookie's value if that is hexadecimal, else the value's hash. Without the cookie there is no key.
func TestKeyFromCookie(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields http1.Fields
		hasKey bool
		key    uint64
	}{
		{"no cookie", nil, false, 0},
		{"another cookie", http1.Fields{{Name: "Cookie", Value: "session=7f"}}, false, 0},
		{"hexadecimal", http1.Fields{{Name: "Cookie", Value: "session=1; obj=7f"}}, true, 0x7f},
		{"in a second field", http1.Fields{{Name: "Cookie", Value: "a=1"}, {Name: "Cookie", Value: "obj=ff"}}, true, 0xff},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := &parsedRequest{}
			request.setKeyFromCookie(c.fields, "obj")
			want(t, "has a key", request.HasKey, c.hasKey)
			want(t, "key", request.Key, c.key)
		})
	}
	one, other := &parsedRequest{}, &parsedRequest{}
	one.setKeyFromCookie(http1.Fields{{Name: "Cookie", Value: "obj=shelf"}}, "obj")
	other.setKeyFromCookie(http1.Fields{{Name: "Cookie", Value: "obj=book"}}, "obj")
	if !one.HasKey || !other.HasKey || one.Key == other.Key {
		t.Errorf("keys of two values that are not hexadecimal: %x and %x, want different keys", one.Key, other.Key)
	}
}

// A route table rejects a request with a *frontend.Rejection, whose status tells the client what is wrong.
func TestRouteTableRejections(t *testing.T) {
	router := NewRouteTable(routesTo(t, startPool(t, "x", 1)))
	host := http1.Field{Name: "Host", Value: "x.example.org"}
	for _, c := range []struct {
		name, method, target string
		fields               http1.Fields
		status               int
	}{
		{"a method that is not served", http.MethodConnect, "/a", http1.Fields{host}, http.StatusNotImplemented},
		{"a method in lower case", "get", "/a", http1.Fields{host}, http.StatusNotImplemented},
		{"no host", http.MethodGet, "/a", nil, http.StatusBadRequest},
		{"an absolute target and no host", http.MethodGet, "http://x.example.org/a", nil, http.StatusBadRequest},
		{"an empty id", http.MethodGet, "/a", http1.Fields{host, {Name: "X-Request-Id"}}, http.StatusBadRequest},
		{"an empty key", http.MethodGet, "/a", http1.Fields{host, {Name: "Idempotency-Key"}}, http.StatusBadRequest},
		{"no route", http.MethodGet, "/b", http1.Fields{host}, http.StatusNotFound},
		{"another class", http.MethodGet, "/a", http1.Fields{host, {Name: "X-Class", Value: "d"}}, http.StatusBadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := router.Check(c.method, c.target, &c.fields)
			var rejection *frontend.Rejection
			if !errors.As(err, &rejection) || rejection.Status != c.status {
				t.Errorf("got %v, want status %d", err, c.status)
			}
		})
	}
}
