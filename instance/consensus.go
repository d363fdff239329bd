package instance

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/ring"
	"golang.org/x/sync/errgroup"
)

const (
	// outboxSize bounds the messages queued in each lane of a peer. A full lane drops new messages,
	// which the consensus protocol resends.
	outboxSize   = 1024
	maxStepBatch = 64
	// maxStepBytes bounds the entries and chunks in one call with more than one message. It is below the limit of a
	// call, 4 MiB, also with the largest append.
	maxStepBytes = 512 << 10
	// smallConns is the number of connections for small messages to a peer, so that one call without an answer doesn't
	// hold up the messages behind it.
	smallConns = 2
	// stepTimeout bounds the call that sends one batch of small messages, and maxStepTimeout the call to a peer whose
	// kernel has acknowledged all of it: the process there is only late, and what it has not read yet would be lost with
	// the connection. If a call takes longer, its connection is closed and later redialled.
	stepTimeout    = 300 * time.Millisecond
	maxStepTimeout = time.Second
	// minStall and maxStall bound the time after which a call with entries or a chunk is broken off because no byte
	// has moved. It grows with each such call, since buffers on the way may hold what the peer has not read yet.
	minStall = time.Second
	maxStall = 8 * time.Second
)

// maxPeers bounds the number of replicas that one instance sends to.
const maxPeers = 64

// ConsensusSender sends consensus messages. Each peer has two lanes: one for messages with entries or chunks, which keep
// their order on one connection, and one with smallConns connections for all others, which never wait for them. It is
// safe for concurrent use.
type ConsensusSender struct {
	dialer Dialer
	mu     sync.Mutex
	peers  map[string]*outbox
	onLost func(consensus.Message)
	// newPeers holds the outboxes whose goroutines have not been started yet.
	newPeers chan *outbox
}

// outbox queues the messages for one peer.
type outbox struct {
	address string
	small   *ring.Ring[consensus.Message]
	large   *largeQueue
}

// NewConsensusSender returns a sender without peers.
func NewConsensusSender(d Dialer) *ConsensusSender {
	return &ConsensusSender{dialer: d, peers: make(map[string]*outbox), newPeers: make(chan *outbox, maxPeers)}
}

// SetOnLost sets the function that is called with messages with entries or chunks that could not be sent. It is called
// from other goroutines and must not block. SetOnLost must be called before Run.
func (s *ConsensusSender) SetOnLost(f func(consensus.Message)) { s.onLost = f }

// Reach sets the address of a peer. The first address of a peer is kept; later ones are ignored.
func (s *ConsensusSender) Reach(name, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[name]; ok || address == "" || len(s.peers) >= maxPeers {
		return
	}
	box := &outbox{address: address, small: ring.New[consensus.Message](outboxSize), large: newLargeQueue()}
	s.peers[name] = box
	s.newPeers <- box
}

// Address returns the address of a peer, or "" if the peer is unknown.
func (s *ConsensusSender) Address(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if box, ok := s.peers[name]; ok {
		return box.address
	}
	return ""
}

// Send queues a message. The message is dropped if the peer's lane is full or the peer is
// unknown.
func (s *ConsensusSender) Send(m consensus.Message) {
	s.mu.Lock()
	box, ok := s.peers[m.To]
	s.mu.Unlock()
	switch {
	case !ok:
	case isLarge(m):
		box.large.put(m)
	default:
		box.small.Offer(m)
	}
}

// Run sends queued messages until ctx ends.
func (s *ConsensusSender) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case box := <-s.newPeers:
			for range smallConns {
				g.Go(func() error {
					runSmall(ctx, &peerConn{dialer: s.dialer, address: box.address}, box.small)
					return nil
				})
			}
			g.Go(func() error {
				s.runLarge(ctx, &peerConn{dialer: s.dialer, address: box.address}, box.large)
				return nil
			})
		}
	}
}

// runSmall sends the messages of the lane for small messages on one connection.
func runSmall(ctx context.Context, pc *peerConn, queue *ring.Ring[consensus.Message]) {
	defer pc.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue.Items():
			batch := withoutSuperseded(append([]consensus.Message{m}, queue.Drain(maxStepBatch-1)...))
			_ = pc.callWhileReached(ctx, stepTimeout, maxStepTimeout, step(batch))
		}
	}
}

// withoutSuperseded removes the heartbeats that a later one in the batch replaces.
func withoutSuperseded(batch []consensus.Message) []consensus.Message {
	out := batch[:0]
	for i, m := range batch {
		if !slices.ContainsFunc(batch[i+1:], func(later consensus.Message) bool { return supersedes(later, m) }) {
			out = append(out, m)
		}
	}
	return out
}

