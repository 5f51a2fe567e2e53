package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"olivearch/internal/body"
	"olivearch/internal/http1"
)

// Message is a client's request as a node gets it, but for what is added for an attempt. Method, path, query and body go on
// unchanged.
type Message struct {
	Line   string // method and target
	Header http1.Fields
	Host   string
	Body   []byte
	Rest   *body.Upload // of the body, where it is long; nil: there is none
	Bodied bool         // a Content-Length goes with it, also without a body

	Trailer http1.Fields // of a body that is whole; then it goes in chunks
	Upgrade string       // the protocol that the client asks for instead (RFC 9110, section 7.8); empty: none
	Tunnel  *body.TunnelLimits
	Hints   bool         // interim answers with status 103 go on
	Limits  *body.Limits // of its body and of its answer's; nil: the usual ones
}

// bodiless tells whether an answer to it has no body, whatever its head says.
func (m *Message) bodiless() bool { return strings.HasPrefix(m.Line, http.MethodHead+" ") }

// Most are the limits that hold.
func (m *Message) Most() *body.Limits {
	if m.Limits == nil {
		return &body.Usual
	}
	return m.Limits
}

// Bytes renders m in HTTP/1.1, up to where Rest begins, for an attempt that waits so long.
func (m *Message) Bytes(wait time.Duration) []byte {
	b := http1.Buffer()
	defer http1.Done(b)
	m.render(b, wait)
	return bytes.Clone(b.Bytes())
}

func (m *Message) render(b *bytes.Buffer, wait time.Duration) {
	b.WriteString(m.Line)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	b.WriteString("\r\n")
	http1.WriteFields(b, m.Header)
	if m.Upgrade != "" {
		http1.WriteField(b, "Connection", "Upgrade")
		http1.WriteField(b, "Upgrade", m.Upgrade)
	}
	if m.Bodied {
		b.WriteString(m.framing())
	}
	b.WriteString("\r\n")
	if m.chunked() {
		http1.WriteChunk(b, m.Body)
	} else {
		b.Write(m.Body)
	}
	if m.Rest == nil && m.chunked() {
		http1.WriteEnd(b, m.Trailer)
	}
}

func (m *Message) chunked() bool {
	if m.Rest == nil {
		return len(m.Trailer) > 0
	}
	_, known := m.Rest.Length()
	return !known
}

// framing is the field that tells a node where the body ends.
func (m *Message) framing() string {
	if m.chunked() {
		return "Transfer-Encoding: chunked\r\n"
	}
	n := uint64(len(m.Body))
	if m.Rest != nil {
		n, _ = m.Rest.Length()
	}
	return "Content-Length: " + strconv.FormatUint(n, 10) + "\r\n"
}
