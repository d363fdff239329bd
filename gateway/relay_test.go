package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
)

// newCutCluster returns gateways of which the first is cut off from all servers, and knows so.
func newCutCluster(t *testing.T, gateways int) *silentCluster {
	t.Helper()
	c := newSilentCluster(t, gateways, ampleRetries)
	c.fleet.addCopies(2)
	c.fleet.add("desk", 0, 0)
	c.fleet.add("desk", 0, 0)
	c.settle()
	c.cutOff(c.gateways[0])
	return c
}

// cutOff cuts a gateway off from all servers, and waits until it knows so and who takes its requests.
func (c *silentCluster) cutOff(g *silentGateway) {
	c.t.Helper()
	g.links.Break(emulate.LinkReset)
	c.within(contactTime, g.name+" knows that it is cut off", func() bool {
		return strings.Contains(g.log.String(), `"is_cut_off"=true`) && (len(c.gateways) == 1 || len(g.mesh.Relays()) == len(c.gateways)-1)
	})
}

// heldRun makes the next run wait after its first step until release is called, and returns a channel that is
// closed when it waits.
func (f *silenceFleet) heldRun(events int) (waits <-chan struct{}, release func()) {
	reached, released := make(chan struct{}), make(chan struct{})
	f.onEvents(events, func(*silentRun) {
		close(reached)
		select {
		case <-released:
		case <-f.ctx.Done():
		}
	})
	return reached, func() { close(released) }
}

// A booking that another gateway has taken runs once, also if the connection between the two breaks; its caller
// is never told that it hasn't run.
func TestBookingThatWasPassedOnRunsOnce(t *testing.T) {
	c := newCutCluster(t, 3)
	waits, release := c.fleet.heldRun(0)
	replies := make(chan silentReply, 1)
	go func() { replies <- c.gateways[0].send("/hold/1", firstTry) }()
	<-waits
	for _, g := range c.gateways[1:] {
		g.stopRelays()
	}
	r := <-replies
	release()
	if r.status != http.StatusBadGateway {
		t.Errorf("a booking whose outcome isn't known was answered %v", r)
	}
	for _, g := range c.gateways[1:] {
		g.startRelays()
	}
	c.within(contactTime, "bookings are served again", func() bool {
		next := c.gateways[0].send("/hold/1", firstTry)
		c.checkRuns(next.id, 1)
		return next.isWhole("/hold/1")
	})
	c.checkRuns(r.id, 1)
}

// A stream that another gateway has taken goes on at a third one, with each event once and in order.
func TestStreamThatWasPassedOnGoesOnElsewhere(t *testing.T) {
	c := newCutCluster(t, 3)
	waits, release := c.fleet.heldRun(3)
	replies := make(chan silentReply, 1)
	go func() { replies <- c.gateways[0].send("/advice/1", firstTry) }()
	<-waits
	for _, g := range c.gateways[1:] {
		if strings.Contains(c.gateways[0].log.String(), fmt.Sprintf(`"to"=%q`, g.name)) {
			g.stopRelays()
			defer g.startRelays() // the cluster stops it at the end
		}
	}
	release()
	r := <-replies
	c.checkWhole("/advice/1", r)
	c.checkRuns(r.id, 2)
}

// Guards against the rule DRAIN where another gateway was asked: a gateway that has passed on an answer which says
// that its server leaves sends that server no request once it reaches the servers again.
func TestLeavingHeardByWayOfAnotherGatewayCounts(t *testing.T) {
	c := newCutCluster(t, 2)
	g := c.gateways[0]
	leaving := c.fleet.runsOf(g.send("/check/1", firstTry).id)[0].server
	leaving.saysLeaving.Store(true)
	c.checkWhole("/check/1", g.send("/check/1", firstTry))
	runsThere := func() (n int) {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		for _, r := range c.fleet.runs {
			if r.server == leaving {
				n++
			}
		}
		return n
	}
	g.links.Break(emulate.LinkSound)
	c.within(contactTime, "the gateway reaches the servers again", func() bool { return strings.Contains(g.log.String(), `"is_cut_off"=false`) })
	before := runsThere()
	for range 40 {
		c.checkWhole("/check/1", g.send("/check/1", firstTry))
	}
	if n := runsThere() - before; n > 0 {
		t.Errorf("%d of 40 requests reached the server that leaves", n)
	}
}

