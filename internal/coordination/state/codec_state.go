package state

import (
	"fmt"
	"maps"
	"slices"

	"olivearch/internal/protomsg"
)

// SnapshotVersion is the version of the snapshot format. DecodeState rejects any other version.
const SnapshotVersion = 1

// Fields of a snapshot.
const (
	fieldStateVersion       = 1
	fieldStateClock         = 2
	fieldStateRevision      = 3
	fieldStateFeatureLevel  = 4
	fieldStateOverride      = 5 // repeated
	fieldStateResource      = 6 // repeated
	fieldStateReservation   = 7 // repeated
	fieldStateAdmittedVoter = 8 // repeated
	fieldStateMember        = 9 // repeated
)

// Encode returns a snapshot of the state. Entries are sorted, so equal states have equal snapshots.
func (s *State) Encode() []byte {
	var w protomsg.Writer
	w.Uint(fieldStateVersion, SnapshotVersion)
	w.Uint(fieldStateClock, s.clock)
	w.Uint(fieldStateRevision, s.revision)
	w.Uint(fieldStateFeatureLevel, uint64(s.featureLevel))
	s.encodeEntries(&w)
	return w.Bytes()
}

func (s *State) encodeEntries(writer *protomsg.Writer) {
	for _, override := range s.Overrides() {
		writer.Message(fieldStateOverride, override.encode)
	}
	for _, resource := range s.Resources() {
		writer.Message(fieldStateResource, resource.encode)
	}
	for _, key := range slices.Sorted(maps.Keys(s.reservations)) {
		stored := s.reservations[key]
		writer.Message(fieldStateReservation, stored.encode)
	}
	for _, name := range slices.Sorted(maps.Keys(s.admittedVoters)) {
		voter := AddVoter{Name: name, Address: s.admittedVoters[name]}
		writer.Message(fieldStateAdmittedVoter, voter.encode)
	}
	for _, member := range s.Members() {
		writer.Message(fieldStateMember, member.EncodeFields)
	}
}

// DecodeState decodes a snapshot. It returns an error if the snapshot is malformed or its version is not
// SnapshotVersion.
func DecodeState(encoded []byte) (*State, error) {
	state := NewState()
	version := uint64(0)
	err := protomsg.EachField(encoded, func(field protomsg.Field) error {
		if field.Number == fieldStateVersion {
			version = field.Uint
			return nil
		}
		return state.decodeField(field)
	})
	switch {
	case err != nil:
		return nil, fmt.Errorf("decode state snapshot: %w", err)
	case version != SnapshotVersion:
		return nil, fmt.Errorf("state snapshot has version %d, but this version reads only %d", version, SnapshotVersion)
	}
	state.nextExpiry = 0 // the next Apply recalculates it
	return state, nil
}

func (s *State) decodeField(field protomsg.Field) error {
	switch field.Number {
	case fieldStateClock:
		s.clock = field.Uint
	case fieldStateRevision:
		s.revision = field.Uint
	case fieldStateFeatureLevel:
		s.featureLevel = max(initialFeatureLevel, decodeFeatureLevel(field))
	case fieldStateOverride:
		return s.decodeOverride(field.Raw)
	case fieldStateResource:
		return s.decodeResource(field.Raw)
	case fieldStateReservation:
		return s.decodeReservation(field.Raw)
	case fieldStateAdmittedVoter:
		return s.decodeAdmittedVoter(field.Raw)
	case fieldStateMember:
		return s.decodeMember(field.Raw)
	}
	return nil
}

func (s *State) decodeAdmittedVoter(encoded []byte) error {
	var voter AddVoter
	if err := protomsg.EachField(encoded, voter.decode); err != nil {
		return err
	}
	s.admittedVoters[voter.Name] = voter.Address
	return nil
}

func (s *State) decodeMember(encoded []byte) error {
	var member Member
	if err := protomsg.EachField(encoded, member.DecodeField); err != nil {
		return err
	}
	s.members[member.ID] = member
	return nil
}
