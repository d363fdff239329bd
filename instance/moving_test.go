package instance

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/matryer/is"
)

// largeView is a peer with a view of 40 KiB that doesn't compress.
type largeView struct{ PeerHandler }

func (largeView) FetchView(*wire.FetchRequest) (*wire.FetchResponse, error) {
	view := make([]byte, 40<<10)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(view)
	return &wire.FetchResponse{Index: 9, View: view}, nil
}

// serveSlowly returns the address of the peer, whose answers pass in blocks of the given size and distance.
func serveSlowly(t *testing.T, p PeerHandler, block int, every time.Duration) string {
	t.Helper()
	is := is.New(t)
	fast, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- NewServer(nil, p).Serve(ctx, fast) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	slow, err := emulate.NarrowLink(ctx, fast.Addr().String(), block, every)
	is.NoErr(err)
	return slow
}

// Guards against a view that never arrives since it doesn't fit through the link within the time of one call, and against
// a call that a peer which only trickles keeps for hours.
func TestViewArrivesOverANarrowLinkThatMoves(t *testing.T) {
	is := is.New(t)
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	e := NewExchanger(dialer)
	resp, err := e.Fetch(t.Context(), serveSlowly(t, largeView{}, 1<<10, time.Second/32), &wire.FetchRequest{}, nil)
	is.NoErr(err)
	is.Equal(len(resp.View), 40<<10)
	_, err = e.Fetch(t.Context(), serveSlowly(t, largeView{}, 16, time.Second/32), &wire.FetchRequest{}, nil)
	is.True(errors.Is(err, context.DeadlineExceeded))
}