// supersedes reports whether a heartbeat says all that an earlier one does.
func supersedes(later, m consensus.Message) bool {
	return m.Kind == consensus.KindAppend && later.Kind == consensus.KindAppend && !isLarge(m) && !isLarge(later) &&
		later.Term == m.Term && later.PrevIndex == m.PrevIndex && later.Round >= m.Round && len(later.Stored) >= len(m.Stored)
}

// runLarge sends the messages of the lane for entries and chunks. If a call fails, those that are queued are
// dropped as well, since the peer can't use them without the ones that were lost.
func (s *ConsensusSender) runLarge(ctx context.Context, pc *peerConn, queue *largeQueue) {
	defer pc.close()
	stall := minStall
	for {
		select {
		case <-ctx.Done():
			return
		case <-queue.wake:
		}
		for batch := queue.next(); len(batch) > 0; batch = queue.next() {
			err := pc.callWhileMoving(ctx, stall, stall, step(batch))
			if err == nil {
				stall = minStall
				continue
			}
			if errors.Is(err, errStalled) {
				stall = min(2*stall, maxStall)
			}
			for _, m := range queue.clear() {
				if s.onLost != nil && ctx.Err() == nil {
					s.onLost(m)
				}
			}
		}
	}
}

// step returns a call that sends the messages.
func step(batch []consensus.Message) func(context.Context, wire.DRPCInstanceClient) error {
	req := &wire.StepRequest{Messages: make([]*wire.ConsensusMessage, len(batch))}
	for i, m := range batch {
		req.Messages[i] = toWire(m)
	}
	return func(ctx context.Context, c wire.DRPCInstanceClient) error {
		_, err := c.Step(ctx, req)
		return err
	}
}

func toWire(m consensus.Message) *wire.ConsensusMessage {
	w := &wire.ConsensusMessage{
		Kind:       uint32(m.Kind),
		From:       m.From,
		To:         m.To,
		Term:       m.Term,
		PrevIndex:  m.PrevIndex,
		PrevTerm:   m.PrevTerm,
		Commit:     m.Commit,
		Reject:     m.Reject,
		Hint:       m.Hint,
		Group:      m.Group,
		Disk:       m.Disk,
		Epoch:      m.Epoch,
		Round:      m.Round,
		Force:      m.Force,
		Unverified: m.Unverified,
		Address:    m.Address,
		Chunk:      m.Chunk,
		Offset:     m.Offset,
		Size:       m.Size,
		FormLevel:  m.FormLevel,

		AckedRound:     m.AckedRound,
		ConfirmedRound: m.ConfirmedRound,
		RecordedTerm:   m.RecordedTerm,
	}
	// An append has no hint of its own, and builds before these fields ignore it there.
	if m.Kind == consensus.KindAppend {
		w.Hint = m.AckedEpoch
	}
	if m.Membership != nil {
		w.Membership = m.Membership.Encode()
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &wire.Entry{Term: e.Term, Index: e.Index, Kind: uint32(e.Kind), Data: e.Data})
	}
	for _, s := range m.Stored {
		w.Stored = append(w.Stored, &wire.Stored{Id: s.ID, Term: s.Position.Term, Index: s.Position.Index})
	}
	return w
}

// fromWire decodes a message. It returns false if the message is malformed.
func fromWire(w *wire.ConsensusMessage) (consensus.Message, bool) {
	m := consensus.Message{
		Kind:       consensus.Kind(w.Kind),
		From:       w.From,
		To:         w.To,
		Term:       w.Term,
		PrevIndex:  w.PrevIndex,
		PrevTerm:   w.PrevTerm,
		Commit:     w.Commit,
		Reject:     w.Reject,
		Hint:       w.Hint,
		Group:      w.Group,
		Disk:       w.Disk,
		Epoch:      w.Epoch,
		Round:      w.Round,
		Force:      w.Force,
		Unverified: w.Unverified,
		Address:    w.Address,
		Chunk:      w.Chunk,
		Offset:     w.Offset,
		Size:       w.Size,
		FormLevel:  w.FormLevel,

		AckedRound:     w.AckedRound,
		ConfirmedRound: w.ConfirmedRound,
		RecordedTerm:   w.RecordedTerm,
	}
	if m.Kind == consensus.KindAppend {
		m.Hint, m.AckedEpoch = 0, w.Hint
	}
	if len(w.Membership) > 0 {
		membership, err := consensus.DecodeMembership(w.Membership)
		if err != nil {
			return m, false
		}
		m.Membership = &membership
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, consensus.Entry{Term: e.Term, Index: e.Index, Kind: consensus.EntryKind(e.Kind), Data: e.Data})
	}
	for _, s := range w.Stored {
		m.Stored = append(m.Stored, consensus.StoredPosition{ID: s.Id, Position: consensus.Position{Term: s.Term, Index: s.Index}})
	}
	return m, true
}
