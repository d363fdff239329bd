package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// struck names the servers that fall silent.
type struck string

const (
	firstServer  struck = "the first server"
	middleServer struck = "the middle server"
	lastServer   struck = "the last server"
	firstRange   struck = "all first servers"
	middleRange  struck = "all middle servers"
	wholeService struck = "the whole service"
)

// servers returns the servers that are struck while a run is in progress.
func (s struck) servers(run *silentRun) []*silentlyServer {
	f := run.server.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch s {
	case firstServer:
		return []*silentlyServer{run.path[0]}
	case middleServer:
		return []*silentlyServer{run.path[len(run.path)/2]}
	case lastServer:
		return []*silentlyServer{run.path[len(run.path)-1]}
	}
	var out []*silentlyServer
	for _, server := range f.servers {
		isStruck := s == wholeService || s == firstRange && server.from == run.path[0].from || s == middleRange && server.from == run.path[len(run.path)/2].from
		if server.service == run.server.service && isStruck {
			out = append(out, server)
		}
	}
	return out
}

// silenceCase is a request whose servers fall silent while it runs.
type silenceCase struct {
	path   string
	kind   silence
	struck struck
	// after is the number of events after which the servers fall silent, for the time lasts.
	after  int
	lasts  time.Duration
	copies int
}

func (c silenceCase) String() string {
	return fmt.Sprintf("%s, %s of %s for %v after %d events, %d copies", c.path, c.kind, c.struck, c.lasts, c.after, c.copies)
}

const (
	// callerDeadline is more than the longest silence that ends, and the time to serve a request.
	callerDeadline = 8 * time.Second
	// shortDeadline is for requests whose servers never go on.
	shortDeadline = 2500 * time.Millisecond
)

// silences are how long servers are silent before they go on.
var silences = []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 3 * time.Second}

// start starts the cluster of a case. The servers fall silent once a request has run so far.
func (tc silenceCase) start(t *testing.T, gateways int) *silentCluster {
	c := newSilentCluster(t, gateways, ampleRetries)
	c.fleet.addCopies(tc.copies)
	for range tc.copies {
		c.fleet.add("desk", 0, 0)
	}
	c.settle()
	c.fleet.onEvents(tc.after, func(run *silentRun) {
		for _, s := range tc.struck.servers(run) {
			s.fallSilent(tc.kind, tc.lasts)
		}
	})
	return c
}

// checkCase sends a request and checks that it gets its whole answer with no more runs than allowed,
// and that the servers count as sound when they go on.
func checkCase(t *testing.T, tc silenceCase, maxAttempts int) {
	t.Helper()
	c := tc.start(t, 2)
	defer c.logOnFailure()
	r := c.gateways[0].send(tc.path, callerDeadline)
	c.checkWhole(tc.path, r)
	c.awaitSpeech()
	c.checkNewWork(tc.path)
	c.checkRuns(r.id, maxAttempts)
	c.checkNoSuspects()
}

// awaitSpeech waits until no server is silent.
func (c *silentCluster) awaitSpeech() {
	c.t.Helper()
	c.within(10*time.Second, "no server is silent", func() bool {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		return !slices.ContainsFunc(c.fleet.servers, func(s *silentlyServer) bool { return s.silence != speaking })
	})
}

// spreadTime is the time within which the other gateways know that a server goes on: ten of the
// reports that control instances send.
const spreadTime = time.Second

// checkNewWork checks that each gateway uses the servers again when they have gone on: the first one,
// whose request they have completed, at once, and the others within spreadTime.
func (c *silentCluster) checkNewWork(path string) {
	c.t.Helper()
	c.checkWhole(path, c.gateways[0].send(path, contactTime))
	for _, g := range c.gateways[1:] {
		deadline := time.Now().Add(spreadTime)
		r := g.send(path, contactTime)
		for !r.isWhole(path) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
			r = g.send(path, contactTime)
		}
		c.checkWhole(path, r)
	}
}

