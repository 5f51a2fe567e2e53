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
	if i := strings.IndexFunc(line, control); i >= 0 {
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
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.IndexFunc(name, notToken) >= 0 {
			return nil, fmt.Errorf("%w: %.40q is no field", ErrHead, line)
		}
		value = strings.Trim(value, " \t")
		if strings.IndexFunc(value, control) >= 0 {
			return nil, fmt.Errorf("%w: a control character in %.40s", ErrHead, name)
		}
		h = append(h, Field{name, value})
	}
	return h, nil
}

func control(r rune) bool { return (r < ' ' && r != '\t') || r == 0x7f }

// tokens are the characters of a token (RFC 9110, section 5.6.2).
var tokens = func() (is [128]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		is[c] = true
	}
	return is
}()

func notToken(r rune) bool { return r >= 128 || !tokens[r] }
