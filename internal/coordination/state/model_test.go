package state

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// commandGenerator returns a generator of commands. It uses few names, so that commands often concern the same entry.
func commandGenerator() *rapid.Generator[Command] {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	subject := rapid.Custom(func(t *rapid.T) Subject {
		return Subject{OutOfService, Scope(rapid.IntRange(0, 3).Draw(t, "scope")), name.Draw(t, "target")}
	})
	duration := rapid.Custom(func(t *rapid.T) time.Duration {
		return time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
	})
	number := rapid.Uint64Range(0, 40)
	count := rapid.Int64Range(0, 9)
	return rapid.Custom(func(t *rapid.T) Command {
		switch rapid.IntRange(0, 7).Draw(t, "kind") {
		case 0:
			return &SetOverride{
				Subject:  subject.Draw(t, "of"),
				By:       "x",
				Reason:   name.Draw(t, "reason"),
				Duration: duration.Draw(t, "duration"),
			}
		case 1:
			return &ClearOverride{Subject: subject.Draw(t, "of"), By: "x"}
		case 2:
			return &SetResource{
				Name:      name.Draw(t, "resource"),
				PerSecond: rapid.Bool().Draw(t, "slots"),
				Limit:     count.Draw(t, "limit"),
			}
		case 3:
			return &ReleaseLease{
				Resource:     name.Draw(t, "resource"),
				Holder:       name.Draw(t, "holder"),
				FencingToken: number.Draw(t, "fencing token"),
			}
		case 4:
			return &Reserve{
				Resource: name.Draw(t, "resource"),
				Holder:   name.Draw(t, "holder"),
				Sequence: number.Draw(t, "sequence"),
				Slots:    count.Draw(t, "slots"),
				After:    uint32(rapid.IntRange(0, 3).Draw(t, "after")),
				Within:   uint32(rapid.IntRange(0, 6).Draw(t, "within")),
			}
		default:
			return &AcquireLease{
				Resource:     name.Draw(t, "resource"),
				Holder:       name.Draw(t, "holder"),
				Units:        count.Draw(t, "units"),
				Duration:     duration.Draw(t, "duration"),
				FencingToken: number.Draw(t, "fencing token"),
			}
		}
	})
}

// leaseKey identifies a lease.
type leaseKey struct{ resource, holder string }

// model holds a state, a replica of it, and the leases that the results of commands have granted.
type model struct {
	state            *State
	replica          *State          // restored from a snapshot at random times
	clock            uint64          // cluster clock, in ms
	limitChanged     map[string]bool // resources that may have more grants than their limit, by name
	grantedLeases    map[leaseKey]Lease
	lastFencingToken uint64
}

// TestModel applies random commands and checks that grants do not exceed the limit of a resource unless SetResource
// changed it, that no lease ends early, that the fencing tokens of new leases increase, that the estimated size is the
// same after a restore, and that a replica restored from a snapshot has the same results and state from then on.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			state:         NewState(),
			replica:       NewState(),
			limitChanged:  map[string]bool{},
			grantedLeases: map[leaseKey]Lease{},
		}
		count := rapid.IntRange(1, 60).Draw(t, "commands")
		for revision := uint64(1); revision <= uint64(count); revision++ {
			m.clock += uint64(rapid.IntRange(0, 2500).Draw(t, "ms passed"))
			command := commandGenerator().Draw(t, "command")
			if rapid.IntRange(0, 5).Draw(t, "snapshot") == 0 {
				m.restoreReplica(t)
			}
			result := m.apply(t, revision, command)
			m.recordResult(t, command, result)
			m.checkLimits(t)
			m.checkGrantedLeases(t)
			m.checkUsedBytes(t)
		}
	})
}

func (m *model) restoreReplica(t *rapid.T) {
	replica, err := DecodeState(m.state.Encode())
	if err != nil {
		t.Fatal(err)
	}
	m.replica = replica
}

