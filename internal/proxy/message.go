package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file reads and writes messages. net/http's own readers are not used: they drop a Content-Length that stands
// beside Transfer-Encoding, so that nobody can see both, bound neither head nor interim answers, and take an answer
// without a length as whole wherever it ends. Fields are parsed by net/textproto.

const (
	maxHead    = 16 << 10 // bytes of a head; an answer's interim ones count with it
	maxInterim = 16       // 1xx answers ahead of one answer
)

var (
	errHead  = errors.New("a head that can't be read")
	errLong  = errors.New("a head over the bound")
	errFrame = errors.New("framing that is not certain")
	errLarge = errors.New("a body over the bound")
)

// stream is a connection from which messages are read, each within its bounds.
type stream struct {
	net.Conn
	in    *bufio.Reader
	text  *textproto.Reader
	bound io.LimitedReader // what may still be read off the connection
}

func newStream(c net.Conn, buffer int) *stream {
	s := &stream{Conn: c}
	s.bound.R = c
	s.in = bufio.NewReaderSize(&s.bound, buffer)
	s.text = textproto.NewReader(s.in)
	return s
}

// head reads a first line and the fields behind it. The caller sets the bound.
func (s *stream) head() (string, textproto.MIMEHeader, error) {
	line, err := s.text.ReadLine()
	if err == nil && line == "" { // an empty line ahead is passed over (RFC 9112, section 2.2)
		line, err = s.text.ReadLine()
	}
	if err != nil {
		return "", nil, s.failed(err)
	}
	h, err := s.text.ReadMIMEHeader()
	if err != nil {
		return "", nil, s.failed(err)
	}
	for name := range h {
		if strings.Contains(name, " ") { // textproto lets "Content-Length :" pass, the other side may read it as one
			return "", nil, errHead
		}
	}
	return line, h, nil
}

// failed tells a bound reached and a text that can't be read from a connection that broke.
func (s *stream) failed(err error) error {
	if err == nil {
		return nil
	}
	if s.bound.N <= 0 {
		return errLong
	}
	if wrong := textproto.ProtocolError(""); errors.As(err, &wrong) {
		return fmt.Errorf("%w: %v", errHead, wrong)
	}
	return err
}

// digits reads a number that is written in digits and nothing else: no sign, no blanks.
func digits(text string) (uint64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// trailer reads the fields behind the last chunk (RFC 9112, section 7.1.2) and drops them. Lines must end in CRLF: an
// answer cut inside its last CRLF would else pass for whole where a reader that goes by the RFC still waits.
func (s *stream) trailer() error {
	var fields []byte
	for {
		line, err := s.in.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return errLong
		case err != nil:
			return s.failed(err)
		case !bytes.HasSuffix(line, []byte("\r\n")):
			return errHead
		}
		if fields = append(fields, line...); len(line) == len("\r\n") {
			_, err = textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
			return s.failed(err)
		}
	}
}

// answer reads the head of an upstream's answer and how it is framed; one without a body has a length of 0. Interim answers are passed over.
func (s *stream) answer(head bool) (status int, h textproto.MIMEHeader, f framing, err error) {
	s.bound.N = maxHead
	for range maxInterim + 1 {
		line, h, err := s.head()
		if err != nil {
			return 0, nil, f, err
		}
		code, ok := strings.CutPrefix(line, "HTTP/1.1 ")
		code, _, _ = strings.Cut(code, " ")
		status, isNumber := digits(code)
		if !ok || !isNumber || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
			return 0, nil, f, errHead // nobody asked for another protocol
		}
		if status < http.StatusOK {
			continue
		}
		f, some, err := framingOf(h)
		if head || status == http.StatusNoContent || status == http.StatusNotModified { // RFC 9112, section 6.3
			return int(status), h, framing{}, nil
		}
		f.toClose = !some
		return int(status), h, f, err
	}
	return 0, nil, f, errLong
}

// closes tells whether the other side wants the connection closed behind this message.
func closes(h textproto.MIMEHeader) bool {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(name), "close") {
				return true
			}
		}
	}
	return false
}

// notEndToEnd names what belongs to one connection, what is written anew, and what nodes tell a balancer and nobody else.
var notEndToEnd = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"X-Load": true, "X-Not-Run": true}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeFields writes what is end to end. Their order among different names means nothing (RFC 9110, section 5.3), so it
// is not made. The values were read by textproto, which lets no line end in.
func writeFields(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		if notEndToEnd[name] {
			continue
		}
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
}

// message is the client's request as an upstream gets it, but for the first lines
// that message adds for an attempt. Method, path, query and body go on unchanged.
type message struct {
	line   string // method and target
	header http.Header
	host   string
	body   []byte
	rest   *upload // of the body, where it is long; nil: there is none
	bodied bool    // a Content-Length goes with it, also without a body
}

// bytes renders m for an attempt that waits so long.
func (m *message) bytes(wait time.Duration) []byte {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	b.WriteString(m.line)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	b.WriteString("\r\n")
	writeFields(b, m.header)
	if m.bodied {
		b.WriteString(m.framing())
	}
	b.WriteString("\r\n")
	chunked := m.rest != nil && !m.rest.known && len(m.body) > 0
	if chunked {
		b.WriteString(strconv.FormatInt(int64(len(m.body)), 16) + "\r\n")
	}
	b.Write(m.body)
	if chunked {
		b.WriteString("\r\n")
	}
	return bytes.Clone(b.Bytes())
}
