package state

import (
	"cmp"
	"fmt"
	"math"

	"olivearch/internal/protomsg"
)

// Fields of a subject. Each message with a subject has them at its top level, beside its own fields.
const (
	fieldSubjectKind   = 1
	fieldSubjectScope  = 2
	fieldSubjectTarget = 3
)

func (s *Subject) encodeSubject(w *protomsg.Writer) {
	w.Uint(fieldSubjectKind, uint64(s.Kind))
	w.Uint(fieldSubjectScope, uint64(s.Scope))
	w.String(fieldSubjectTarget, s.Target)
}

// decodeSubjectField decodes one field of a subject and skips an unknown one. It limits kinds and scopes that do not
// fit their type to a value that checkSubject rejects.
func (s *Subject) decodeSubjectField(field protomsg.Field) error {
	switch field.Number {
	case fieldSubjectKind:
		s.Kind = OverrideKind(min(field.Uint, math.MaxUint8))
	case fieldSubjectScope:
		s.Scope = Scope(min(field.Uint, math.MaxUint8))
	case fieldSubjectTarget:
		return field.Text(&s.Target, MaxName)
	}
	return nil
}

// Fields of SetOverride and of a stored override, beside those of the subject. Number 8 is the duration in SetOverride
// and the end in a stored override.
const (
	fieldOverrideValue       = 4
	fieldOverrideBy          = 5
	fieldOverrideReason      = 6
	fieldOverrideAt          = 7
	fieldSetOverrideDuration = 8
	fieldOverrideUntil       = 8
	fieldOverrideRevision    = 9
)

func (c *SetOverride) encode(w *protomsg.Writer) {
	c.encodeSubject(w)
	w.Int(fieldOverrideValue, c.Value)
	w.String(fieldOverrideBy, c.By)
	w.String(fieldOverrideReason, c.Reason)
	w.Int(fieldOverrideAt, c.At)
	encodeMillis(w, fieldSetOverrideDuration, c.Duration)
}

func (c *SetOverride) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldOverrideValue:
		c.Value = field.Int()
	case fieldOverrideBy:
		return field.Text(&c.By, MaxName)
	case fieldOverrideReason:
		return field.Text(&c.Reason, MaxReason)
	case fieldOverrideAt:
		c.At = field.Int()
	case fieldSetOverrideDuration:
		c.Duration = decodeMillis(field)
	default:
		return c.decodeSubjectField(field)
	}
	return nil
}

const fieldClearOverrideBy = 5

func (c *ClearOverride) encode(w *protomsg.Writer) {
	c.encodeSubject(w)
	w.String(fieldClearOverrideBy, c.By)
}

func (c *ClearOverride) decode(field protomsg.Field) error {
	if field.Number == fieldClearOverrideBy {
		return field.Text(&c.By, MaxName)
	}
	return c.decodeSubjectField(field)
}

func (o *Override) encode(w *protomsg.Writer) {
	o.encodeSubject(w)
	w.Int(fieldOverrideValue, o.Value)
	w.String(fieldOverrideBy, o.By)
	w.String(fieldOverrideReason, o.Reason)
	w.Int(fieldOverrideAt, o.At)
	w.Uint(fieldOverrideUntil, o.Until)
	w.Uint(fieldOverrideRevision, o.Revision)
}

func (o *Override) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldOverrideValue:
		o.Value = field.Int()
	case fieldOverrideBy:
		return field.Text(&o.By, MaxName)
	case fieldOverrideReason:
		return field.Text(&o.Reason, MaxReason)
	case fieldOverrideAt:
		o.At = field.Int()
	case fieldOverrideUntil:
		o.Until = field.Uint
	case fieldOverrideRevision:
		o.Revision = field.Uint
	default:
		return o.decodeSubjectField(field)
	}
	return nil
}

// decodeOverride decodes a stored override and adds it to the state.
func (s *State) decodeOverride(encoded []byte) error {
	var override Override
	err := protomsg.EachField(encoded, override.decode)
	if err = cmp.Or(err, override.checkSubject()); err != nil {
		return err
	}
	if _, exists := s.overrides[override.Subject]; exists {
		return fmt.Errorf("%w: two overrides of %v", protomsg.ErrMalformed, override.Subject)
	}
	s.overrides[override.Subject] = override
	s.usedBytes += override.size()
	return nil
}