// apply applies a command to the state, and the command as decoded from its encoding to the replica.
func (m *model) apply(t *rapid.T, revision uint64, command Command) Result {
	decoded, err := Decode(Encode(command))
	if err != nil || fmt.Sprintf("%+v", decoded) != fmt.Sprintf("%+v", command) {
		t.Fatalf("%+v was decoded as %+v: %v", command, decoded, err)
	}
	result, err := m.state.Apply(revision, m.clock, command)
	if err != nil {
		t.Fatalf("%+v: %v", command, err)
	}
	replicaResult, err := m.replica.Apply(revision, m.clock, decoded)
	if err != nil {
		t.Fatalf("replica: %+v: %v", command, err)
	}
	if fmt.Sprint(result) != fmt.Sprint(replicaResult) || !bytes.Equal(m.state.Encode(), m.replica.Encode()) {
		t.Fatalf("the replica differs after %+v: %+v, %+v", command, result, replicaResult)
	}
	return result
}

// recordResult records the leases that a command granted or released, and checks the fencing token of a granted lease.
func (m *model) recordResult(t *rapid.T, command Command, result Result) {
	switch command := command.(type) {
	case *AcquireLease:
		if result.OK() {
			m.recordLease(t, command, result.FencingToken)
		}
	case *ReleaseLease:
		if result.OK() {
			delete(m.grantedLeases, leaseKey{command.Resource, command.Holder})
		}
	case *SetResource:
		m.limitChanged[command.Name] = true // grants above a lowered limit stay
	}
}

func (m *model) recordLease(t *rapid.T, command *AcquireLease, fencingToken uint64) {
	key := leaseKey{command.Resource, command.Holder}
	previous, exists := m.grantedLeases[key]
	switch renewal := exists && previous.Until > m.clock; {
	case renewal && fencingToken != previous.FencingToken:
		t.Fatalf("renewing the lease %v changed its fencing token", key)
	case !renewal && fencingToken <= m.lastFencingToken:
		t.Fatalf("a new lease has fencing token %d, not above the last one, %d", fencingToken, m.lastFencingToken)
	}
	m.lastFencingToken = max(m.lastFencingToken, fencingToken)
	m.grantedLeases[key] = Lease{
		Holder:       command.Holder,
		Units:        command.Units,
		Until:        m.clock + uint64(command.Duration.Milliseconds()),
		FencingToken: fencingToken,
	}
}

func (m *model) checkLimits(t *rapid.T) {
	for _, resource := range m.state.Resources() {
		if m.limitChanged[resource.Name] {
			continue
		}
		if leased := resource.leasedUnits(); leased > resource.Limit {
			t.Fatalf("%d units of %s are leased, over the limit %d", leased, resource.Name, resource.Limit)
		}
		for _, slot := range resource.Reserved() {
			if slot.Count > resource.Limit {
				t.Fatalf("%s has %+v reserved, over the limit %d", resource.Name, slot, resource.Limit)
			}
		}
	}
}

func (m *model) checkGrantedLeases(t *rapid.T) {
	for key, granted := range m.grantedLeases {
		if granted.Until <= m.clock {
			continue
		}
		resource := m.state.resources[key.resource]
		if resource == nil {
			t.Fatalf("the resource of the lease %v does not exist at %d ms", key, m.clock)
		}
		stored, exists := resource.leases[key.holder]
		if !exists || stored.FencingToken != granted.FencingToken || stored.Units != granted.Units {
			t.Fatalf("lease %v: granted %+v, stored %+v at %d ms", key, granted, stored, m.clock)
		}
	}
}

func (m *model) checkUsedBytes(t *rapid.T) {
	restored, err := DecodeState(m.state.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if restored.UsedBytes() != m.state.UsedBytes() || m.state.UsedBytes() < 0 {
		t.Fatalf("%d bytes are used, %d after a restore", m.state.UsedBytes(), restored.UsedBytes())
	}
}
