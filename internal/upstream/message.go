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

// Message is the request of a client as it is forwarded to an upstream, without the fields that are added for each
// attempt. Method, path, query and body are forwarded unchanged.
type Message struct {
	RequestLine string // method and target
	Header      http1.Fields
	Host        string
	Body        []byte       // the body, or its first part
	Upload      *body.Upload // the part of a long body that follows Body; nil: there is none
	Bodied      bool         // whether a framing field is sent (RFC 9112, section 6), also for an empty body

	Trailer http1.Fields // trailer of a complete body, which is then sent in chunks
	Upgrade string       // the protocol to which the client asks to switch (RFC 9110, section 7.8); empty: none
	Tunnel  *body.TunnelLimits
	Hints   bool         // whether interim responses with status 103 are forwarded
	Limits  *body.Limits // of the request's and the response's body; nil: body.DefaultLimits
}

// isHead reports whether the method is HEAD: the response has no body, whatever its fields say (RFC 9110, section
// 9.3.2).
func (m *Message) isHead() bool { return strings.HasPrefix(m.RequestLine, http.MethodHead+" ") }

// BodyLimits returns the limits of the message's body and of the response's body.
func (m *Message) BodyLimits() *body.Limits {
	if m.Limits == nil {
		return &body.DefaultLimits
	}
	return m.Limits
}

// Bytes returns the message as HTTP/1.1, except Upload. wait is the time limit that is sent to the upstream.
func (m *Message) Bytes(wait time.Duration) []byte {
	buffer := http1.GetBuffer()
	defer http1.PutBuffer(buffer)
	m.render(buffer, wait)
	return bytes.Clone(buffer.Bytes())
}

func (m *Message) render(out *bytes.Buffer, wait time.Duration) {
	m.renderHead(out, wait)
	if !m.chunked() {
		out.Write(m.Body)
		return
	}
	http1.WriteChunk(out, m.Body)
	if m.Upload == nil {
		http1.WriteLastChunk(out, m.Trailer)
	}
}

func (m *Message) renderHead(out *bytes.Buffer, wait time.Duration) {
	out.WriteString(m.RequestLine)
	out.WriteString(" HTTP/1.1\r\nHost: ")
	out.WriteString(m.Host)
	out.WriteString("\r\nX-Deadline-Ms: ")
	out.WriteString(strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	out.WriteString("\r\n")
	http1.WriteFields(out, m.Header)
	if m.Upgrade != "" {
		http1.WriteField(out, "Connection", "Upgrade")
		http1.WriteField(out, "Upgrade", m.Upgrade)
	}
	if m.Bodied {
		out.WriteString(m.framing())
	}
	out.WriteString("\r\n")
}

// chunked reports whether the body is sent in chunks, because its length is unknown or a trailer follows it.
func (m *Message) chunked() bool {
	if m.Upload == nil {
		return len(m.Trailer) > 0
	}
	_, known := m.Upload.Length()
	return !known
}

// framing returns the line of the head that declares the framing of the body.
func (m *Message) framing() string {
	if m.chunked() {
		return "Transfer-Encoding: chunked\r\n"
	}
	length := uint64(len(m.Body))
	if m.Upload != nil {
		length, _ = m.Upload.Length()
	}
	return "Content-Length: " + strconv.FormatUint(length, 10) + "\r\n"
}
