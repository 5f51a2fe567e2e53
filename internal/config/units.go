package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time with its unit, as in 250ms.
type Duration time.Duration

// UnmarshalText reads a duration in the form of time.ParseDuration. A bare number is refused: its unit would be a guess.
func (d *Duration) UnmarshalText(text []byte) error {
	x, err := time.ParseDuration(string(text))
	if err != nil || x < 0 {
		return fmt.Errorf("%q is not a time with a unit, such as 250ms, 1.5s or 2m", text)
	}
	*d = Duration(x)
	return nil
}

// MarshalText writes it as it is read.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is an amount of memory in bytes, written with its unit, as in 192MiB.
type Size int64

var units = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// UnmarshalText reads a number with the unit KiB, MiB or GiB.
func (s *Size) UnmarshalText(text []byte) error {
	number := strings.TrimRight(string(text), "KMGiB")
	unit, known := units[string(text)[len(number):]]
	n, err := strconv.ParseInt(number, 10, 64)
	if !known || err != nil || n <= 0 || n > 1<<30 {
		return fmt.Errorf("%q is not an amount of memory, such as 192MiB or 1GiB", text)
	}
	*s = Size(n * unit)
	return nil
}

// MarshalText writes it as it is read.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(s)>>20, 10) + "MiB"), nil
}
