package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The users' rule: later than contactTime after a request has crashed its third server, it may
// reach servers allowedRetries times more.
const (
	contactTime    = 3 * time.Second
	toleratedCrash = 3
	allowedRetries = 3
)

// crashKinds are the ways in which a request crashes servers.
var crashKinds = map[string]crashKind{
	"first part, before the first event": {part: firstPart},
	"first part, after the first event":  {part: firstPart, afterFirstEvent: true},
	"middle part":                        {part: middlePart},
	"last part, after the first event":   {part: lastPart, afterFirstEvent: true},
	"first part, silent":                 {part: firstPart, silent: true},
	"middle part, silent":                {part: middlePart, silent: true},
	"first part, never returns":          {part: firstPart, stays: true},
	"last part, silent, never returns":   {part: lastPart, silent: true, stays: true},
}

// addDraftServers adds servers for paths of three parts.
func addDraftServers(f *crashFleet) {
	f.addAll(5, "advice", 0, 2)
	f.addAll(5, "advice", 2, 3)
	f.addAll(5, "advice", 3, 4)
}

// crashUntilThird sends the content to the gateways in turn until it has crashed three servers.
func (c *cluster) crashUntilThird(path, body string) {
	c.t.Helper()
	for i := 0; ; i++ {
		if _, crashes := c.fleet.count(body); crashes >= toleratedCrash {
			return
		}
		c.gateways[i%len(c.gateways)].send(path, body).wait()
		if i > 50 {
			c.t.Fatal("the content does not crash servers")
		}
	}
}

// checkBudget sends the content more often, and checks how often it reaches servers.
func (c *cluster) checkBudget(path, body string, sends int) {
	c.t.Helper()
	time.Sleep(contactTime)
	before, _ := c.fleet.count(body)
	for i := range sends {
		r := c.gateways[i%len(c.gateways)].send(path, body)
		if r.isServed() {
			c.t.Fatal("the content was served")
		}
	}
	after, crashes := c.fleet.count(body)
	if after-before > allowedRetries {
		c.t.Errorf("%q reached servers %d times after its third crash and %v, %d crashes in all; at most %d are allowed", body, after-before, contactTime, crashes, allowedRetries)
	}
}

// Guards against the incident BUDGET: a draft that crashes each server that runs it is sent again
// at any gateway, and each send crashes further servers.
func TestCrashingDraftIsHeldBackAtEveryGateway(t *testing.T) {
	for name, kind := range crashKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, kind, 3)
			addDraftServers(c.fleet)
			c.settle()
			c.crashUntilThird("/advice/1", "crash 1")
			c.checkBudget("/advice/1", "crash 1", 12)
		})
	}
}

// Guards against the incident BUDGET for plain services, idempotent and not.
func TestCrashingCallIsHeldBackAtEveryGateway(t *testing.T) {
	for _, path := range []string{"/check/1", "/hold/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, crashKind{}, 3)
			c.fleet.addAll(8, "desk", 0, 0)
			c.settle()
			c.crashUntilThird(path, "crash 1")
			c.checkBudget(path, "crash 1", 12)
		})
	}
}

// Guards against a draft that is rerouted past each server that it crashes: one send must not crash
// servers without a limit.
func TestOneSendOfCrashingDraftCrashesFewServers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, crashKind{part: middlePart, stays: true}, 1)
	c.fleet.addAll(2, "advice", 0, 2)
	c.fleet.addAll(16, "advice", 2, 3)
	c.fleet.addAll(2, "advice", 3, 4)
	c.settle()
	c.gateways[0].send("/advice/1", "crash 1")
	_, crashes := c.fleet.count("crash 1")
	is.New(t).True(crashes <= toleratedCrash+allowedRetries)
}

// Guards against copies of the same content that arrive together at many gateways.
func TestCrashingContentIsHeldBackWhenSentInBatches(t *testing.T) {
	t.Parallel()
	c := newCluster(t, crashKind{}, 7)
	c.fleet.addAll(20, "desk", 0, 0)
	c.settle()
	batch := func() {
		var group sync.WaitGroup
		for _, g := range c.gateways {
			group.Go(func() { g.send("/check/1", "crash 1") })
		}
		group.Wait()
	}
	// The requests of a batch that come after its first crashes are held back, so one batch may crash
	// fewer servers than are tolerated.
	for _, crashes := c.fleet.count("crash 1"); crashes < toleratedCrash; _, crashes = c.fleet.count("crash 1") {
		batch()
		time.Sleep(contactTime)
	}
	before, _ := c.fleet.count("crash 1")
	for range 5 {
		batch()
	}
	after, _ := c.fleet.count("crash 1")
	is.New(t).True(after-before <= allowedRetries)
}

