package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/gateway"
	"github.com/balsamlb/balsamlb/layers"
	"github.com/matryer/is"
)

// countedQueries counts the queries and orders that reach a server in the span in which it wants nothing.
type countedQueries struct {
	mu          sync.Mutex
	from, until time.Time
	inSpan      int
}

// pause begins the span: the first half second is allowed.
func (q *countedQueries) pause(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.from, q.until = time.Now().Add(500*time.Millisecond), time.Now().Add(d)
}

func (q *countedQueries) arrive() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now := time.Now(); now.After(q.from) && now.Before(q.until) {
		q.inSpan++
	}
}

func (q *countedQueries) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inSpan
}

func (q *countedQueries) StallingServers(context.Context, string) (map[string]string, error) {
	q.arrive()
	return nil, errUnreachable
}

func (q *countedQueries) Reroute(context.Context, string, string, layers.Path, uint64) (string, error) {
	q.arrive()
	return "", errUnreachable
}

// Guards against the incident BUDGET (a server asked for rest): queries about stalled drafts and checks whether
// a server answers again reach a server that wants nothing for a time.
func TestServerThatWantsNothingGetsNoQueries(t *testing.T) {
	is := is.New(t)
	q := &countedQueries{}
	f := newFleetWith(t, func(o *gateway.Options) {
		o.Orders = q
		o.Identify = func(context.Context, string) (int64, error) {
			q.arrive()
			return 0, errUnreachable
		}
	})
	var arrivals atomic.Int64
	const pause = 3 * time.Second
	f.serve("pausing", "advice", 0, 4, func(c net.Conn, _ *http.Request) {
		if arrivals.Add(1) == 1 {
			streamHeader(c)
			chunk(c, event(0))
			time.Sleep(pause + time.Second) // silent, and whole in the end
			chunk(c, event(1))
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		q.pause(pause)
		turnAway(c, "3")
	})
	f.publish()
	whole := make(chan result, 1)
	go func() { whole <- f.get("/advice/", nil) }()
	f.until(func() bool { return arrivals.Load() == 1 })
	is.Equal(f.get("/advice/", nil).status, http.StatusServiceUnavailable)
	r := <-whole
	is.NoErr(r.err)
	is.Equal(r.body, event(0)+event(1))
	is.Equal(q.count(), 0)
}