// Guards against the incident LOST: a stream that can't be resumed is broken off because its server
// is silent for a while.
func TestStreamThatCannotMoveOutlastsSilence(t *testing.T) {
	for _, copies := range []int{1, 2} {
		for _, after := range []int{0, 2} {
			for _, lasts := range silences {
				runCase(t, silenceCase{"/once/1", silentServer, firstServer, after, lasts, copies}, 1)
			}
			for _, kind := range []silence{silentRuns, silentLink} {
				runCase(t, silenceCase{"/once/1", kind, firstServer, after, 1200 * time.Millisecond, copies}, 1)
			}
		}
	}
	for _, s := range []struck{firstRange, wholeService} {
		runCase(t, silenceCase{"/once/1", silentServer, s, 2, 1200 * time.Millisecond, 2}, 1)
	}
}

// Guards against the incident LOST: a stream that may be resumed, but has no other server to go to, is
// broken off because its server is silent for a while.
func TestStreamOfOnlyCopyOutlastsSilence(t *testing.T) {
	for _, after := range []int{0, 2} {
		for _, lasts := range silences {
			runCase(t, silenceCase{"/advice/1", silentServer, firstServer, after, lasts, 1}, 2)
		}
		for _, kind := range []silence{silentRuns, silentLink} {
			runCase(t, silenceCase{"/advice/1", kind, firstServer, after, 1200 * time.Millisecond, 1}, 2)
		}
	}
	for _, s := range []struck{middleServer, lastServer, wholeService} {
		runCase(t, silenceCase{"/advice/1", silentServer, s, 2, 1200 * time.Millisecond, 1}, 2)
		runCase(t, silenceCase{"/once/1", silentServer, s, 2, 1200 * time.Millisecond, 1}, 1)
	}
	runCase(t, silenceCase{"/single/1", silentServer, firstServer, 2, 1200 * time.Millisecond, 2}, 1)
}

// Guards against the incidents LOST and BUDGET: a stream with other servers to go to is broken off, or
// runs more often than its route allows.
func TestStreamWithOtherCopiesOutlastsSilence(t *testing.T) {
	for _, after := range []int{0, 2} {
		for _, lasts := range silences {
			runCase(t, silenceCase{"/advice/1", silentServer, firstServer, after, lasts, 3}, 2)
		}
		for _, kind := range []silence{silentRuns, silentLink} {
			runCase(t, silenceCase{"/advice/1", kind, firstServer, after, 1200 * time.Millisecond, 3}, 2)
		}
	}
	for _, s := range []struck{middleServer, lastServer, firstRange, middleRange, wholeService} {
		for _, lasts := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
			runCase(t, silenceCase{"/advice/1", silentServer, s, 2, lasts, 3}, 2)
		}
		runCase(t, silenceCase{"/once/1", silentServer, s, 2, 1200 * time.Millisecond, 3}, 1)
	}
}

// Guards against calls that are ended, or run too often, because their server is silent for a while.
func TestCallOutlastsSilence(t *testing.T) {
	for path, maxAttempts := range map[string]int{"/hold/1": 1, "/check/1": 2} {
		for _, copies := range []int{1, 3} {
			for _, lasts := range silences {
				runCase(t, silenceCase{path, silentServer, firstServer, 0, lasts, copies}, maxAttempts)
			}
			runCase(t, silenceCase{path, silentLink, firstServer, 0, 1200 * time.Millisecond, copies}, maxAttempts)
			runCase(t, silenceCase{path, silentServer, wholeService, 0, 1200 * time.Millisecond, copies}, maxAttempts)
		}
	}
}

func runCase(t *testing.T, tc silenceCase, maxAttempts int) {
	t.Run(tc.String(), func(t *testing.T) {
		t.Parallel()
		checkCase(t, tc, maxAttempts)
	})
}

