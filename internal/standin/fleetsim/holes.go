package fleetsim

import (
	"fmt"
	"net/netip"

	"olivearch/internal/faulttest/event"
	"olivearch/internal/faulttest/relay"
)

// holes keep connections of cut links from coming up, with the descriptors of a process that has nothing else to do.
type holes struct {
	relay.Holes
	tell *event.Writer
}

func newHoles(tell *event.Writer) *holes { return &holes{relay.NewHoles(), tell} }

func (h *holes) obey(c Command) error {
	all := make([]netip.AddrPort, len(c.Addresses))
	for i, text := range c.Addresses {
		at, err := netip.ParseAddrPort(text)
		if err != nil {
			return err
		}
		all[i] = at
	}
	switch c.Verb {
	case Dig:
		h.Dig(all)
	case Fill:
		h.Fill(all)
	default:
		return fmt.Errorf("holes do not know verb %d", c.Verb)
	}
	h.tell.Tell(event.Event{Kind: event.Ready})
	return nil
}
