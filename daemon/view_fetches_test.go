package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/matryer/is"
)

// Guards against peers that hang, and name their view with each heartbeat, before a sound one is asked.
func TestHangingPeersDoNotHoldUpAView(t *testing.T) {
	is := is.New(t)
	a, b := newTestState("a"), newTestState("b")
	a.offerView(viewOf(9, 3))
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	dialer, err := instance.NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	p := newPeerSync(b, nil, dialer)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- p.runFetches(ctx) }()
	sound := listen()
	go func() { ended <- instance.NewServer(nil, a).Serve(ctx, sound) }()
	for range 4 {
		hanging := listen().Addr().String() // the kernel accepts connections, and nobody answers
		for range 10 {
			p.offerHint(hanging, 9)
		}
	}
	p.offerHint(sound.Addr().String(), 9)
	for deadline := time.Now().Add(3 * time.Second); b.View().Index != 9; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Error("the view is not in force 3 s after a sound peer named it")
			break
		}
	}
	cancel()
	for range cap(ended) {
		is.NoErr(<-ended)
	}
}

// unreadableViews is a peer whose view can't be read. It sends the time of each request.
type unreadableViews struct {
	*instanceState
	requests chan time.Time
}

func (u unreadableViews) FetchView(*wire.FetchRequest) (*wire.FetchResponse, error) {
	u.requests <- time.Now()
	view, err := instance.CompressView([]byte(`{"Index": 9, "Config": {"Version": 3, "Base": "not a configuration"}}`), nil)
	return &wire.FetchResponse{Index: 9, View: view}, err
}

// Guards against a peer that is asked without a pause for a view that can't be put in force.
func TestViewThatCannotBeReadIsNotFetchedWithoutPause(t *testing.T) {
	is := is.New(t)
	dialer, err := instance.NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peer := unreadableViews{newTestState("a"), make(chan time.Time, 1000)}
	p := newPeerSync(newTestState("b"), nil, dialer)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- p.runFetches(ctx) }()
	go func() { ended <- instance.NewServer(nil, peer).Serve(ctx, l) }()
	p.offerHint(l.Addr().String(), 9)
	first := <-peer.requests
	<-peer.requests
	third := <-peer.requests
	is.True(third.Sub(first) >= 100*time.Millisecond) // half of the first two pauses is 150 ms
	cancel()
	for range cap(ended) {
		is.NoErr(<-ended)
	}
}
