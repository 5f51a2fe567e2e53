package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"olivearch/internal/hotrestart"
	"olivearch/internal/pool"
)

// Hot restart: a new process takes over from an old one while both run. For clients, upstreams and operators the two
// are one balancer.
//
//	new process                                  old process
//	TakeOver        -- KindTakeOver -->          handOver
//	                <-- KindState, listener --
//	(endpoint list known)
//	takeOver        -- KindSnapshotRequest -->   handlePeerMessage
//	                <-- KindSnapshot --
//	(serves)        -- KindReady -->             peerServing
//	                <-- KindClientConnection --  (once the old process stops)
//
// While both run, each sends a KindState after every operator's command, and the other answers with a KindAck.

const (
	// takeoverTimeout bounds the wait of either process for the first message of a takeover.
	takeoverTimeout = time.Second
	// peerAnswerTimeout bounds the wait for the peer process to apply a state or to send its snapshot.
	peerAnswerTimeout = 300 * time.Millisecond
	// endpointsPollInterval is the time between two checks whether the endpoint list is known.
	endpointsPollInterval = 5 * time.Millisecond
)

// errNoListener is returned if the answer to a takeover request has no listening socket attached.
var errNoListener = errors.New("the old process has handed over no listener")

// PreviousProcess is an old process that still serves, with the listener and the state that it has handed over.
type PreviousProcess struct {
	Listener net.Listener       // for clients, shared with the old process
	state    hotrestart.Message // of kind KindState
	link     *hotrestart.Link
}

// TakeOver requests the listener and the operators' state of the process whose hot restart socket is at path, and which
// serves clients at the address listen (host:port). The error wraps os.ErrNotExist if there is no such socket.
func TakeOver(path, listen string) (*PreviousProcess, error) {
	link, err := hotrestart.Dial(path)
	if err != nil {
		return nil, err
	}
	previous := &PreviousProcess{link: link}
	if err := previous.requestListener(listen); err != nil {
		link.Close()
		return nil, err
	}
	return previous, nil
}

// requestListener requests a takeover, and sets state and Listener from the answer.
func (p *PreviousProcess) requestListener(listen string) error {
	request := hotrestart.Message{Kind: hotrestart.KindTakeOver, Listen: listen, SharesIDs: true}
	if err := p.link.Send(request, nil); err != nil {
		return err
	}
	_ = p.link.SetReadDeadline(time.Now().Add(takeoverTimeout)) // fails on a closed link only, and so does Receive
	state, listenerFile, err := p.link.Receive()
	if err != nil {
		return err
	}
	if listenerFile == nil {
		return errNoListener
	}
	defer listenerFile.Close()
	if state.Kind != hotrestart.KindState || state.Listen != listen {
		return fmt.Errorf("the old process serves %q", state.Listen)
	}
	p.state = state
	_ = p.link.SetReadDeadline(time.Time{})
	p.Listener, err = net.FileListener(listenerFile)
	return err
}

// listenForTakeover accepts takeover requests at a socket path until ctx ends. It returns once it listens; the requests
// are handled in the background.
func (b *Balancer) listenForTakeover(ctx context.Context, path string) error {
	listener, err := hotrestart.Listen(path)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go b.handOver(link)
		}
	}()
	return nil
}

// handOver sends the listener and the operators' state to a new process, and then handles its messages until its link
// ends.
func (b *Balancer) handOver(link *hotrestart.Link) {
	_ = link.SetReadDeadline(time.Now().Add(takeoverTimeout)) // fails on a closed link only, and so does Receive
	request, file, err := link.Receive()
	if file != nil {
		file.Close()
	}
	listener, isTCP := b.server.Listener().(*net.TCPListener)
	valid := request.Kind == hotrestart.KindTakeOver && request.Listen == b.config.Listen
	if err != nil || !valid || !isTCP {
		slog.Warn("takeover request rejected", "err", err, "listen", request.Listen)
		link.Close()
		return
	}
	_ = link.SetReadDeadline(time.Time{})
	peer := newPeerProcess(link, peerStarting)
	if err := link.Send(b.hotRestartState(), listener); err != nil {
		slog.Warn("listener not handed over", "err", err)
	}
	// The peer is notified of operators' commands only after the listener has been sent: it would take an earlier
	// state, which has no listener attached, for the answer to its request. notifyPeer covers commands that were
	// executed in the meantime.
	b.peer.Store(peer)
	if request.SharesIDs {
		b.shareRequestIDs(peer)
	}
	go b.notifyPeer()
	b.followPeer(peer)
}

