package upstream

import (
	"hash/maphash"
	"slices"
	"sync"
)

const (
	// minDistinctiveBody is the size in bytes from which a body may tell responses apart.
	minDistinctiveBody = 16
	// connectionHistory and serviceHistory are how many of the last responses of a connection and of a service are
	// remembered.
	connectionHistory = 256
	serviceHistory    = 64
	// openingBytes is how many of the first bytes of a response of unknown length are remembered, and maxOpenings of
	// how many responses on a connection.
	openingBytes = 64
	maxOpenings  = 32
	// firstDistinctResponses is how many responses in a row must have different bodies before a repeated body counts
	// as a second response to the same request. Once a body has been repeated it is minDistinctResponses.
	firstDistinctResponses = 4
	minDistinctResponses   = 16
	// mistakeFactor is how many times more responses must differ after a repeated body was no second response.
	mistakeFactor = 8
	// maxDistinctResponses bounds the growth by mistakeFactor.
	maxDistinctResponses = 1 << 20
)

// fingerprint identifies the body of a response; 0: the body is too short to tell responses apart.
type fingerprint uint64

var fingerprintSeed = maphash.MakeSeed()

func fingerprintOf(body []byte) fingerprint {
	if len(body) < minDistinctiveBody {
		return 0
	}
	return fingerprint(max(1, maphash.Bytes(fingerprintSeed, body)))
}

// history holds the fingerprints of the last responses. The zero value is empty.
type history struct {
	ring []fingerprint
	next int
}

func (h *history) contains(f fingerprint) bool { return f != 0 && slices.Contains(h.ring, f) }

// add adds a fingerprint, in place of the oldest if there are limit already. It reports whether the history still holds
// all that was added.
func (h *history) add(f fingerprint, limit int) (complete bool) {
	if f == 0 {
		return false
	}
	if len(h.ring) < limit {
		h.ring = append(h.ring, f)
		return true
	}
	h.ring[h.next] = f
	h.next = (h.next + 1) % limit
	return false
}

// openings holds the first bytes of responses of unknown length. The zero value is empty.
type openings struct{ list []string }

// add adds the first bytes of a body. It returns false if there are maxOpenings already.
func (o *openings) add(body []byte) bool {
	if len(o.list) == maxOpenings {
		return false
	}
	o.list = append(o.list, string(body[:min(len(body), openingBytes)]))
	return true
}

// mayBegin reports whether received bytes may be the first ones of a response that was added.
func (o *openings) mayBegin(received []byte) bool {
	return slices.ContainsFunc(o.list, func(opening string) bool {
		common := min(len(opening), len(received))
		return opening[:common] == string(received[:common])
	})
}

// Recognition learns whether the responses of a service can be told apart by their bodies. HTTP/1.1 responses do not
// name their request, so a second response to an earlier request on a connection can only be recognised by its body,
// and only where the bodies of responses to different requests differ. What it says when a request is sent holds for
// that request to its end (Attempt.SkipRepeated). Any goroutine may call its methods.
type Recognition struct {
	mu       sync.Mutex
	recent   history // of the service's last responses, on any connection
	distinct int     // responses since the last one whose body was in recent
	required int     // of these, before bodies tell responses apart
}

// NewRecognition returns a Recognition for a service without known responses.
func NewRecognition() *Recognition { return &Recognition{required: firstDistinctResponses} }

// Distinguishes reports whether bodies tell the service's responses apart.
func (r *Recognition) Distinguishes() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.distinct >= r.required
}

// Learning reports whether too few responses are known, and no body of one has been repeated so far.
func (r *Recognition) Learning() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.required == firstDistinctResponses && r.distinct < r.required
}

// observe takes the fingerprint of a response that is passed on.
func (r *Recognition) observe(f fingerprint) {
	if r == nil || f == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recent.contains(f) {
		r.distinct = 0
		r.required = max(r.required, minDistinctResponses)
	} else {
		r.distinct = min(r.distinct+1, maxDistinctResponses)
	}
	r.recent.add(f, serviceHistory)
}

// mistaken records that no response has followed one that was taken for a second response to an earlier request, which
// may therefore have been the request's own.
func (r *Recognition) mistaken() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distinct = 0
	r.required = min(max(r.required, minDistinctResponses)*mistakeFactor, maxDistinctResponses)
}
