package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// oneGateway is a cluster of one gateway and several copies of a model. Each request adds ten retries to
// the budget, which begins empty.
func oneGateway(t *testing.T, copies int) *silentCluster {
	c := newSilentCluster(t, 1, retryLimits{ratio: 10, reserve: 1000})
	c.fleet.addCopies(copies)
	c.settle()
	return c
}

// onFirst calls do once for each server that runs a request, with the number of servers before it, when
// its first run there has sent that many events.
func (f *silenceFleet) onFirst(events int, do func(servers int, run *silentRun)) {
	seen := make(map[*silentlyServer]bool)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onProgress = func(run *silentRun) {
		f.mu.Lock()
		n, isDue := len(seen), run.sent >= events && !seen[run.server]
		if isDue {
			seen[run.server] = true
		}
		f.mu.Unlock()
		if isDue {
			do(n, run)
		}
	}
}

// Guards against a further attempt that was refused and still takes the place of another one: the
// stream waits for its silent server until its deadline although a third server could take it.
func TestSilentStreamGoesToThirdServerAfterRefusal(t *testing.T) {
	t.Parallel()
	c := oneGateway(t, 3)
	defer c.logOnFailure()
	c.fleet.onEvents(2, func(run *silentRun) {
		run.server.fallSilent(silentServer, forGood)
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		c.fleet.refusals = 1
	})
	r := c.gateways[0].send("/advice/1", callerDeadline)
	c.checkWhole("/advice/1", r)
	c.checkRuns(r.id, 2)
}

// Guards against answers that are discarded because another attempt has run: both servers answer with
// the same status, and the caller gets 502.
func TestAnswerOfSilentServerIsForwarded(t *testing.T) {
	t.Parallel()
	c := oneGateway(t, 2)
	defer c.logOnFailure()
	c.fleet.mu.Lock()
	c.fleet.status = http.StatusUnprocessableEntity
	c.fleet.mu.Unlock()
	c.fleet.onEvents(0, func(run *silentRun) { run.server.fallSilent(silentServer, 1500*time.Millisecond) })
	r := c.gateways[0].send("/advice/1", callerDeadline)
	if r.status != http.StatusUnprocessableEntity {
		t.Errorf("the servers answered 422, the caller got: %v%s", r, c.fleet.describe(r.id))
	}
	c.checkRuns(r.id, 2)
}

// Guards against a begun stream that is broken off because the only server left counts as
// unresponsive: that server is silent for a while and goes on well before the stream's deadline.
func TestBegunStreamWaitsForUnresponsiveServer(t *testing.T) {
	t.Parallel()
	c := oneGateway(t, 2)
	defer c.logOnFailure()
	g := c.gateways[0]
	began := make(chan struct{})
	c.fleet.onFirst(2, func(servers int, run *silentRun) {
		if servers == 0 {
			run.server.fallSilent(silentServer, 4*time.Second)
			close(began)
			return
		}
		run.server.crash(forGood)
	})
	var group sync.WaitGroup
	group.Go(func() { c.checkWhole("/once/1", g.send("/once/1", callerDeadline)) })
	<-began
	c.within(contactTime, "the silent server counts as unresponsive", func() bool { return strings.Contains(g.log.String(), "is unresponsive") })
	c.checkWhole("/advice/1", g.send("/advice/1", callerDeadline))
	group.Wait()
}

// Guards against a crash that counts as an attempt because it is confirmed only after the count: a stream
// that was sent to two servers for a silence is broken off when one of them crashes later.
func TestStreamAfterSilenceSurvivesCrash(t *testing.T) {
	t.Parallel()
	c := oneGateway(t, 3)
	defer c.logOnFailure()
	c.fleet.onFirst(2, func(servers int, run *silentRun) {
		switch servers {
		case 0:
			run.server.fallSilent(silentServer, 1200*time.Millisecond)
		case 1:
			time.AfterFunc(3*step, func() { run.server.crash(forGood) })
		}
	})
	r := c.gateways[0].send("/advice/1", callerDeadline)
	c.checkWhole("/advice/1", r)
	c.checkRuns(r.id, 2)
}

// Guards against a stream whose silence uses up the wait for a server: its server crashes after a
// silence and is back soon, but the stream is broken off at once.
func TestStreamThatWasSilentWaitsForRestartedServer(t *testing.T) {
	for _, silent := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		t.Run(silent.String(), func(t *testing.T) {
			t.Parallel()
			c := oneGateway(t, 1)
			defer c.logOnFailure()
			c.fleet.onEvents(2, func(run *silentRun) {
				run.server.fallSilent(silentServer, forGood)
				time.AfterFunc(silent, func() { run.server.crash(downtime) })
			})
			c.checkWhole("/advice/1", c.gateways[0].send("/advice/1", callerDeadline))
		})
	}
}

