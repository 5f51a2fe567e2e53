package state

import "olivearch/internal/protomsg"

// Fields of a stored lease.
const (
	fieldLeaseHolder       = 1
	fieldLeaseUnits        = 2
	fieldLeaseUntil        = 3
	fieldLeaseFencingToken = 4
)

func (l *Lease) encode(w *protomsg.Writer) {
	w.String(fieldLeaseHolder, l.Holder)
	w.Int(fieldLeaseUnits, l.Units)
	w.Uint(fieldLeaseUntil, l.Until)
	w.Uint(fieldLeaseFencingToken, l.FencingToken)
}

func (l *Lease) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldLeaseHolder:
		return field.Text(&l.Holder, MaxName)
	case fieldLeaseUnits:
		l.Units = field.Int()
	case fieldLeaseUntil:
		l.Until = field.Uint
	case fieldLeaseFencingToken:
		l.FencingToken = field.Uint
	}
	return nil
}

// Fields of AcquireLease.
const (
	fieldAcquireLeaseResource     = 1
	fieldAcquireLeaseHolder       = 2
	fieldAcquireLeaseUnits        = 3
	fieldAcquireLeaseDuration     = 4
	fieldAcquireLeaseFencingToken = 5
)

func (c *AcquireLease) encode(w *protomsg.Writer) {
	w.String(fieldAcquireLeaseResource, c.Resource)
	w.String(fieldAcquireLeaseHolder, c.Holder)
	w.Int(fieldAcquireLeaseUnits, c.Units)
	encodeMillis(w, fieldAcquireLeaseDuration, c.Duration)
	w.Uint(fieldAcquireLeaseFencingToken, c.FencingToken)
}

func (c *AcquireLease) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldAcquireLeaseResource:
		return field.Text(&c.Resource, MaxName)
	case fieldAcquireLeaseHolder:
		return field.Text(&c.Holder, MaxName)
	case fieldAcquireLeaseUnits:
		c.Units = field.Int()
	case fieldAcquireLeaseDuration:
		c.Duration = decodeMillis(field)
	case fieldAcquireLeaseFencingToken:
		c.FencingToken = field.Uint
	}
	return nil
}

// Fields of ReleaseLease.
const (
	fieldReleaseLeaseResource     = 1
	fieldReleaseLeaseHolder       = 2
	fieldReleaseLeaseFencingToken = 5
)

func (c *ReleaseLease) encode(w *protomsg.Writer) {
	w.String(fieldReleaseLeaseResource, c.Resource)
	w.String(fieldReleaseLeaseHolder, c.Holder)
	w.Uint(fieldReleaseLeaseFencingToken, c.FencingToken)
}

func (c *ReleaseLease) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldReleaseLeaseResource:
		return field.Text(&c.Resource, MaxName)
	case fieldReleaseLeaseHolder:
		return field.Text(&c.Holder, MaxName)
	case fieldReleaseLeaseFencingToken:
		c.FencingToken = field.Uint
	}
	return nil
}