// Guards against the incident LOST: a request whose server never goes on, and which can't go
// elsewhere, ends before its deadline.
func TestSilentRequestThatCannotMoveWaitsUntilItsDeadline(t *testing.T) {
	cases := []silenceCase{
		{"/once/1", silentServer, firstServer, 0, forGood, 2},
		{"/once/1", silentServer, firstServer, 2, forGood, 2},
		{"/once/1", silentServer, wholeService, 2, forGood, 2},
		{"/once/1", silentRuns, firstServer, 2, forGood, 2},
		{"/advice/1", silentServer, firstServer, 0, forGood, 1},
		{"/advice/1", silentServer, firstServer, 2, forGood, 1},
		{"/advice/1", silentServer, wholeService, 2, forGood, 2},
		{"/single/1", silentServer, firstServer, 2, forGood, 2},
		{"/hold/1", silentServer, firstServer, 0, forGood, 2},
	}
	for _, tc := range cases {
		t.Run(tc.String(), func(t *testing.T) {
			t.Parallel()
			c := tc.start(t, 1)
			defer c.logOnFailure()
			r := c.gateways[0].send(tc.path, shortDeadline)
			if r.isWhole(tc.path) {
				t.Fatalf("the answer is whole: %v", r)
			}
			if r.took < shortDeadline {
				t.Errorf("ended before the deadline of %v: %v%s", shortDeadline, r, c.fleet.describe(r.id))
			}
			if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
				t.Errorf("has run, and was answered %d", r.status)
			}
			c.checkRuns(r.id, 2)
		})
	}
}

// Guards against a stream that waits for a server that never goes on although another could take it.
func TestStreamLeavesServerThatNeverGoesOn(t *testing.T) {
	for _, s := range []struck{firstServer, middleServer, lastServer} {
		for _, after := range []int{0, 2} {
			tc := silenceCase{"/advice/1", silentServer, s, after, forGood, 3}
			t.Run(tc.String(), func(t *testing.T) {
				t.Parallel()
				c := tc.start(t, 1)
				defer c.logOnFailure()
				r := c.gateways[0].send(tc.path, callerDeadline)
				c.checkWhole(tc.path, r)
				c.checkRuns(r.id, 2)
			})
		}
	}
}

// Guards against the reports of several gateways that end all streams on a silent server together,
// and against silent servers that count as crashed.
func TestReportsOfManyGatewaysEndNoStream(t *testing.T) {
	for _, tc := range []silenceCase{
		{"/once/1", silentServer, firstServer, 4, 1200 * time.Millisecond, 1},
		{"/once/1", silentLink, firstServer, 4, 1200 * time.Millisecond, 1},
		{"/advice/1", silentServer, firstServer, 4, 1200 * time.Millisecond, 1},
		{"/advice/1", silentServer, middleServer, 4, 1200 * time.Millisecond, 1},
		{"/advice/1", silentLink, firstServer, 4, 1200 * time.Millisecond, 3},
		{"/advice/1", silentServer, wholeService, 4, 1200 * time.Millisecond, 3},
		{"/once/1", silentServer, firstRange, 4, 2 * time.Second, 2},
	} {
		t.Run(tc.String(), func(t *testing.T) {
			t.Parallel()
			c := tc.start(t, 4)
			defer c.logOnFailure()
			c.fleet.onEventsOfAll(tc.after, 6*len(c.gateways), func(run *silentRun) {
				for _, s := range tc.struck.servers(run) {
					s.fallSilent(tc.kind, tc.lasts)
				}
			})
			replies := c.sendTogether(tc.path, 6)
			maxAttempts := 2
			if tc.path == "/once/1" {
				maxAttempts = 1
			}
			c.awaitSpeech()
			for _, r := range replies {
				c.checkWhole(tc.path, r)
				c.checkRuns(r.id, maxAttempts)
			}
			c.checkNewWork(tc.path)
			c.checkNoSuspects()
		})
	}
}

// sendTogether sends count requests to each gateway at the same time.
func (c *silentCluster) sendTogether(path string, count int) []silentReply {
	replies := make([]silentReply, count*len(c.gateways))
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() { replies[i] = c.gateways[i%len(c.gateways)].send(path, callerDeadline) })
	}
	group.Wait()
	return replies
}

// Guards against servers that count as crashed, and streams that end, after several silences.
func TestStreamOutlastsRepeatedSilences(t *testing.T) {
	for _, path := range []string{"/once/1", "/advice/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newSilentCluster(t, 2, ampleRetries)
			defer c.logOnFailure()
			c.fleet.addCopies(1)
			c.settle()
			c.fleet.mu.Lock()
			c.fleet.onProgress = func(run *silentRun) {
				c.fleet.mu.Lock()
				isDue := run.sent%2 == 1
				c.fleet.mu.Unlock()
				if isDue {
					run.server.fallSilent(silentServer, 900*time.Millisecond)
				}
			}
			c.fleet.mu.Unlock()
			r := c.gateways[0].send(path, callerDeadline)
			c.checkWhole(path, r)
			c.checkRuns(r.id, 1)
			c.awaitSpeech()
			c.checkNoSuspects()
		})
	}
}