// Guards against new requests that are refused for seconds after a later server of the only path has
// gone on, because nobody takes back that it is unresponsive.
func TestLaterServerIsUsedWhenItGoesOn(t *testing.T) {
	t.Parallel()
	c := oneGateway(t, 1)
	defer c.logOnFailure()
	g := c.gateways[0]
	c.fleet.onEvents(2, func(run *silentRun) { run.path[1].fallSilent(silentServer, 1200*time.Millisecond) })
	// The caller has left before the server goes on, so no draft shows that it does.
	_ = g.send("/once/1", 600*time.Millisecond)
	c.awaitSpeech()
	deadline := time.Now().Add(spreadTime)
	r := g.send("/once/1", contactTime)
	for !r.isWhole("/once/1") && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
		r = g.send("/once/1", contactTime)
	}
	c.checkWhole("/once/1", r)
}

// Guards against a call that is refused because its only server accepts no connection for two seconds,
// although its deadline is later.
func TestCallToServerWithSilentLinkIsServed(t *testing.T) {
	for _, path := range []string{"/check/1", "/hold/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newSilentCluster(t, 1, ampleRetries)
			defer c.logOnFailure()
			s := c.fleet.add("desk", 0, 0)
			c.settle()
			s.fallSilent(silentLink, 2*time.Second)
			c.checkWhole(path, c.gateways[0].send(path, callerDeadline))
		})
	}
}

// slowCaller takes nothing until resumed is closed.
type slowCaller struct {
	*httptest.ResponseRecorder
	resumed chan struct{}
}

func (w slowCaller) Write(p []byte) (int, error) {
	<-w.resumed
	return w.ResponseRecorder.Write(p)
}

// serveSlowCaller serves the request "slow", and returns a channel that receives what the handler
// panicked with, or nil.
func (g *silentGateway) serveSlowCaller(w slowCaller) <-chan any {
	r := httptest.NewRequest(http.MethodPost, "http://shop/once/1", strings.NewReader("body"))
	for name, value := range map[string]string{"Balsamlb-Request-Id": "slow", "Balsamlb-Deadline-Ms": "8000", "Api-Key": "key-1"} {
		r.Header.Set(name, value)
	}
	ended := make(chan any, 1)
	go func() {
		defer func() { ended <- recover() }()
		g.gateway.ServeHTTP(w, r)
	}()
	return ended
}

// awaitAnswerOf waits until the whole answer to a request was sent and has had time to arrive.
func (f *silenceFleet) awaitAnswerOf(c *silentCluster, request string) {
	c.t.Helper()
	c.within(contactTime, "the server has sent its answer", func() bool {
		runs := f.runsOf(request)
		return len(runs) == 1 && runs[0].isComplete
	})
	time.Sleep(100 * time.Millisecond)
}

// Guards against a stream that is broken off because its server has crashed, although the server had
// sent the whole answer before.
func TestWholeAnswerOutlivesCrashOfItsServer(t *testing.T) {
	t.Parallel()
	c := oneGateway(t, 1)
	defer c.logOnFailure()
	g := c.gateways[0]
	w := slowCaller{httptest.NewRecorder(), make(chan struct{})}
	ended := g.serveSlowCaller(w)
	c.fleet.awaitAnswerOf(c, "slow")
	c.fleet.runsOf("slow")[0].server.crash(downtime)
	c.within(contactTime, "the crash is known", func() bool { return strings.Contains(g.log.String(), "a backend server has crashed") })
	time.Sleep(200 * time.Millisecond) // the crash has been acted upon
	close(w.resumed)
	if panicked := <-ended; panicked != nil {
		t.Errorf("the stream was broken off: %v", panicked)
	}
	if last := fmt.Sprintf("id: %d\n", silenceEvents); !strings.Contains(w.Body.String(), last) {
		t.Errorf("the caller got only %q", w.Body.String())
	}
}

// Guards against a crash that is taken back because of an event that the server had sent before: the
// caller was slow, not the server.
func TestEventSentBeforeCrashTakesNoCrashBack(t *testing.T) {
	t.Parallel()
	c, w := oneGateway(t, 1), slowCaller{httptest.NewRecorder(), make(chan struct{})}
	defer c.logOnFailure()
	g := c.gateways[0]
	ended := g.serveSlowCaller(w)
	c.fleet.awaitAnswerOf(c, "slow")
	c.fleet.runsOf("slow")[0].server.crash(downtime)
	c.within(contactTime, "the crash is known", func() bool { return strings.Contains(g.log.String(), "was replaced by") })
	close(w.resumed)
	<-ended
	if strings.Contains(g.log.String(), "a backend server has not crashed") {
		t.Error("the crash of a server that was replaced was taken back")
	}
}
