package instance

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/matryer/is"
)

// Guards against a field of a consensus message that is lost on the way, which would leave followers without
// confirmation.
func TestAppendsCarryRoundsBetweenInstances(t *testing.T) {
	is := is.New(t)
	for _, m := range []consensus.Message{
		{Kind: consensus.KindAppend, From: "a", To: "b", Term: 3, Round: 9, AckedRound: 8, AckedEpoch: 1 << 60, ConfirmedRound: 7},
		{Kind: consensus.KindAppendReply, From: "b", To: "a", Term: 3, Round: 9, Hint: 5},
	} {
		got, ok := fromWire(toWire(m))
		is.True(ok)
		is.Equal(got, m)
	}
}

// countingListener counts the connections that it has accepted, and those that were closed again.
type countingListener struct {
	net.Listener
	accepted, closed atomic.Int64
}

type countedConn struct {
	net.Conn
	closed *atomic.Int64
}

func (c countedConn) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return countedConn{c, &l.closed}, err
}

// Guards against connections that are closed, with what waits on them, since the peer's process is late by more than
// 300 ms, and against messages that wait behind one that it has not answered yet.
func TestLatePeerKeepsItsConnections(t *testing.T) {
	is := is.New(t)
	peer := &receiver{messages: make(chan consensus.Message)} // takes no further message until the test reads one
	l := &countingListener{Listener: listenLocal(t)}
	go func() { _ = NewServer(peer, nil).Serve(t.Context(), l) }()
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	s := NewConsensusSender(dialer)
	s.Reach("b", l.Addr().String())
	go func() { _ = s.Run(t.Context()) }()
	heartbeat := func(round uint64) {
		s.Send(consensus.Message{Kind: consensus.KindAppend, To: "b", Term: 1, Round: round})
	}
	for round := uint64(1); round <= 11; round++ {
		heartbeat(round)
		time.Sleep(stepTimeout / 8)
	}
	is.Equal(l.closed.Load(), int64(0))
	rounds := map[uint64]bool{}
	for !rounds[11] {
		rounds[(<-peer.messages).Round] = true
	}
	is.True(rounds[1] && rounds[2])    // one on each connection
	is.True(!rounds[9] || !rounds[10]) // replaced by the last one
	is.Equal(l.accepted.Load(), int64(smallConns))
	is.Equal(l.closed.Load(), int64(0))
}
