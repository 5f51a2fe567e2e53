package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// maxFields bounds the fields of a head, and those of a trailer.
const maxFields = 128

// Head reads a first line and the fields behind it. The caller sets the limit. There is one reading: a line ends in CRLF, a name is
// a token with the colon right behind it, no line is folded, no value has a control character but the tab (RFC 9112, sections 2.2
// and 5). What servers might read in different ways is an error, since the next hop may be one that reads it the other way.
func (s *Stream) Head() (line string, h Fields, err error) {
	text, err := s.lines(true)
	if err != nil {
		return "", nil, err
	}
	line, text, _ = strings.Cut(text, "\r\n")
	if controlled(line) {
		return "", nil, fmt.Errorf("%w: a control character in the first line", ErrHead)
	}
	h, err = parseFields(text)
	return line, h, err
}

// lines reads up to an empty line and returns what comes before it, as one text: everything that is read of a head is a part of
// that. An empty line ahead of a first line is passed over (RFC 9112, section 2.2).
func (s *Stream) lines(first bool) (string, error) {
	s.head = s.head[:0]
	for begin := 0; ; begin = len(s.head) {
		line, err := s.in.ReadSlice('\n')
		s.head = append(s.head, line...)
		for errors.Is(err, bufio.ErrBufferFull) { // longer than the buffer
			line, err = s.in.ReadSlice('\n')
			s.head = append(s.head, line...)
		}
		switch {
		case err != nil && s.bound.N <= 0 && first && begin == 0:
			return "", ErrLine
		case err != nil && s.bound.N <= 0:
			return "", ErrLong
		case err != nil:
			return "", err
		case !bytes.HasSuffix(s.head[begin:], crlf):
			return "", fmt.Errorf("%w: a line that does not end in CRLF", ErrHead)
		case len(s.head)-begin > len(crlf):
		case first && begin == 0:
			s.head, first = s.head[:0], false
		default:
			text := string(s.head[:begin])
			if cap(s.head) > keepHead {
				s.head = nil
			}
			return text, nil
		}
	}
}

var crlf = []byte("\r\n")

// keepHead is up to how many bytes a connection keeps of the memory that its last head took.
const keepHead = 2 << 10

// parseFields reads field lines, each with its end.
func parseFields(text string) (Fields, error) {
	n := strings.Count(text, "\n")
	if n == 0 {
		return nil, nil
	}
	if n > maxFields {
		return nil, fmt.Errorf("%w: %d fields", ErrLong, n)
	}
	h := make(Fields, 0, n+1) // a desk may add one
	for text != "" {
		end := strings.IndexByte(text, '\n')
		line := text[:end-1] // without its CR
		text = text[end+1:]
		colon := 0
		for colon < len(line) && kinds[line[colon]]&token != 0 {
			colon++
		}
		if colon == 0 || colon == len(line) || line[colon] != ':' {
			return nil, fmt.Errorf("%w: %.40q is no field", ErrHead, line)
		}
		value := strings.Trim(line[colon+1:], " \t")
		if controlled(value) {
			return nil, fmt.Errorf("%w: a control character in %.40s", ErrHead, line[:colon])
		}
		h = append(h, Field{line[:colon], value})
	}
	return h, nil
}

// The kinds of a byte in a head.
const (
	token   = 1 << iota // of a token (RFC 9110, section 5.6.2)
	control             // none that a value may have (section 5.5)
)

var kinds = func() (is [256]uint8) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		is[c] = token
	}
	for c := range ' ' {
		is[c] = control
	}
	is['\t'], is[0x7f] = 0, control
	return is
}()

func controlled(text string) bool {
	for i := range len(text) {
		if kinds[text[i]]&control != 0 {
			return true
		}
	}
	return false
}
