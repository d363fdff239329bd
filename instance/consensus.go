package instance

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/ring"
	"golang.org/x/sync/errgroup"
)

const (
	// outboxSize bounds the messages queued for one peer. A full outbox drops new messages,
	// which the consensus protocol resends.
	outboxSize   = 1024
	maxStepBatch = 64
	// stepTimeout bounds the call that sends one batch. If the call takes longer, its connection is
	// closed and later redialled.
	stepTimeout = 300 * time.Millisecond
)

// maxPeers bounds the number of replicas that one instance sends to.
const maxPeers = 64

// ConsensusSender sends consensus messages, with one goroutine and one connection per peer. It is
// safe for concurrent use.
type ConsensusSender struct {
	dialer Dialer
	mu     sync.Mutex
	peers  map[string]*outbox
	// newPeers holds the outboxes whose goroutine has not been started yet.
	newPeers chan *outbox
}

// outbox queues the messages for one peer.
type outbox struct {
	conn  *peerConn
	queue *ring.Ring[consensus.Message]
}

// NewConsensusSender returns a sender without peers.
func NewConsensusSender(d Dialer) *ConsensusSender {
	return &ConsensusSender{dialer: d, peers: make(map[string]*outbox), newPeers: make(chan *outbox, maxPeers)}
}

// Reach sets the address of a peer. The first address of a peer is kept; later ones are ignored.
func (s *ConsensusSender) Reach(name, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[name]; ok || address == "" || len(s.peers) >= maxPeers {
		return
	}
	box := &outbox{
		conn:  &peerConn{dialer: s.dialer, address: address},
		queue: ring.New[consensus.Message](outboxSize),
	}
	s.peers[name] = box
	s.newPeers <- box
}

// Address returns the address of a peer, or "" if the peer is unknown.
func (s *ConsensusSender) Address(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if box, ok := s.peers[name]; ok {
		return box.conn.address
	}
	return ""
}

// Send queues a message. The message is dropped if the peer's queue is full or the peer is
// unknown.
func (s *ConsensusSender) Send(m consensus.Message) {
	s.mu.Lock()
	box, ok := s.peers[m.To]
	s.mu.Unlock()
	if ok {
		box.queue.Offer(m)
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
			g.Go(func() error {
				runOutbox(ctx, box.conn, box.queue)
				return nil
			})
		}
	}
}

func runOutbox(ctx context.Context, pc *peerConn, queue *ring.Ring[consensus.Message]) {
	defer pc.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queue.Items():
			batch := append([]consensus.Message{m}, queue.Drain(maxStepBatch-1)...)
			sendBatch(ctx, pc, batch)
		}
	}
}

// sendBatch sends the messages in one call. If the call fails, the batch is dropped.
func sendBatch(ctx context.Context, pc *peerConn, batch []consensus.Message) {
	req := &wire.StepRequest{Messages: make([]*wire.ConsensusMessage, len(batch))}
	for i, m := range batch {
		req.Messages[i] = toWire(m)
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_ = pc.call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		_, err := c.Step(ctx, req)
		return err
	})
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