// Guards against knowledge that only one process holds: the gateways and the control instance
// restart in turn, and a new gateway joins.
func TestCrashingContentIsHeldBackAfterRestarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, crashKind{}, 2)
	c.fleet.addAll(8, "desk", 0, 0)
	c.settle()
	c.crashUntilThird("/check/1", "crash 1")
	time.Sleep(contactTime)
	before, _ := c.fleet.count("crash 1")
	sendToAll := func() {
		c.settle()
		time.Sleep(contactTime) // until then a restarted process is not bound by the rule
		for _, g := range c.gateways {
			g.send("/check/1", "crash 1")
		}
	}
	for _, g := range c.gateways {
		g.restart()
		sendToAll()
	}
	c.addGateway()
	sendToAll()
	c.restartControl(nil)
	c.gateways[0].restart()
	sendToAll()
	saved, err := c.controlMesh().EncodeServers()
	is.New(t).NoErr(err)
	for _, g := range c.gateways {
		g.stop()
	}
	c.restartControl(saved)
	for _, g := range c.gateways {
		g.start()
	}
	sendToAll()
	after, _ := c.fleet.count("crash 1")
	if after-before > allowedRetries {
		t.Errorf("reached servers %d times after restarts", after-before)
	}
}

// A gateway that is cut off from the control instances limits the content by its own evidence, and
// shares it when the cut heals.
func TestCutOffGatewayLimitsCrashesAndSharesThemLater(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, crashKind{}, 3)
	c.fleet.addAll(8, "desk", 0, 0)
	c.settle()
	cut := c.gateways[0]
	cut.stopWatching()
	for crashes := 0; crashes < toleratedCrash; _, crashes = c.fleet.count("crash 1") {
		cut.send("/check/1", "crash 1").wait()
	}
	for range 6 {
		cut.send("/check/1", "crash 1")
	}
	sends, crashes := c.fleet.count("crash 1")
	is.True(crashes >= toleratedCrash)
	is.True(sends <= toleratedCrash+allowedRetries)
	cut.watch()
	time.Sleep(contactTime)
	for i := range 12 {
		c.gateways[i%3].send("/check/1", "crash 1")
	}
	after, _ := c.fleet.count("crash 1")
	is.True(after <= toleratedCrash+allowedRetries)
}

// Guards against blaming requests that only share servers with a crashing one: they are served in the
// end, also if they were on the same server three times in a row.
func TestRequestsBesideCrashingOneAreServed(t *testing.T) {
	for _, test := range []struct {
		path   string
		layers int
		others int
	}{{"/hold/1", 0, 20}, {"/check/1", 0, 6}, {"/advice/1", 4, 6}, {"/once/1", 4, 6}} {
		t.Run(test.path, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, crashKind{afterFirstEvent: true}, 2)
			service := "desk"
			if test.layers > 0 {
				service = "advice"
			}
			c.fleet.addAll(1, service, 0, test.layers)
			c.settle()
			served := make([]bool, test.others)
			for range 3 {
				c.crashBesideOthers(test.path, served)
			}
			c.fleet.addAll(2, service, 0, test.layers)
			c.settle()
			c.sendUntilServed(test.path, served)
			if _, crashes := c.fleet.count("crash 1"); crashes > toleratedCrash+allowedRetries {
				t.Errorf("%d servers crashed", crashes)
			}
		})
	}
}

// crashBesideOthers sends the requests that are not served yet, and while they run the crashing one.
func (c *cluster) crashBesideOthers(path string, served []bool) {
	var group sync.WaitGroup
	for i := range served {
		if served[i] {
			continue
		}
		group.Go(func() { served[i] = c.gateways[i%2].send(path, fmt.Sprint("slow ", i)).isServed() })
	}
	time.Sleep(10 * step)
	c.gateways[0].send(path, "crash 1")
	group.Wait()
	c.settle()
}

