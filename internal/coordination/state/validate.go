package state

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
)

// checkName returns an error unless text is a valid name, id or address: 1 to MaxName bytes without spaces, control
// characters and invalid UTF-8. The error begins with subject, which names the checked field.
func checkName(subject, text string) error {
	if text == "" || len(text) > MaxName {
		return fmt.Errorf("%s: 1 to %d bytes are wanted", subject, MaxName)
	}
	if strings.ContainsFunc(text, isSpaceOrUnprintable) {
		return fmt.Errorf("%s: %.40q has a space or a character that can't be shown", subject, text)
	}
	return nil
}

func isSpaceOrUnprintable(r rune) bool {
	return unicode.IsSpace(r) || unicode.IsControl(r) || r == unicode.ReplacementChar
}

// checkCount returns an error unless count, a number of units or slots, is from 1 to MaxResourceLimit. The error begins
// with subject, which names the checked field.
func checkCount(subject string, count int64) error {
	if count < 1 || count > MaxResourceLimit {
		return fmt.Errorf("%s: from 1 to %d", subject, int64(MaxResourceLimit))
	}
	return nil
}

func checkMemberID(id uint64) error {
	if id == 0 {
		return errors.New("a member's id is over 0")
	}
	return nil
}
