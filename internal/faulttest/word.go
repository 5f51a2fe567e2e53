package faulttest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"olivearch/internal/coordination/client"
	"olivearch/internal/coordination/state"
)

// word has staff say through the ledger that nodes are out, and take it back at the end. From the yes on it counts as told to every
// balancer, and it counts for every process that is started while it holds: rule 3 is judged by that.
func (x *fault) word() error {
	c := x.newAsker(400 + x.index)
	var nodes []int
	err := x.eachNode(func(node int) error {
		nodes = append(nodes, node)
		return x.say(c, &state.SetOverride{Subject: outOf(node), By: "ground", Reason: x.f.Name})
	})
	if err != nil {
		c.Close()
		return err
	}
	x.mu.Lock()
	for _, node := range nodes {
		x.out[node] = true
	}
	x.mu.Unlock()
	for _, node := range nodes {
		for _, b := range x.balancers {
			x.told(b.index, node, true)
		}
	}
	x.lift = func() {
		defer c.Close()
		x.mu.Lock()
		for _, node := range nodes {
			delete(x.out, node)
		}
		x.mu.Unlock()
		for _, node := range nodes { // a balancer may hear of it before this process hears the answer
			for _, b := range x.balancers {
				x.told(b.index, node, false)
			}
			if err := x.say(c, &state.ClearOverride{Subject: outOf(node), By: "ground"}); err != nil && !x.ending() {
				x.fail(err)
			}
		}
	}
	return nil
}

// wordWithin bounds how long staff go on asking: faults may keep every voter from an answer for a while.
const wordWithin = 15 * time.Second

// say asks for a promise until there is a yes. What is unsure is asked again: staff's word may be given twice.
func (x *fault) say(c *client.Client, command state.Command) error {
	ctx, cancel := context.WithTimeout(x.ctx, wordWithin)
	defer cancel()
	for {
		one, end := context.WithTimeout(ctx, askWithin)
		_, err := c.Propose(one, command)
		end()
		if err == nil || errors.Is(err, client.ErrRejected) || ctx.Err() != nil {
			return err
		}
	}
}

func outOf(node int) state.Subject {
	return state.Subject{Kind: state.OutOfService, Scope: state.ScopeUpstream, Target: fmt.Sprintf("s-%08x", node+1)}
}

// wordsHold tells a process that is started what staff have said.
func (w *world) wordsHold(balancer int) {
	w.mu.Lock()
	nodes := slices.Collect(maps.Keys(w.out))
	w.mu.Unlock()
	for _, node := range nodes {
		w.told(balancer, node, true)
	}
}
