package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
)

const (
	// maxPauseWait bounds how long a plain request waits for a server that wants nothing for a time. A
	// request that would wait longer is refused at once.
	maxPauseWait = capacityWait
	// maxLineLength bounds the plain requests of one service that wait so: most of them should get a
	// server within maxPauseWait.
	maxLineLength = 16
	// lineRecheckInterval is the longest time between two looks of the first request of a line for a server.
	lineRecheckInterval = 5 * time.Millisecond
	// pauseRetrySpread spreads the Retry-After delays of callers that are refused because servers want
	// nothing for a time.
	pauseRetrySpread = 500 * time.Millisecond
)

// waitLines holds the plain requests that wait for servers that want nothing for a time, by service, in
// the order of their arrival. It is safe for concurrent use.
type waitLines struct {
	// count is the number of waiting requests, readable without the lock.
	count atomic.Int64

	mu    sync.Mutex
	lines map[string][]*waitTurn
}

// waitTurn is the place of a request in a line.
type waitTurn struct {
	service string
	// isFirst is closed when the request is the first of its line.
	isFirst chan struct{}
}

func newWaitLines() *waitLines { return &waitLines{lines: make(map[string][]*waitTurn)} }

// hasWaiters reports whether requests of a service wait.
func (l *waitLines) hasWaiters(service string) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines[service]) > 0
}

// join appends a request to the line of a service. It returns false if the line is full.
func (l *waitLines) join(service string) (*waitTurn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.lines[service]
	if len(line) >= maxLineLength {
		return nil, false
	}
	t := &waitTurn{service: service, isFirst: make(chan struct{})}
	if len(line) == 0 {
		close(t.isFirst)
	}
	l.lines[service] = append(line, t)
	l.count.Add(1)
	return t, true
}

// leave removes a request from its line, which may be the turn of the next one.
func (l *waitLines) leave(t *waitTurn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.lines[t.service]
	i := slices.Index(line, t)
	line = slices.Delete(line, i, i+1)
	l.count.Add(-1)
	if len(line) == 0 {
		delete(l.lines, t.service)
		return
	}
	l.lines[t.service] = line
	if i == 0 {
		close(line[0].isFirst)
	}
}

// awaitServer returns a server for a plain request, or nil. If all servers want nothing, it waits in the
// order of arrival, provided that the wait is short and ends before the deadline.
func (g *Gateway) awaitServer(ctx context.Context, j *job, tried []string) *discovery.Announcement {
	if !g.waitLines.hasWaiters(j.service.Name) {
		if server := g.pickServer(j, tried); server != nil {
			return server
		}
		now := time.Now()
		at, ok := g.nextFree(j, tried, now)
		if !ok || at.Sub(now) > maxPauseWait || !at.Before(j.deadline) {
			return nil
		}
	}
	turn, ok := g.waitLines.join(j.service.Name)
	if !ok {
		return nil
	}
	defer g.waitLines.leave(turn)
	ctx, cancel := context.WithTimeout(ctx, maxPauseWait)
	defer cancel()
	select {
	case <-ctx.Done():
		return nil
	case <-turn.isFirst:
	}
	server := g.pickServer(j, tried)
	if server == nil {
		poll(ctx, lineRecheckInterval, maxPauseWait, func() bool {
			server = g.pickServer(j, tried)
			return server != nil
		})
	}
	return server
}

// nextFree returns when the first of the servers that want nothing may get the request. It returns false
// if there is none.
func (g *Gateway) nextFree(j *job, tried []string, now time.Time) (first time.Time, ok bool) {
	v := g.view.Load()
	for _, a := range v.plain[j.service.Name] {
		if slices.Contains(tried, a.ID) {
			continue
		}
		at, mayReturn := g.selfReports.next(now, v.server(a.ID))
		if mayReturn && (!ok || at.Before(first)) {
			first, ok = at, true
		}
	}
	return first, ok
}

// pauseRetry returns the Retry-After delay of a refused plain request if all servers want nothing: the
// time until the first of them may get it. It returns 0 if that is at most busyRetry or not known.
func (g *Gateway) pauseRetry(j *job) time.Duration {
	if g.selfReports.count.Load() == 0 {
		return 0
	}
	now := time.Now()
	at, ok := g.nextFree(j, nil, now)
	if !ok || at.Sub(now) <= busyRetry {
		return 0
	}
	return g.spreadRetry(at.Sub(now))
}

// spreadRetry adds a random delay, so that callers that were refused together don't return together.
func (g *Gateway) spreadRetry(d time.Duration) time.Duration {
	return d + time.Duration(g.randomFloat()*float64(pauseRetrySpread))
}
