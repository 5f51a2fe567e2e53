package metrics

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// maxScrapes is how many scrapes are answered at the same time. Further ones get 503 with Retry-After.
const maxScrapes = 2

// Handler answers scrapes with what snapshot returns. It asks no pool's goroutine.
func Handler(snapshot func() Snapshot) http.Handler {
	h := &handler{snapshot: snapshot, slots: make(chan struct{}, maxScrapes)}
	h.compressors.New = func() any {
		compressor, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails only for an unknown level
		return compressor
	}
	return h
}

// handler answers scrapes. Its methods may be called from any goroutine.
type handler struct {
	snapshot    func() Snapshot
	slots       chan struct{} // holds one value for each scrape that is being answered
	longest     atomic.Int64  // length of the longest text so far, in bytes: the next is about as long
	compressors sync.Pool     // of *gzip.Writer
}

// ServeHTTP answers one scrape, compressed if the client accepts gzip.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many readers at once", http.StatusServiceUnavailable)
		return
	}
	text := h.text()
	header := w.Header()
	header.Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	header.Set("Vary", "Accept-Encoding")
	if !acceptsGzip(r.Header.Values("Accept-Encoding")) {
		_, _ = w.Write(text) // fails if the client has gone
		return
	}
	header.Set("Content-Encoding", "gzip")
	h.writeCompressed(w, text)
}

// text returns the metrics of a new snapshot.
func (h *handler) text() []byte {
	snapshot := h.snapshot()
	longest := h.longest.Load()
	text := snapshot.append(make([]byte, 0, longest+longest/16))
	h.longest.Store(max(h.longest.Load(), int64(len(text))))
	return text
}

// writeCompressed writes a text with gzip. Errors mean that the client has gone.
func (h *handler) writeCompressed(w io.Writer, text []byte) {
	compressor := h.compressors.Get().(*gzip.Writer)
	compressor.Reset(w)
	_, _ = compressor.Write(text)
	compressor.Close()
	h.compressors.Put(compressor)
}

// acceptsGzip tells whether a client accepts gzip by its Accept-Encoding fields (RFC 9110, section 12.5.3). The name
// "*" does not count.
func acceptsGzip(fields []string) bool {
	for _, field := range fields {
		for coding := range strings.SplitSeq(field, ",") {
			name, weight, _ := strings.Cut(coding, ";")
			if !strings.EqualFold(strings.TrimSpace(name), "gzip") {
				continue
			}
			weight = strings.ToLower(strings.TrimSpace(weight))
			weight, _ = strings.CutPrefix(weight, "q=")
			isZero := weight != "" && strings.Trim(weight, "0.") == ""
			return !isZero
		}
	}
	return false
}
