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

// Message is a client's request as an upstream gets it, without the fields that are added for each attempt.
// Method, path, query and body are forwarded unchanged.
type Message struct {
	RequestLine string // method and target
	Header      http1.Fields
	Host        string
	Body        []byte       // the body, or the part of it that was read before the message was made
	Upload      *body.Upload // the part of a long body that follows Body; nil: there is none
	Bodied      bool         // the body is framed (RFC 9112, section 6), also if it is empty

	Trailer http1.Fields // of a complete body, which is then chunked
	Upgrade string       // the protocol that the client asks for instead (RFC 9110, section 7.8); empty: none
	Tunnel  *body.TunnelLimits
	Hints   bool         // interim responses with status 103 are forwarded
	Limits  *body.Limits // of its body and of its response's; nil: body.Usual
}

// isHead returns whether a response to the message has no body, whatever its head says (RFC 9110, section 9.3.2).
func (m *Message) isHead() bool { return strings.HasPrefix(m.RequestLine, http.MethodHead+" ") }

// BodyLimits returns the limits of the message's body and of its response's.
func (m *Message) BodyLimits() *body.Limits {
	if m.Limits == nil {
		return &body.DefaultLimits
	}
	return m.Limits
}

// Bytes renders the message in HTTP/1.1, up to where Rest begins, for an attempt that waits so long for its response.
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

// chunked returns whether the body is sent in chunks: its length is unknown, or trailer fields follow it.
func (m *Message) chunked() bool {
	if m.Upload == nil {
		return len(m.Trailer) > 0
	}
	_, known := m.Upload.Length()
	return !known
}

// framing returns the header field that tells the upstream where the body ends.
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
