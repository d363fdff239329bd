package instance

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
)

// receiver is a replica that takes messages only.
type receiver struct {
	Replica
	messages chan consensus.Message
}

func (r *receiver) Receive(m consensus.Message) { r.messages <- m }

func (r *receiver) Propose(context.Context, []byte) (replica.Result, error) {
	return replica.Result{}, consensus.ErrNotLeader
}

// listenLocal returns a listener that is closed with the test.
func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Guards against large messages that are thrown away because they take longer than 300 ms, and against heartbeats that
// wait behind them: each entry takes about 0.7 s over the relay.
func TestLargeAppendsArriveOnceAndHeartbeatsOvertakeThem(t *testing.T) {
	is := is.New(t)
	peer := &receiver{messages: make(chan consensus.Message, 100)}
	l := listenLocal(t)
	go func() { _ = NewServer(peer, nil).Serve(t.Context(), l) }()
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	s := NewConsensusSender(dialer)
	s.SetOnLost(func(m consensus.Message) { t.Errorf("the append after %d was lost", m.PrevIndex) })
	const block = 4 << 10
	link, err := emulate.NarrowLink(t.Context(), l.Addr().String(), block, block*time.Second/300_000)
	is.NoErr(err)
	s.Reach("b", link)
	go func() { _ = s.Run(t.Context()) }()
	for i := range uint64(3) {
		m := consensus.Message{Kind: consensus.KindAppend, To: "b", Term: 1, PrevIndex: i, Entries: []consensus.Entry{{Index: i + 1, Data: make([]byte, 213_000)}}}
		s.Send(m)
		s.Send(m) // sent again while it is on its way
	}
	s.Send(consensus.Message{Kind: consensus.KindAppend, To: "b", Term: 1, Round: 1})
	is.Equal((<-peer.messages).Round, uint64(1))
	for i := range uint64(3) {
		is.Equal((<-peer.messages).PrevIndex, i)
	}
	is.Equal(len(peer.messages), 0)
}

// Guards against a sender that waits for a peer which has stopped to read, and tells nobody.
func TestAppendThatNoLongerMovesIsReportedLost(t *testing.T) {
	is := is.New(t)
	l := listenLocal(t) // nobody accepts
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	s := NewConsensusSender(dialer)
	lost := make(chan consensus.Message, 2)
	s.SetOnLost(func(m consensus.Message) { lost <- m })
	s.Reach("b", l.Addr().String())
	go func() { _ = s.Run(t.Context()) }()
	s.Send(consensus.Message{Kind: consensus.KindAppend, To: "b", Term: 1, PrevIndex: 7, Entries: []consensus.Entry{{Index: 8, Data: make([]byte, 8<<20)}}})
	is.Equal((<-lost).PrevIndex, uint64(7))
}