// Guards against a silent service whose requests are sent again and again, by gateways and callers.
func TestSilentServiceGetsFewRetries(t *testing.T) {
	for _, path := range []string{"/advice/1", "/check/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			limits := retryLimits{ratio: 0.1, reserve: 6}
			c := newSilentCluster(t, 3, limits)
			defer c.logOnFailure()
			c.fleet.addCopies(3)
			c.fleet.add("desk", 0, 0)
			c.fleet.add("desk", 0, 0)
			c.settle()
			service := "advice"
			if isCall(path) {
				service = "desk"
			}
			var callers sync.WaitGroup
			for i := range 40 {
				if i == 10 {
					for _, s := range wholeService.servers(&silentRun{server: c.serverOf(service), path: []*silentlyServer{c.serverOf(service)}}) {
						s.fallSilent(silentServer, 1200*time.Millisecond)
					}
				}
				callers.Go(func() { c.serve(path, i) })
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			runs, requests := c.fleet.arrivals(service)
			sent := int(c.requests.Load())
			if retries := float64(runs - requests); retries > limits.ratio*float64(sent)+limits.reserve {
				t.Errorf("%v retries of %d requests; %v x requests + %v are allowed", retries, sent, limits.ratio, limits.reserve)
			}
			c.checkNoSuspects()
		})
	}
}

func (c *silentCluster) serverOf(service string) *silentlyServer {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.fleet.servers[slices.IndexFunc(c.fleet.servers, func(s *silentlyServer) bool { return s.service == service })]
}

// serve sends a request, at a gateway and then at the others in turn, until it is served or its
// deadline has passed. A stream goes on after the last event that the caller has.
func (c *silentCluster) serve(path string, first int) {
	deadline := time.Now().Add(callerDeadline)
	var tries []silentReply
	last := 0
	for i := first; time.Now().Before(deadline); i++ {
		var header []string
		if last > 0 {
			header = []string{"Last-Event-Id", fmt.Sprint(last)}
		}
		r := c.gateways[i%len(c.gateways)].send(path, time.Until(deadline), header...)
		tries = append(tries, r)
		c.checkRuns(r.id, 2)
		for _, id := range r.events {
			if id != last+1 {
				c.t.Errorf("event %d follows event %d: %v", id, last, tries)
			}
			last = id
		}
		if r.isWhole(path) || r.err == nil && r.status == http.StatusOK && last == silenceEvents {
			return
		}
		time.Sleep(downtime)
	}
	c.t.Errorf("never served: %v", tries)
}

// Guards against the incident LOST: a running stream is ended by a new configuration beside the
// silence of its server.
func TestStreamOutlastsSilenceBesideNewConfiguration(t *testing.T) {
	changes := map[string]func(c *silentCluster, run *silentRun){
		"weights": func(c *silentCluster, _ *silentRun) {
			c.publish(silenceRouting{timeout: 20 * time.Second, target: toReview})
		},
		"timeout": func(c *silentCluster, _ *silentRun) {
			c.publish(silenceRouting{timeout: 500 * time.Millisecond, target: toAdvice})
		},
		"route removed": func(c *silentCluster, _ *silentRun) {
			c.publish(silenceRouting{timeout: 20 * time.Second, target: toAdvice, withoutStreams: true})
		},
		"the same again": func(c *silentCluster, _ *silentRun) { c.publish(usualRouting) },
		"copy removed":   func(_ *silentCluster, run *silentRun) { run.server.drain() },
	}
	for name, change := range changes {
		for _, path := range []string{"/once/1", "/advice/1"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				c := newSilentCluster(t, 2, ampleRetries)
				defer c.logOnFailure()
				c.fleet.addCopies(1)
				c.fleet.add("review", 0, 4)
				c.settle()
				changed := make(chan struct{})
				c.fleet.onEvents(2, func(run *silentRun) {
					run.server.fallSilent(silentServer, 1200*time.Millisecond)
					time.AfterFunc(200*time.Millisecond, func() {
						defer close(changed)
						change(c, run)
					})
				})
				r := c.gateways[0].send(path, callerDeadline)
				<-changed
				c.checkWhole(path, r)
				c.checkRuns(r.id, 1)
				c.awaitSpeech()
				c.checkNoSuspects()
			})
		}
	}
}

