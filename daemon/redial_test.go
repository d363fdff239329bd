package daemon

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/matryer/is"
)

// Guards against dialling a peer without pause: one that ends each stream after its first heartbeat was
// dialled again at once, and the instance did nothing else.
func TestPeerThatEndsItsStreamAtOnceIsRedialledWithPauses(t *testing.T) {
	const maxDials = 20 // in 10 s, with pauses that double up to maxRetryDelay
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer, s := newTestState("a"), newTestState("b")
		p := newPeerSync(s, nil, instance.Dialer{})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		dials := 0
		p.openStream = func(_ context.Context, _ string, r instance.SubscriptionHandler) error {
			if dials++; dials > 10*maxDials {
				cancel() // time stands still while the peer is dialled without pause
			}
			_, err := r.HandleHeartbeat(firstHeartbeat(peer, r.(*subscription)))
			is.NoErr(err)
			return io.EOF
		}
		p.subscribe(ctx, "a")
		is.True(dials <= maxDials)
		is.True(dials > 1)
	})
}

// A peer whose stream has lasted is dialled again at once.
func TestPeerWhoseStreamHasLastedIsRedialledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer, s := newTestState("a"), newTestState("b")
		p := newPeerSync(s, nil, instance.Dialer{})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var ended time.Time
		p.openStream = func(_ context.Context, _ string, r instance.SubscriptionHandler) error {
			if !ended.IsZero() {
				is.Equal(time.Since(ended), time.Duration(0))
				cancel()
				return io.EOF
			}
			_, err := r.HandleHeartbeat(firstHeartbeat(peer, r.(*subscription)))
			is.NoErr(err)
			time.Sleep(time.Second)
			ended = time.Now()
			return io.EOF
		}
		p.subscribe(ctx, "a")
	})
}