// takeOver prepares this process to serve beside the old one, and then announces that it is ready.
func (b *Balancer) takeOver(ctx context.Context, previous *PreviousProcess) {
	peer := newPeerProcess(previous.link, peerServing)
	b.peer.Store(peer)
	go b.followPeer(peer)
	if previous.state.SharesIDs {
		b.shareRequestIDs(peer)
	}
	if !b.waitForEndpoints(ctx) {
		return
	}
	peer.requestSnapshot()
	b.serving.Store(true)
	if err := peer.link.Send(hotrestart.Message{Kind: hotrestart.KindReady}, nil); err != nil {
		slog.Warn("readiness not announced", "err", err)
	}
}

// waitForEndpoints returns true once the endpoint list is known, or false once the context has ended.
func (b *Balancer) waitForEndpoints(ctx context.Context) bool {
	for !b.endpointsKnown() {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(endpointsPollInterval)
	}
	return true
}

// followPeer handles the messages of the peer process until its link ends.
func (b *Balancer) followPeer(peer *peerProcess) {
	defer func() {
		peer.handleLinkEnd()
		if b.peer.CompareAndSwap(peer, nil) {
			b.pool.ShareRequestIDs(nil)
			b.pool.PeerProcessEnded()
		}
		peer.link.Close()
	}()
	for {
		message, file, err := peer.link.Receive()
		if err != nil {
			slog.Info("link to peer process ended", "err", err)
			return
		}
		b.handlePeerMessage(peer, message, file)
		if file != nil {
			file.Close()
		}
	}
}

// handlePeerMessage handles a message and the file attached to it, which may be nil. The caller closes the file.
func (b *Balancer) handlePeerMessage(peer *peerProcess, message hotrestart.Message, file *os.File) {
	switch message.Kind {
	case hotrestart.KindReady:
		peer.handleReady()
	case hotrestart.KindAck:
		peer.handleAck(message.Serial)
	case hotrestart.KindState:
		b.applyPeerState(message)
		ack := hotrestart.Message{Kind: hotrestart.KindAck, Serial: message.Serial}
		_ = peer.link.Send(ack, nil) // if it fails, so does the next Receive
	case hotrestart.KindClientConnection:
		b.takeClientConnection(file)
	case hotrestart.KindRequestIDs:
		if message.RequestIDs != nil {
			b.pool.AdoptRequestIDs(pool.RequestIDChanges(*message.RequestIDs))
		}
	case hotrestart.KindSnapshotRequest:
		b.sendSnapshot(peer)
	case hotrestart.KindSnapshot:
		if message.Snapshot != nil {
			b.pool.Restore(*message.Snapshot)
		}
		peer.markSnapshotRestored()
	}
}

// sendSnapshot sends the pool's snapshot to the peer process. The snapshot of a large fleet may exceed the size limit
// of a message: the peer then serves without it.
func (b *Balancer) sendSnapshot(peer *peerProcess) {
	snapshot := b.pool.Snapshot()
	message := hotrestart.Message{Kind: hotrestart.KindSnapshot, Snapshot: &snapshot}
	if err := peer.link.Send(message, nil); err != nil {
		slog.Warn("snapshot not sent", "err", err)
	}
}

// takeClientConnection serves a client connection that the old process has handed over. A nil file is ignored.
func (b *Balancer) takeClientConnection(file *os.File) {
	if file == nil {
		return
	}
	conn, err := net.FileConn(file)
	if err != nil {
		slog.Warn("client connection not taken over", "err", err)
		return
	}
	b.server.ServeConn(conn)
}

// hotRestartState returns a message with the operators' state: local overrides, and whether the balancer is drained.
func (b *Balancer) hotRestartState() hotrestart.Message {
	return hotrestart.Message{
		Kind:      hotrestart.KindState,
		Listen:    b.config.Listen,
		Standby:   b.server.Drained(),
		SharesIDs: true,
		Overrides: b.pool.LocalOverrides(),
	}
}

// applyPeerState applies the operators' state of the peer process to this one.
func (b *Balancer) applyPeerState(state hotrestart.Message) {
	b.pool.MergeOverrides(state.Overrides)
	b.server.Drain(state.Standby)
}

// notifyPeer sends the operators' state to the peer process, if there is one, and waits until it is applied there, so
// that a command has effect in both processes. A failure is only logged: the command may then have no effect in the
// peer process.
func (b *Balancer) notifyPeer() {
	peer := b.peer.Load()
	if peer == nil {
		return
	}
	if err := peer.notify(b.hotRestartState()); err != nil {
		slog.Warn("peer process not notified", "err", err)
	}
}
