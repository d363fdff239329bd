package instance

import (
	"context"
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

// ConsensusSender sends consensus messages, with a duty and a connection for each peer.
type ConsensusSender struct {
	dialer    Dialer
	addresses map[string]string
	outboxes  map[string]*ring.Ring[consensus.Message]
}

// NewConsensusSender returns a sender to the peers, given by name and address.
func NewConsensusSender(d Dialer, addresses map[string]string) *ConsensusSender {
	s := &ConsensusSender{dialer: d, addresses: addresses, outboxes: make(map[string]*ring.Ring[consensus.Message])}
	for name := range addresses {
		s.outboxes[name] = ring.New[consensus.Message](outboxSize)
	}
	return s
}

// Send queues a message.
func (s *ConsensusSender) Send(m consensus.Message) {
	if box, ok := s.outboxes[m.To]; ok {
		box.Offer(m)
	}
}

// Run sends until ctx ends.
func (s *ConsensusSender) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for name, box := range s.outboxes {
		g.Go(func() error {
			sendAll(ctx, &link{dialer: s.dialer, address: s.addresses[name]}, box)
			return nil
		})
	}
	return g.Wait()
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
		Kind:      uint32(m.Kind),
		From:      m.From,
		To:        m.To,
		Term:      m.Term,
		PrevIndex: m.PrevIndex,
		PrevTerm:  m.PrevTerm,
		Commit:    m.Commit,
		Reject:    m.Reject,
		Hint:      m.Hint,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &wire.Entry{Term: e.Term, Index: e.Index, Data: e.Data})
	}
	return w
}

func fromWire(w *wire.ConsensusMessage) consensus.Message {
	m := consensus.Message{
		Kind:      consensus.Kind(w.Kind),
		From:      w.From,
		To:        w.To,
		Term:      w.Term,
		PrevIndex: w.PrevIndex,
		PrevTerm:  w.PrevTerm,
		Commit:    w.Commit,
		Reject:    w.Reject,
		Hint:      w.Hint,
	}
	for _, e := range w.Entries {
		m.Entries = append(m.Entries, consensus.Entry{Term: e.Term, Index: e.Index, Data: e.Data})
	}
	return m
}
