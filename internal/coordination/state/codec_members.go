package state

import "olivearch/internal/protomsg"

// Fields of AddVoter and of a stored admitted voter.
const (
	fieldAddVoterName    = 1
	fieldAddVoterAddress = 2
)

func (c *AddVoter) encode(w *protomsg.Writer) {
	w.String(fieldAddVoterName, c.Name)
	w.String(fieldAddVoterAddress, c.Address)
}

func (c *AddVoter) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldAddVoterName:
		return field.Text(&c.Name, MaxName)
	case fieldAddVoterAddress:
		return field.Text(&c.Address, MaxName)
	}
	return nil
}

const fieldRemoveVoterName = 1

func (c *RemoveVoter) encode(w *protomsg.Writer) { w.String(fieldRemoveVoterName, c.Name) }

func (c *RemoveVoter) decode(field protomsg.Field) error {
	if field.Number == fieldRemoveVoterName {
		return field.Text(&c.Name, MaxName)
	}
	return nil
}

// Fields of a member.
const (
	fieldMemberID      = 1
	fieldMemberName    = 2
	fieldMemberAddress = 3
	fieldMemberLearner = 4
)

// EncodeFields appends the fields of a member to a message.
func (m *Member) EncodeFields(w *protomsg.Writer) {
	w.Uint(fieldMemberID, m.ID)
	w.String(fieldMemberName, m.Name)
	w.String(fieldMemberAddress, m.Address)
	w.Bool(fieldMemberLearner, m.Learner)
}

// DecodeField decodes one field of a member and skips an unknown one. The error wraps protomsg.ErrMalformed.
func (m *Member) DecodeField(field protomsg.Field) error {
	switch field.Number {
	case fieldMemberID:
		m.ID = field.Uint
	case fieldMemberName:
		return field.Text(&m.Name, MaxName)
	case fieldMemberAddress:
		return field.Text(&m.Address, MaxName)
	case fieldMemberLearner:
		m.Learner = field.Bool()
	}
	return nil
}

func (c *RegisterMember) encode(w *protomsg.Writer)         { c.EncodeFields(w) }
func (c *RegisterMember) decode(field protomsg.Field) error { return c.DecodeField(field) }

const fieldUnregisterMemberID = 1

func (c *UnregisterMember) encode(w *protomsg.Writer) { w.Uint(fieldUnregisterMemberID, c.ID) }

func (c *UnregisterMember) decode(field protomsg.Field) error {
	if field.Number == fieldUnregisterMemberID {
		c.ID = field.Uint
	}
	return nil
}
