package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"syscall"
	"time"
)

// This file asks a running balancer for its snapshot in the way in which a new process does: by the messages of a hot
// restart. They are written out here, apart from the balancer's own code, since they must not change.

const (
	kindTakeOver        = "take"
	kindState           = "state"
	kindAcknowledgement = "ack"
	kindSnapshotRequest = "recall"
	kindSnapshot        = "memory"
)

const (
	// maxMessage bounds a message in bytes.
	maxMessage = 256 << 10
	// snapshotTimeout bounds the whole exchange.
	snapshotTimeout = 5 * time.Second
)

// restartMessage is a message between two processes.
type restartMessage struct {
	Kind     string    `json:"kind"`
	Serial   uint64    `json:"serial,omitempty"`
	Listen   string    `json:"listen,omitempty"`
	Snapshot *snapshot `json:"memory,omitempty"`
}

// snapshot is what a balancer has learnt.
type snapshot struct {
	Figures   map[string]float64 `json:"figures"`
	Classes   map[string]float64 `json:"classes"`
	Upstreams []learntUpstream   `json:"upstreams"`
}

// learntUpstream is what a balancer has learnt of one upstream.
type learntUpstream struct {
	ID       uint32             `json:"id"`
	Readings int                `json:"readings"` // of utilisation
	Answers  int                `json:"answers"`
	Window   []float64          `json:"window"` // the latest readings
	Figures  map[string]float64 `json:"figures"`
	keys     []string           // all that the record has, also those that are not read here
}

// UnmarshalJSON reads a record and notes its keys.
func (u *learntUpstream) UnmarshalJSON(text []byte) error {
	type record learntUpstream // without this method
	if err := json.Unmarshal(text, (*record)(u)); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return err
	}
	u.keys = slices.Sorted(maps.Keys(fields))
	return nil
}

// readSnapshot asks the process that waits at a socket for its snapshot. It must not be in a hot restart meanwhile.
func readSnapshot(socketPath, listen string) (*snapshot, error) {
	conn, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: socketPath, Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("asking for a snapshot: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(snapshotTimeout)); err != nil {
		return nil, fmt.Errorf("asking for a snapshot: %w", err)
	}
	if err := send(conn, restartMessage{Kind: kindTakeOver, Listen: listen}); err != nil {
		return nil, err
	}
	requested := false
	for {
		message, err := receive(conn)
		if err != nil {
			return nil, err
		}
		switch message.Kind {
		case kindState:
			err = answerState(conn, message, &requested)
		case kindSnapshot:
			return checkSnapshot(message.Snapshot)
		}
		if err != nil {
			return nil, err
		}
	}
}

// answerState answers a message about overrides. The first is the answer to the request to take over, and the
// snapshot is requested then; others are news from operators.
func answerState(conn *net.UnixConn, message restartMessage, requested *bool) error {
	if message.Serial > 0 {
		if err := send(conn, restartMessage{Kind: kindAcknowledgement, Serial: message.Serial}); err != nil {
			return err
		}
	}
	if *requested {
		return nil
	}
	*requested = true
	return send(conn, restartMessage{Kind: kindSnapshotRequest})
}

func checkSnapshot(received *snapshot) (*snapshot, error) {
	if received == nil {
		return nil, errors.New("the snapshot's message is empty")
	}
	return received, nil
}

func send(conn *net.UnixConn, message restartMessage) error {
	text, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("writing a message of kind %s: %w", message.Kind, err)
	}
	if _, err := conn.Write(text); err != nil {
		return fmt.Errorf("sending a message of kind %s: %w", message.Kind, err)
	}
	return nil
}

// receive waits for a message. The descriptor of a listener that comes with one is closed.
func receive(conn *net.UnixConn) (restartMessage, error) {
	text, rights := make([]byte, maxMessage), make([]byte, syscall.CmsgSpace(4))
	size, rightsSize, _, _, err := conn.ReadMsgUnix(text, rights)
	if err != nil {
		return restartMessage{}, fmt.Errorf("waiting for a message: %w", err)
	}
	closeDescriptors(rights[:rightsSize])
	if size == 0 {
		return restartMessage{}, errors.New("the process has ended the exchange")
	}
	var message restartMessage
	if err := json.Unmarshal(text[:size], &message); err != nil {
		return restartMessage{}, fmt.Errorf("reading a message: %w", err)
	}
	return message, nil
}

// closeDescriptors closes the descriptors in a control message.
func closeDescriptors(rights []byte) {
	controls, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return
	}
	for index := range controls {
		descriptors, err := syscall.ParseUnixRights(&controls[index])
		if err != nil {
			continue
		}
		for _, descriptor := range descriptors {
			syscall.Close(descriptor)
		}
	}
}

// compareSnapshots reports in what the upstreams of a new process's snapshot differ from those of the old one's. No
// request may have been answered in between.
func compareSnapshots(before, after *snapshot) error {
	if len(before.Upstreams) != upstreamCount || len(after.Upstreams) != upstreamCount {
		return fmt.Errorf("of %d upstreams the old snapshot has %d, and the new one %d",
			upstreamCount, len(before.Upstreams), len(after.Upstreams))
	}
	if len(before.Classes) == 0 || !maps.Equal(before.Classes, after.Classes) {
		return fmt.Errorf("the old snapshot has the classes' latencies %v, the new one %v", before.Classes, after.Classes)
	}
	for _, old := range before.Upstreams {
		at := slices.IndexFunc(after.Upstreams, func(u learntUpstream) bool { return u.ID == old.ID })
		if at < 0 {
			return fmt.Errorf("the new process knows nothing of upstream %d", old.ID)
		}
		if err := compareLearnt(old, after.Upstreams[at]); err != nil {
			return fmt.Errorf("upstream %d: %w", old.ID, err)
		}
	}
	return nil
}

// compareLearnt reports in what two records of an upstream differ.
func compareLearnt(before, after learntUpstream) error {
	beforeFigures := slices.Sorted(maps.Keys(before.Figures))
	afterFigures := slices.Sorted(maps.Keys(after.Figures))
	switch {
	case before.Answers == 0 || before.Readings == 0:
		return fmt.Errorf("the old process had learnt nothing: %d answers, %d readings", before.Answers, before.Readings)
	case after.Answers != before.Answers || after.Readings != before.Readings:
		return fmt.Errorf("the old process had %d answers and %d readings, the new one has %d and %d",
			before.Answers, before.Readings, after.Answers, after.Readings)
	case !slices.Equal(after.Window, before.Window):
		return fmt.Errorf("the old process had the readings %v, the new one has %v", before.Window, after.Window)
	case !slices.Equal(after.keys, before.keys):
		return fmt.Errorf("the old process's record has the keys %v, the new one's has %v", before.keys, after.keys)
	case !slices.Equal(afterFigures, beforeFigures):
		return fmt.Errorf("the old process had the figures %v, the new one has %v", beforeFigures, afterFigures)
	}
	return nil
}

// totalAnswers is from how many answers the balancer has learnt.
func (s *snapshot) totalAnswers() int {
	total := 0
	for _, learnt := range s.Upstreams {
		total += learnt.Answers
	}
	return total
}
