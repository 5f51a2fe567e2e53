package metrics

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// maxConcurrentScrapes is the number of scrapes that are served at the same time. Further ones get the status 503 with
// Retry-After.
const maxConcurrentScrapes = 2

// Handler returns a handler that serves each scrape from a new result of snapshot, which may be called from several
// goroutines at once. A scrape does not involve the pools' event loops.
func Handler(snapshot func() Snapshot) http.Handler {
	h := &handler{snapshot: snapshot, slots: make(chan struct{}, maxConcurrentScrapes)}
	h.compressors.New = func() any {
		compressor, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // it fails only for an unknown level
		return compressor
	}
	return h
}

// handler serves scrapes. Its methods may be called from any goroutine.
type handler struct {
	snapshot     func() Snapshot
	slots        chan struct{} // holds one value for each scrape that is being served
	maxTextBytes atomic.Int64  // size of the longest text so far, by which the next buffer is allocated
	compressors  sync.Pool     // of *gzip.Writer
}

// ServeHTTP serves one scrape, compressed if the client accepts gzip.
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
		_, _ = w.Write(text) // it fails only if the client has disconnected
		return
	}
	header.Set("Content-Encoding", "gzip")
	h.writeCompressed(w, text)
}

// text returns the metrics of a new snapshot as text.
func (h *handler) text() []byte {
	snapshot := h.snapshot()
	maxTextBytes := h.maxTextBytes.Load()
	text := snapshot.appendFamilies(make([]byte, 0, maxTextBytes+maxTextBytes/16))
	h.maxTextBytes.Store(max(h.maxTextBytes.Load(), int64(len(text))))
	return text
}

// writeCompressed writes a text with gzip. It ignores errors, since they mean that the client has disconnected.
func (h *handler) writeCompressed(w io.Writer, text []byte) {
	compressor := h.compressors.Get().(*gzip.Writer)
	compressor.Reset(w)
	_, _ = compressor.Write(text)
	compressor.Close()
	h.compressors.Put(compressor)
}

// acceptsGzip reports whether the values of a client's Accept-Encoding fields accept gzip (RFC 9110, section 12.5.3).
// It does not treat the wildcard "*" as gzip.
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