// sendUntilServed sends each request again until it is served, as its caller is told, while the
// crashing one comes again, too.
func (c *cluster) sendUntilServed(path string, served []bool) {
	c.t.Helper()
	var others, crashing sync.WaitGroup
	done := make(chan struct{})
	crashing.Go(func() {
		for i := 0; ; i++ {
			c.gateways[i%2].send(path, "crash 1")
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	for i := range served {
		others.Go(func() {
			for try := 0; !served[i] && try < maxTries; try++ {
				r := c.gateways[(i+try)%2].send(path, fmt.Sprint("slow ", i))
				served[i] = r.isServed()
				if !served[i] {
					r.wait()
				}
			}
			if !served[i] {
				c.t.Errorf("request %d was never served", i)
			}
		})
	}
	others.Wait()
	close(done)
	crashing.Wait()
	if c.t.Failed() {
		for _, g := range c.gateways {
			c.t.Logf("%s: %s", g.name, g.log.String())
		}
	}
}

// maxTries bounds how often a request is sent until it is served.
const maxTries = 40

// A request that meets several crashes of other causes is served.
func TestRequestThatMeetsCrashesOfOtherCausesIsServed(t *testing.T) {
	for name, causes := range map[string][]func(c *cluster, servers []*crashServer){
		"rack, data centre, release": {crashRack, crashRack, releaseKills},
		"freeze, rack, rack":         {freezeServer, crashRack, crashRack},
		"release, release, release":  {releaseKills, releaseKills, releaseKills},
		"freeze, freeze, freeze":     {freezeServer, freezeServer, freezeServer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, crashKind{}, 2)
			servers := c.fleet.addAll(6, "desk", 0, 0)
			c.settle()
			for _, cause := range causes {
				var group sync.WaitGroup
				group.Go(func() { c.gateways[0].send("/hold/1", "slow 1") })
				time.Sleep(10 * step)
				cause(c, servers)
				group.Wait()
				c.settle()
			}
			for _, g := range c.gateways {
				r := g.send("/hold/1", "slow 1")
				if !r.isServed() {
					t.Errorf("%s: status %d: %s\n%s", g.name, r.status, r.body, g.log.String())
				}
			}
		})
	}
}

// crashRack crashes all servers at once.
func crashRack(_ *cluster, servers []*crashServer) {
	for _, s := range servers {
		s.crash()
	}
}

// releaseKills replaces the servers one after the other by another release of their software, without
// draining them.
func releaseKills(c *cluster, servers []*crashServer) {
	for _, s := range servers {
		c.fleet.mu.Lock()
		s.release += "+1"
		c.fleet.mu.Unlock()
		s.crash()
		c.settle()
	}
}

// freezeServer freezes all servers until they are silent, and thaws them.
func freezeServer(_ *cluster, servers []*crashServer) {
	for _, s := range servers {
		s.freeze(2 * silentAfter)
	}
	time.Sleep(3 * silentAfter)
}

// Only the same content in the same workspace, service and path is held back, whatever headers it
// comes with.
func TestContentIsIdentifiedByWhatServersSee(t *testing.T) {
	t.Parallel()
	c := newCluster(t, crashKind{}, 1)
	c.fleet.addAll(8, "desk", 0, 0)
	c.fleet.addAll(8, "store", 0, 0)
	c.settle()
	c.crashUntilThird("/check/1", "crash 1")
	time.Sleep(contactTime)
	g := c.gateways[0]
	for _, test := range []struct {
		name   string
		path   string
		body   string
		header []string
		held   bool
	}{
		{"the same", "/check/1", "crash 1", nil, true},
		{"another header", "/check/1", "crash 1", []string{"X-Attempt", "2", "Balsamlb-Deadline-Ms", "900"}, true},
		{"another workspace", "/check/1", "crash 1", []string{"Api-Key", "key-2"}, false},
		{"another path", "/check/2", "crash 1", nil, false},
		{"another service", "/shelf/1", "crash 1", nil, false},
		{"another body", "/check/1", "crash 2", nil, false},
	} {
		before, _ := c.fleet.count(test.body)
		g.send(test.path, test.body, test.header...)
		after, _ := c.fleet.count(test.body)
		if held := after == before; held != test.held {
			t.Errorf("%s: held back: %t", test.name, held)
		}
		c.settle()
	}
}

// Callers of a request that is held back are told at once that it was not run, and an operator finds
// the reason by the request's ID.
func TestHeldBackRequestIsAnsweredTruthfully(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, crashKind{}, 1)
	c.fleet.addAll(8, "desk", 0, 0)
	c.settle()
	g := c.gateways[0]
	r := g.send("/hold/1", "crash 1")
	is.Equal(r.status, http.StatusBadGateway) // it has run
	c.settle()
	c.crashUntilThird("/hold/1", "crash 1")
	time.Sleep(contactTime)
	r = g.send("/hold/1", "crash 1")
	is.Equal(r.status, http.StatusServiceUnavailable) // this send has not run
	is.True(r.retryAfter != "")
}

// Guards against a stream that goes on and on past the servers that it crashes: each gives it one more
// event, and none counts as an attempt.
func TestOneSendOfCrashingStreamCrashesNoMoreServersThanAttempts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, crashKind{afterFirstEvent: true}, 1)
	c.fleet.addAll(8, "advice", 0, 4)
	c.settle()
	for i := range 6 { // each adds a retry to the budget
		c.gateways[0].send("/advice/1", fmt.Sprint("sound ", i))
	}
	c.gateways[0].send("/advice/1", "crash 1")
	_, crashes := c.fleet.count("crash 1")
	is.New(t).Equal(crashes, 2) // MaxAttempts of the route
}
