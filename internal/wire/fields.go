package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"
)

// presence says whether a field is required. A missing optional field reads as zero.
type presence bool

const (
	required presence = true
	optional presence = false
)

// field is a name=value part of a line.
type field struct {
	name, value []byte
}

// fields holds the fields of one line, as slices of that line, and the first error found in them.
type fields struct {
	all []field
	err error
}

// split reads the fields of a line and returns the name of its message.
func (f *fields) split(line []byte) (message []byte, err error) {
	f.all = f.all[:0]
	f.err = nil
	message, rest, more := bytes.Cut(line, []byte{' '})
	for more {
		var part []byte
		equals := bytes.IndexByte(rest, '=')
		if equals > 0 && runsToLineEnd(rest[:equals]) {
			part = rest
			more = false
		} else {
			part, rest, more = bytes.Cut(rest, []byte{' '})
			equals = bytes.IndexByte(part, '=')
		}
		if equals <= 0 {
			return nil, fmt.Errorf("%s: part %q is not name=value", message, part)
		}
		f.all = append(f.all, field{name: part[:equals], value: part[equals+1:]})
	}
	return message, nil
}

// runsToLineEnd reports whether the value of a field may have spaces in it.
func runsToLineEnd(name []byte) bool {
	return string(name) == "params" || string(name) == "note_text"
}

// fail records an error in a field, unless there is an earlier error.
func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", name, reason)
	}
}

func (f *fields) has(name string) bool {
	for i := range f.all {
		if string(f.all[i].name) == name {
			return true
		}
	}
	return false
}

// text returns a field's value, or nil if the field is missing.
func (f *fields) text(name string, need presence) []byte {
	for i := range f.all {
		if string(f.all[i].name) == name {
			return f.all[i].value
		}
	}
	if need == required {
		f.fail(name, "missing")
	}
	return nil
}

// uint reads an unsigned decimal number that fits the given number of bits.
func (f *fields) uint(name string, bits int, need presence) uint64 {
	value := f.text(name, need)
	if value == nil {
		return 0
	}
	number, ok := parseDecimal(value)
	if !ok || (bits < 64 && number>>bits != 0) {
		f.fail(name, fmt.Sprintf("%q is not a number in range", value))
	}
	return number
}

// Lengths of a decimal number, in digits.
const (
	maxUint64Digits = 20
	maxSafeDigits   = 18 // numbers of up to this length can't overflow a uint64
)

// parseDecimal reads a number without a sign. It does not allocate for numbers of up to maxSafeDigits.
func parseDecimal(text []byte) (number uint64, ok bool) {
	if len(text) == 0 || len(text) > maxUint64Digits {
		return 0, false
	}
	if len(text) > maxSafeDigits {
		number, err := strconv.ParseUint(string(text), 10, 64)
		return number, err == nil
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, false
		}
		number = number*10 + uint64(c-'0')
	}
	return number, true
}

// duration reads a duration in microseconds, which may be negative.
func (f *fields) duration(name string, need presence) time.Duration {
	value := f.text(name, need)
	if value == nil {
		return 0
	}
	sign := time.Duration(1)
	if len(value) > 1 && value[0] == '-' {
		sign = -1
		value = value[1:]
	}
	number, ok := parseDecimal(value)
	if !ok || number > math.MaxInt64/uint64(time.Microsecond) {
		f.fail(name, fmt.Sprintf("%q is not a time", value))
		return 0
	}
	return sign * time.Duration(number) * time.Microsecond
}

// hex reads 16 hexadecimal digits in lower case.
func (f *fields) hex(name string, need presence) uint64 {
	value := f.text(name, need)
	if value == nil {
		return 0
	}
	number, ok := parseHex(value)
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not 16 hex digits", value))
	}
	return number
}

func parseHex(text []byte) (number uint64, ok bool) {
	for _, c := range text {
		switch {
		case '0' <= c && c <= '9':
			number = number<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			number = number<<4 | uint64(c-'a'+10)
		default:
			return 0, false
		}
	}
	return number, len(text) == 16
}

// flag reads 1 or 0; a missing field reads as 0.
func (f *fields) flag(name string) bool {
	value := f.text(name, optional)
	if value != nil && string(value) != "1" && string(value) != "0" {
		f.fail(name, fmt.Sprintf("%q is not 1 or 0", value))
	}
	return string(value) == "1"
}

// float reads a finite number, or returns absent if the field is missing.
func (f *fields) float(name string, absent float64) float64 {
	value := f.text(name, optional)
	if value == nil {
		return absent
	}
	return f.parseFloat(name, value)
}

// parseFloat parses a finite number. An error names the field.
func (f *fields) parseFloat(name string, text []byte) float64 {
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		f.fail(name, fmt.Sprintf("%q is not a number", text))
	}
	return number
}
