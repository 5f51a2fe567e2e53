package state

import (
	"cmp"
	"fmt"

	"olivearch/internal/protomsg"
)

// Fields of SetResource and of a stored resource. Only a stored resource has leases and reserved slots.
const (
	fieldResourceName      = 1
	fieldResourcePerSecond = 2
	fieldResourceLimit     = 3
	fieldResourceLease     = 4 // repeated
	fieldResourceReserved  = 5 // repeated
)

func (c *SetResource) encode(w *protomsg.Writer) {
	w.String(fieldResourceName, c.Name)
	w.Bool(fieldResourcePerSecond, c.PerSecond)
	w.Int(fieldResourceLimit, c.Limit)
}

func (c *SetResource) decode(field protomsg.Field) error {
	switch field.Number {
	case fieldResourceName:
		return field.Text(&c.Name, MaxName)
	case fieldResourcePerSecond:
		c.PerSecond = field.Bool()
	case fieldResourceLimit:
		c.Limit = field.Int()
	}
	return nil
}

func (r *Resource) encode(w *protomsg.Writer) {
	w.String(fieldResourceName, r.Name)
	w.Bool(fieldResourcePerSecond, r.PerSecond)
	w.Int(fieldResourceLimit, r.Limit)
	for _, lease := range r.Leases() {
		w.Message(fieldResourceLease, lease.encode)
	}
	EncodeReserved(w, fieldResourceReserved, r.Reserved())
}

// decodeResource decodes a stored resource and adds it to the state.
func (s *State) decodeResource(encoded []byte) error {
	resource := newResource("", false, 0)
	err := protomsg.EachField(encoded, func(field protomsg.Field) error {
		switch field.Number {
		case fieldResourceName:
			return field.Text(&resource.Name, MaxName)
		case fieldResourcePerSecond:
			resource.PerSecond = field.Bool()
		case fieldResourceLimit:
			resource.Limit = field.Int()
		case fieldResourceLease:
			return s.decodeLease(resource, field.Raw)
		case fieldResourceReserved:
			return s.decodeReserved(resource, field.Raw)
		}
		return nil
	})
	if err = cmp.Or(err, checkName("stored resource", resource.Name)); err != nil {
		return err
	}
	if s.resources[resource.Name] != nil {
		return fmt.Errorf("%w: two resources named %s", protomsg.ErrMalformed, resource.Name)
	}
	s.resources[resource.Name] = resource
	s.usedBytes += resource.size()
	return nil
}

// decodeLease decodes a stored lease and adds it to a resource of the state.
func (s *State) decodeLease(resource *Resource, encoded []byte) error {
	var lease Lease
	if err := protomsg.EachField(encoded, lease.decode); err != nil {
		return err
	}
	if _, exists := resource.leases[lease.Holder]; exists {
		return fmt.Errorf("%w: two leases of %s", protomsg.ErrMalformed, lease.Holder)
	}
	resource.leases[lease.Holder] = lease
	s.usedBytes += lease.size()
	return nil
}

// decodeReserved decodes the reserved slots of one second and adds them to a resource of the state.
func (s *State) decodeReserved(resource *Resource, encoded []byte) error {
	slot, err := DecodeReserved(encoded)
	if err != nil {
		return err
	}
	if resource.reserved[slot.Second] == 0 {
		s.usedBytes += slotOverhead
	}
	resource.reserved[slot.Second] = max(1, slot.Count)
	return nil
}