// A request is passed on once at most: gateways that are all cut off refuse it and don't pass it back.
func TestRequestIsNotPassedBack(t *testing.T) {
	c := newCutCluster(t, 2)
	c.gateways[1].links.Break(emulate.LinkReset)
	for range 3 {
		for _, path := range []string{"/hold/1", "/advice/1"} {
			r := c.gateways[0].send(path, firstTry)
			if r.status != http.StatusServiceUnavailable || r.retryAfter == "" {
				t.Errorf("%s: not refused with a time to come back: %v", path, r)
			}
		}
	}
	if log := c.gateways[1].log.String(); strings.Contains(log, "passed a request on") && strings.Contains(log, `"is_taken"=true`) {
		t.Errorf("a request was passed back:\n%s", log)
	}
}

// The end of a caller reaches the server by way of the other gateway.
func TestCallerThatLeavesEndsTheRunElsewhere(t *testing.T) {
	c := newCutCluster(t, 2)
	waits, release := c.fleet.heldRun(3)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	id := "req-leaves"
	go func() {
		defer close(done)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateways[0].address+"/advice/1", strings.NewReader("body"))
		if err != nil {
			t.Error(err)
			return
		}
		r.Host = "shop"
		r.Header.Set("Balsamlb-Request-Id", id)
		r.Header.Set("Api-Key", "key-1")
		if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // until the caller leaves
			_ = resp.Body.Close()
		}
	}()
	<-waits
	leave()
	<-done
	time.Sleep(outlives / 2)
	release()
	c.within(outlives, "the run has ended", func() bool {
		runs := c.fleet.runsOf(id)
		return len(runs) == 1 && !runs[0].ended.IsZero() && !runs[0].isComplete
	})
}

// A gateway that stops completes the requests of others.
func TestStoppingGatewayCompletesRequestsOfOthers(t *testing.T) {
	c := newCutCluster(t, 2)
	waits, release := c.fleet.heldRun(3)
	replies := make(chan silentReply, 1)
	go func() { replies <- c.gateways[0].send("/once/1", firstTry) }()
	<-waits
	c.gateways[1].shutDown()
	time.AfterFunc(shutdownGrace/4, release)
	c.checkWhole("/once/1", <-replies)
}

// Guards against streams that are broken off when a gateway is cut off, since the retries that it may send itself
// are used up, while other gateways have some. All together stay within the shared budget.
func TestStreamsOfCutOffGatewayUseRetriesOfOthers(t *testing.T) {
	const streams = 12
	c := newSilentCluster(t, 7, retryLimits{ratio: 0, reserve: 84}) // 12 retries at each gateway in a window
	c.fleet.addCopies(2)
	c.settle()
	g := c.gateways[0]
	for _, other := range c.gateways {
		c.within(contactTime, other.name+" shares the retries", func() bool { return strings.Contains(other.log.String(), `"gateways"=7`) })
	}
	for _, other := range c.gateways {
		c.checkWhole("/advice/0", other.send("/advice/0", firstTry)) // a budget begins empty with the first request
	}
	time.Sleep(retryWindow) // each gateway has a few retries then, fewer than there are streams
	replies := make(chan silentReply, streams)
	c.fleet.onEventsOfAll(3, streams, func(*silentRun) { g.links.Break(emulate.LinkReset) })
	for range streams {
		go func() { replies <- g.send("/advice/1", firstTry) }()
	}
	whole := 0
	for range streams {
		if r := <-replies; r.isWhole("/advice/1") {
			whole++
		}
	}
	defer c.logOnFailure()
	if whole < streams {
		t.Errorf("%d of %d streams went on", whole, streams)
	}
	c.checkRetries("advice", c.sentTo("advice"))
}

// A plain request that all servers turn away for lack of room is refused, and not passed on: the servers are within
// reach, and another gateway would only ask them again.
func TestRequestThatServersTurnAwayIsNotPassedOn(t *testing.T) {
	c := newSilentCluster(t, 2, ampleRetries)
	c.fleet.add("desk", 0, 0)
	c.fleet.add("desk", 0, 0)
	c.settle()
	g := c.gateways[0]
	c.checkWhole("/check/0", g.send("/check/0", firstTry)) // a retry budget begins empty with the first request
	time.Sleep(contactTime)
	c.fleet.mu.Lock()
	c.fleet.refusals = 100
	c.fleet.mu.Unlock()
	for range 3 {
		if r := g.send("/check/1", firstTry); r.status != http.StatusServiceUnavailable {
			t.Errorf("not refused: %v", r)
		}
	}
	if strings.Contains(g.log.String(), "passed a request on") || len(g.mesh.Relays()) > 0 {
		t.Errorf("asked other gateways:\n%s", g.log.String())
	}
}