// Guards against the incident LOST: a gateway that is shut down ends a request whose server goes on
// within the grace period.
func TestRequestOutlastsSilenceBesideShutdown(t *testing.T) {
	for _, path := range []string{"/once/1", "/advice/1", "/hold/1", "/check/1"} {
		for _, lasts := range []time.Duration{700 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
			tc := silenceCase{path, silentServer, firstServer, 2, lasts, 1}
			if isCall(path) {
				tc.after = 0
			}
			t.Run(tc.String(), func(t *testing.T) {
				t.Parallel()
				c := newSilentCluster(t, 2, ampleRetries)
				defer c.logOnFailure()
				c.fleet.addCopies(1)
				c.fleet.add("desk", 0, 0)
				c.settle()
				c.fleet.onEvents(tc.after, func(run *silentRun) {
					run.server.fallSilent(tc.kind, tc.lasts)
					time.AfterFunc(100*time.Millisecond, c.gateways[0].shutDown)
				})
				r := c.gateways[0].send(path, callerDeadline)
				c.checkWhole(path, r)
				c.checkRuns(r.id, 1)
				<-c.gateways[0].done
			})
		}
	}
}

// Guards against the incident LOST: reloaded settings, which may change the list of control instances,
// end a stream whose server is silent.
func TestStreamOutlastsSilenceBesideReload(t *testing.T) {
	t.Parallel()
	c := newSilentCluster(t, 1, ampleRetries)
	defer c.logOnFailure()
	c.fleet.addCopies(1)
	c.settle()
	c.fleet.onEvents(2, func(run *silentRun) {
		run.server.fallSilent(silentServer, 1200*time.Millisecond)
		c.gateways[0].mesh.SetSeeds([]string{c.address, c.fleet.ip + ":1"})
	})
	r := c.gateways[0].send("/once/1", callerDeadline)
	c.checkWhole("/once/1", r)
	c.checkRuns(r.id, 1)
}

// Guards against a fix that waits for servers that are known to be gone: a refused connection, a reset
// or a new incarnation ends an attempt at once.
func TestCrashOfSilentServerEndsAttemptAtOnce(t *testing.T) {
	for _, back := range []time.Duration{100 * time.Millisecond, forGood} {
		t.Run(fmt.Sprint("back after ", back), func(t *testing.T) {
			t.Parallel()
			c := newSilentCluster(t, 2, ampleRetries)
			defer c.logOnFailure()
			c.fleet.addCopies(2)
			c.settle()
			c.fleet.onEvents(2, func(run *silentRun) {
				run.server.fallSilent(silentServer, forGood)
				time.AfterFunc(600*time.Millisecond, func() { run.server.crash(back) })
			})
			r := c.gateways[0].send("/advice/1", callerDeadline)
			c.checkWhole("/advice/1", r)
			c.checkRuns(r.id, 2)
		})
	}
}

// Guards against a crash that is taken back although it is certain: a draft goes on through the server
// that has replaced the crashed one at its address.
func TestReplacedServerStaysCrashed(t *testing.T) {
	t.Parallel()
	c := newSilentCluster(t, 1, ampleRetries)
	defer c.logOnFailure()
	copies := c.fleet.addCopies(1)
	c.settle()
	first, middle := copies[0][0], copies[0][1]
	first.fallSilent(silentServer, 1500*time.Millisecond)
	time.AfterFunc(300*time.Millisecond, func() { middle.crash(100 * time.Millisecond) })
	c.checkWhole("/advice/1", c.gateways[0].send("/advice/1", callerDeadline))
	g := c.gateways[0]
	c.within(contactTime, "the crash is known", func() bool { return strings.Contains(g.log.String(), `was replaced by`) })
	if strings.Contains(g.log.String(), `has not crashed" "server"="s2"`) {
		t.Error("the crash of s2, which was replaced, was taken back")
	}
}
