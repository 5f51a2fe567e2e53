package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"olivearch/internal/capacity"
)

// kinds are the changes that are measured, in their order.
var kinds = []string{comment, added, quota, drain, largest}

// inForceWithin is how long a change may take before it counts as never in force.
const inForceWithin = 15 * time.Second

// A change's work is taken to be done once a process has used no more than idle in two looks, and after calmMost in any case.
const (
	calmLook = 100 * time.Millisecond
	calmMost = 4 * time.Second
)

// calm waits until a change's work is done, for a part of a core that is used idle.
func calm(ctx context.Context, cpu func() time.Duration, idle float64) error {
	used, quiet := cpu(), 0
	for end := time.Now().Add(calmMost); quiet < 3 && time.Now().Before(end); { // the first may lie before the lists are read
		began := time.Now()
		if err := rest(ctx, calmLook); err != nil {
			return err
		}
		now := cpu()
		if (now - used).Seconds() <= 2*idle*time.Since(began).Seconds()+0.002 {
			quiet++
		} else {
			quiet = 0
		}
		used = now
	}
	return nil
}

// changes makes some changes of a kind, one after the other, and takes what a process costs without them off. A drain is seen by
// requests, which cost too: the CPU is that of drains for which nobody asks, and the time that of others.
func (r *rig) changes(ctx context.Context, b *balancer, row *Row, kind string) (c Change, err error) {
	if c.N = r.times(3, 1); r.full && row.Size == planned {
		c.N = 12 // one in fifteen or so has a collection in it, which costs more than all else: so many have them at their rate
	}
	make := func(times int, change func() (time.Duration, error)) (took []float64, err error) {
		began, used, read := time.Now(), b.cpu(), usage(b).Read
		for range times {
			d, err := change()
			if err != nil {
				return nil, err
			}
			took = append(took, ms(d))
			if err := calm(ctx, b.cpu, row.IdleCPU); err != nil {
				return nil, err
			}
		}
		passed := time.Since(began).Seconds()
		c.CPUMS = (ms(b.cpu()-used) - 1000*row.IdleCPU*passed) / float64(times)
		c.Read = (float64(usage(b).Read-read) - row.IdleRead*passed) / float64(times)
		return took, nil
	}
	took, err := make(c.N, func() (time.Duration, error) { return b.change(ctx, kind) })
	if err != nil {
		return c, err
	}
	c.P50MS, c.P99MS = capacity.Quantile(took, 0.5), capacity.Quantile(took, 0.99)
	if kind == drain {
		_, err = make(c.N, func() (time.Duration, error) { return 0, b.turnOver() })
	}
	return c, err
}

// change makes one change and returns how long it took, from the first byte written, until it was in force.
func (b *balancer) change(ctx context.Context, kind string) (time.Duration, error) {
	switch kind {
	case comment:
		b.edit.Comment++
		return b.reload(inForceWithin)
	case quota:
		b.edit.Quota = 1000 + b.edit.Comment + b.edit.Quota%1000
		return b.reload(inForceWithin)
	case added:
		b.edit.Added++
		began := time.Now()
		if _, err := b.reload(inForceWithin); err != nil {
			return 0, err
		}
		status, _, err := b.ask(capacity.AddedHost(b.edit.Added), "", time.Second)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("the added route answers %d", status)
		}
		return time.Since(began), err
	case drain:
		return b.drain(ctx)
	case largest:
		return b.drainLargest(ctx)
	}
	return 0, fmt.Errorf("no change %q", kind)
}

// drain lets the first service's node drain and the next be up, and asks until that one answers. A request that comes to it
// after is the first word that anybody has of it, so what is measured is what a client sees.
func (b *balancer) drain(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	if err := b.turnOver(); err != nil {
		return 0, err
	}
	err := b.until(ctx, began, b.places.Node(b.turn))
	return time.Since(began), err
}

// turnOver writes the first service's list with the next node up.
func (b *balancer) turnOver() error {
	b.turn = (b.turn + 1) % b.site.Services[0].Nodes
	return b.site.WriteList(&b.places, 0, b.word)
}

// until asks the first service every millisecond until a node answers.
func (b *balancer) until(ctx context.Context, began time.Time, node string) error {
	for ctx.Err() == nil {
		_, by, err := b.ask(capacity.Host(0), "", time.Second)
		if err == nil && by == node {
			return nil
		}
		if time.Since(began) > inForceWithin {
			return fmt.Errorf("node %s does not answer within %v of the change; %s answers, %v", node, inForceWithin, by, err)
		}
		time.Sleep(time.Millisecond)
	}
	return ctx.Err()
}

// drainLargest lets a node of the largest service drain, or brings it back. When it is in force cannot be seen from outside without
// work that would count, so the time is that of the writing.
func (b *balancer) drainLargest(context.Context) (time.Duration, error) {
	last := len(b.site.Services) - 1
	node := b.site.Services[last].First
	began := time.Now()
	b.other = !b.other
	err := b.site.WriteList(&b.places, last, func(n int) capacity.Word {
		if n == node && b.other {
			return capacity.Draining
		}
		return b.word(n)
	})
	return time.Since(began), err
}
