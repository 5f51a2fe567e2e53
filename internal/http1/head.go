package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	// maxFields bounds the fields of a head, and those of a trailer.
	maxFields = 128
	// keptHead bounds the memory, in bytes, that a connection keeps of its last head.
	keptHead = 2 << 10
)

var crlf = []byte("\r\n")

// notInTrailer names the fields that frame or route a message.
var notInTrailer = []string{"Transfer-Encoding", "Content-Length", "Host", "Trailer", "TE", "Connection"}

// ReadHead reads a start line and the fields behind it; the caller sets the limit. A message has one reading: a line
// ends in CRLF, a name is a token with the colon right behind it, no line is folded, no value has a control character
// but the tab (RFC 9112, sections 2.2 and 5). What recipients might read in different ways is an ErrMalformedHead,
// since the next hop may read it the other way.
func (s *Stream) ReadHead() (line string, header Fields, err error) {
	text, err := s.readLines(true)
	if err != nil {
		return "", nil, err
	}
	line, text, _ = strings.Cut(text, "\r\n")
	if hasControl(line) {
		return "", nil, fmt.Errorf("%w: a control character in the first line", ErrMalformedHead)
	}
	header, err = parseFields(text)
	return line, header, err
}

// trailer reads the fields behind the last chunk (RFC 9112, section 7.1.2). One that frames or routes a message is an
// ErrFraming (RFC 9110, section 6.5.1): another recipient may merge it into the head.
func (s *Stream) trailer() (Fields, error) {
	text, err := s.readLines(false)
	if err != nil {
		return nil, err
	}
	fields, err := parseFields(text)
	if err != nil {
		return nil, err
	}
	for i := range fields {
		if slices.ContainsFunc(notInTrailer, func(name string) bool { return strings.EqualFold(fields[i].Name, name) }) {
			return nil, fmt.Errorf("%w: %s in a trailer", ErrFraming, fields[i].Name)
		}
	}
	return fields, nil
}

// readLines reads up to an empty line and returns what comes before it as one text, which all strings of a head share.
// One empty line before a start line is skipped (RFC 9112, section 2.2).
func (s *Stream) readLines(startLine bool) (string, error) {
	s.head = s.head[:0]
	for {
		begin := len(s.head)
		atStart := startLine && begin == 0
		err := s.appendLine()
		switch {
		case err != nil:
			return "", s.boundError(err, atStart)
		case !bytes.HasSuffix(s.head[begin:], crlf):
			return "", fmt.Errorf("%w: a line that does not end in CRLF", ErrMalformedHead)
		case len(s.head)-begin > len(crlf): // not empty
		case atStart:
			s.head = s.head[:0]
			startLine = false
		default:
			text := string(s.head[:begin])
			if cap(s.head) > keptHead {
				s.head = nil
			}
			return text, nil
		}
	}
}

// appendLine reads a line with its end, which may be longer than the read buffer, and appends it to s.head.
func (s *Stream) appendLine() error {
	for {
		part, err := s.in.ReadSlice('\n')
		s.head = append(s.head, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// boundError returns what a failed read of a line means: the bound was met, or the connection failed.
func (s *Stream) boundError(err error, inStartLine bool) error {
	switch {
	case s.bound.N > 0:
		return err
	case inStartLine:
		return ErrStartLineTooLong
	default:
		return ErrHeadTooLong
	}
}

// parseFields reads field lines, each with its end (RFC 9112, section 5).
func parseFields(text string) (Fields, error) {
	count := strings.Count(text, "\n")
	if count == 0 {
		return nil, nil
	}
	if count > maxFields {
		return nil, fmt.Errorf("%w: %d fields", ErrHeadTooLong, count)
	}
	fields := make(Fields, 0, count+1) // the router may add one
	for text != "" {
		end := strings.IndexByte(text, '\n')
		line := text[:end-1] // without its CR
		text = text[end+1:]
		colon := tokenLength(line)
		if colon == 0 || colon == len(line) || line[colon] != ':' {
			return nil, fmt.Errorf("%w: %.40q is no field", ErrMalformedHead, line)
		}
		value := strings.Trim(line[colon+1:], " \t")
		if hasControl(value) {
			return nil, fmt.Errorf("%w: a control character in %.40s", ErrMalformedHead, line[:colon])
		}
		fields = append(fields, Field{line[:colon], value})
	}
	return fields, nil
}

// The classes of a byte in a head.
const (
	tokenByte   = 1 << iota // may be part of a token (RFC 9110, section 5.6.2)
	controlByte             // must not be part of a value (RFC 9110, section 5.5)
)

var byteClasses = func() (classes [256]uint8) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		classes[c] = tokenByte
	}
	for c := range ' ' {
		classes[c] = controlByte
	}
	classes['\t'] = 0
	classes[0x7f] = controlByte
	return classes
}()

// tokenLength returns the length of the token that a text begins with.
func tokenLength(text string) int {
	for i := range len(text) {
		if byteClasses[text[i]]&tokenByte == 0 {
			return i
		}
	}
	return len(text)
}

func hasControl(text string) bool {
	for i := range len(text) {
		if byteClasses[text[i]]&controlByte != 0 {
			return true
		}
	}
	return false
}
