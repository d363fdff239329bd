package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// hangTimeout is how long a function may take that has nothing to wait for.
const hangTimeout = 20 * time.Second

// awaitError returns the function's error, and fails if the function hangs.
func awaitError(t *testing.T, f func() error) error {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- f() }()
	select {
	case err := <-done:
		return err
	case <-time.After(hangTimeout):
		t.Fatal("it hangs")
		return nil
	}
}

// Guards against a start that hangs without a word when a later listener fails: the servers of the
// earlier ones went on.
func TestStartFailsWhenAnAddressIsTaken(t *testing.T) {
	for taken := range 5 {
		is := is.New(t)
		addresses := make([]string, 5)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("127.0.33.%d:%d", i+1, freePort(t))
		}
		other, err := net.Listen("tcp", addresses[taken])
		is.NoErr(err)
		d, err := New(settings.Process{
			Name: "kandy-1", DataCentre: "kandy", Callers: addresses[0], Backends: addresses[1], Operators: addresses[2],
			Platform: addresses[3], Instances: addresses[4], Advertise: addresses[4], Voters: []settings.Voter{{Name: "galle-1", Address: "127.0.33.9:1"}},
		}, logr.FromSlogHandler(slog.DiscardHandler))
		is.NoErr(err)
		err = awaitError(t, func() error { return d.Run(t.Context()) })
		is.True(err != nil)
		is.NoErr(other.Close())
		for _, a := range addresses {
			l, err := net.Listen("tcp", a) // nothing listens any more
			is.NoErr(err)
			is.NoErr(l.Close())
		}
	}
}

// Guards against a process that doesn't end when it is stopped, or another part of it fails, while it
// starts: the HTTP server was shut down before it served, and then served on.
func TestServerThatStartsAfterTheEndStops(t *testing.T) {
	is := is.New(t)
	for range 50 {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var g errgroup.Group
		serveHTTP(ctx, &g, connguard.New(connguard.Options{}), fmt.Sprintf("127.0.33.7:%d", freePort(t)), &fasthttp.Server{})
		is.NoErr(awaitError(t, g.Wait))
	}
}
