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
	// outboxSize bounds the messages that wait for one peer; a full outbox drops new ones,
	// which the protocol repeats.
	outboxSize = 1024
	stepBatch  = 64
	// stepTimeout is after how long a peer's connection is given up and dialled anew.
	stepTimeout = 300 * time.Millisecond
)

// maxPeers bounds the replicas that one instance talks to.
const maxPeers = 64

// ConsensusSender sends consensus messages, with a duty and a connection for each peer.
type ConsensusSender struct {
	dialer Dialer
	mu     sync.Mutex
	peers  map[string]*outbox
	// added are the peers whose duty has not started yet.
	added chan *outbox
}

// outbox holds the messages that wait for one peer.
type outbox struct {
	link     *link
	messages *ring.Ring[consensus.Message]
}

// NewConsensusSender returns a sender without peers.
func NewConsensusSender(d Dialer) *ConsensusSender {
	return &ConsensusSender{dialer: d, peers: make(map[string]*outbox), added: make(chan *outbox, maxPeers)}
}

// Reach tells where a peer is reached. A peer keeps its first address.
func (s *ConsensusSender) Reach(name, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.peers[name]; ok || address == "" || len(s.peers) >= maxPeers {
		return
	}
	box := &outbox{
		link:     &link{dialer: s.dialer, address: address},
		messages: ring.New[consensus.Message](outboxSize),
	}
	s.peers[name] = box
	s.added <- box
}

// Address returns where a peer is reached, or "".
func (s *ConsensusSender) Address(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if box, ok := s.peers[name]; ok {
		return box.link.address
	}
	return ""
}

// Send queues a message. It is dropped when too many wait for the peer, or when it is not known.
func (s *ConsensusSender) Send(m consensus.Message) {
	s.mu.Lock()
	box, ok := s.peers[m.To]
	s.mu.Unlock()
	if ok {
		box.messages.Offer(m)
	}
}

// Run sends until ctx ends.
func (s *ConsensusSender) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for {
		select {
		case <-ctx.Done():
			return g.Wait()
		case box := <-s.added:
			g.Go(func() error {
				sendAll(ctx, box.link, box.messages)
				return nil
			})
		}
	}
}

func sendAll(ctx context.Context, l *link, box *ring.Ring[consensus.Message]) {
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-box.Items():
			batch := append([]consensus.Message{m}, box.Drain(stepBatch-1)...)
			sendBatch(ctx, l, batch)
		}
	}
}

// sendBatch drops the batch when the peer can't be reached.
func sendBatch(ctx context.Context, l *link, batch []consensus.Message) {
	req := &wire.StepRequest{Messages: make([]*wire.ConsensusMessage, len(batch))}
	for i, m := range batch {
		req.Messages[i] = toWire(m)
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	_ = l.call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
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

// fromWire reads a message; false means that it is damaged.
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
