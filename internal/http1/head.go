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
	// maxFields is the largest number of fields in a head or in a trailer.
	maxFields = 128
	// maxKeptHead is the largest capacity, in bytes, of the head buffer that a connection keeps for its next head.
	maxKeptHead = 2 << 10
)

var crlf = []byte("\r\n")

// notInTrailer holds the names of the fields that frame or route a message.
var notInTrailer = []string{"Transfer-Encoding", "Content-Length", "Host", "Trailer", "TE", "Connection"}

// emptyLine says what is done with an empty line before a head.
type emptyLine bool

const (
	noEmptyLine   emptyLine = false // it ends the head, which is then malformed
	skipEmptyLine emptyLine = true  // it is skipped
)

// ReadHead reads a start line and the fields that follow it, up to the limit that the caller has set. It is strict: a
// line ends in CRLF, a name is a token directly followed by the colon, no line is folded, and no value has a control
// character other than the tab (RFC 9112, sections 2.2 and 5). Anything that another recipient might parse differently
// yields ErrMalformedHead.
func (s *Stream) ReadHead() (line string, header Fields, err error) {
	return s.readHead(skipEmptyLine)
}

// readHead reads a head as ReadHead does. before says whether an empty line may stand before it.
func (s *Stream) readHead(before emptyLine) (line string, header Fields, err error) {
	text, err := s.readLines(before == skipEmptyLine)
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

// trailer reads the fields that follow the last chunk (RFC 9112, section 7.1.2). A field that frames or routes a
// message yields ErrFraming (RFC 9110, section 6.5.1), since another recipient may merge it into the head.
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

// readLines reads lines up to an empty one and returns them as one string, of which all names and values of a head are
// substrings. One empty line before the start line of a request is skipped (RFC 9112, section 2.2).
func (s *Stream) readLines(startLine bool) (string, error) {
	s.head = s.head[:0]
	for {
		begin := len(s.head)
		atStart := startLine && begin == 0
		err := s.appendLine()
		switch {
		case err != nil:
			return "", s.lineError(err, atStart)
		case !bytes.HasSuffix(s.head[begin:], crlf):
			return "", fmt.Errorf("%w: a line that does not end in CRLF", ErrMalformedHead)
		case len(s.head)-begin > len(crlf): // not empty
		case atStart:
			s.head = s.head[:0]
			startLine = false
		default:
			text := string(s.head[:begin])
			if cap(s.head) > maxKeptHead {
				s.head = nil
			}
			return text, nil
		}
	}
}

// appendLine appends the next line with its line ending to s.head. The line may be longer than the read buffer.
func (s *Stream) appendLine() error {
	for {
		part, err := s.reader.ReadSlice('\n')
		s.head = append(s.head, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// lineError returns the error for a failed read of a line: a limit error if the limit was reached, else err.
func (s *Stream) lineError(err error, inStartLine bool) error {
	switch {
	case s.limited.N > 0:
		return err
	case inStartLine:
		return ErrStartLineTooLong
	default:
		return ErrHeadTooLong
	}
}

// parseFields parses field lines that each end in CRLF (RFC 9112, section 5).
func parseFields(text string) (Fields, error) {
	count := strings.Count(text, "\n")
	if count == 0 {
		return nil, nil
	}
	if count > maxFields {
		return nil, fmt.Errorf("%w: %d fields", ErrHeadTooLong, count)
	}
	fields := make(Fields, 0, count+1) // the router may append a field
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

// Classes of the bytes in a head.
const (
	tokenByte   = 1 << iota // allowed in a token (RFC 9110, section 5.6.2)
	controlByte             // forbidden in a value (RFC 9110, section 5.5)
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

// tokenLength returns the length of the token at the start of a text.
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
