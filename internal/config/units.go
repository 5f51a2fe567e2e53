package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Duration is a time span, written with its unit, as in 250ms.
type Duration time.Duration

// UnmarshalText reads a duration in the form of time.ParseDuration. It rejects negative durations and numbers without a
// unit, other than 0.
func (d *Duration) UnmarshalText(text []byte) error {
	duration, err := time.ParseDuration(string(text))
	if err != nil || duration < 0 {
		return fmt.Errorf("%q is not a time with a unit, such as 250ms, 1.5s or 2m", text)
	}
	*d = Duration(duration)
	return nil
}

// MarshalText writes a duration in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Size is an amount of memory in bytes, written with its unit, as in 192MiB.
type Size int64

// sizeUnits are the units of a Size, in bytes.
var sizeUnits = map[string]int64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// maxSizeCount is the largest number that may stand before the unit of a Size.
const maxSizeCount = 1 << 30

// UnmarshalText reads a number with the unit KiB, MiB or GiB.
func (s *Size) UnmarshalText(text []byte) error {
	number := strings.TrimRight(string(text), "KMGiB")
	unit, known := sizeUnits[string(text)[len(number):]]
	count, err := strconv.ParseInt(number, 10, 64)
	isInRange := count > 0 && count <= maxSizeCount
	if !known || err != nil || !isInRange {
		return fmt.Errorf("%q is not an amount of memory, such as 192MiB or 1GiB", text)
	}
	*s = Size(count * unit)
	return nil
}

// MarshalText writes a size in MiB, rounded down.
func (s Size) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatInt(int64(s)>>20, 10) + "MiB"), nil
}
