package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// silenceSoakSeeds is the number of seeds that CI plays; soakSeedVar sets another number.
	silenceSoakSeeds = 4
	silenceSoakSteps = 40
	// soakPatience is how long a caller repeats a request.
	soakPatience = 20 * time.Second
	// graceSlack is the part of the grace period that a gateway needs for its own end.
	graceSlack = time.Second
)

// soakPaths are the paths of the soak's requests, and in how many runs at servers that did not crash
// an attempt of each may end.
var soakPaths = map[string]int{"/once/1": 1, "/advice/1": 2, "/single/1": 1, "/hold/1": 1, "/check/1": 2}

// silenceSoak is one seeded run: servers fall silent and go on, in series and overlapping, while
// servers crash, configurations change, and gateways stop and start or are cut off.
type silenceSoak struct {
	*silentCluster
	rng    *rand.Rand
	others sync.WaitGroup
	// guards protects each gateway from two changes at the same time. A gateway is changed only if it
	// is not being changed already, and restarting holds one place for each gateway that may be down.
	guards     []sync.Mutex
	restarting chan struct{}

	stopsMu sync.Mutex
	// stops holds the times at which each gateway was told to stop.
	stops map[string][]time.Time
	// cuts holds when the links of gateways changed.
	cuts []time.Time
}

// Guards against the incidents LOST and BUDGET in combinations of silences and other disturbances.
func TestSoakOfSilentServers(t *testing.T) {
	seeds := silenceSoakSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeedVar)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSilenceSoak(t, uint64(seed))
		})
	}
}

func runSilenceSoak(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	s := &silenceSoak{
		silentCluster: newSilentCluster(t, 3, retryLimits{ratio: 0.3, reserve: 30}), rng: rng,
		stops: make(map[string][]time.Time),
	}
	defer s.logOnFailure()
	s.guards = make([]sync.Mutex, len(s.gateways))
	s.restarting = make(chan struct{}, len(s.gateways)-1)
	s.fleet.addCopies(1 + rng.IntN(3))
	for range 1 + rng.IntN(3) {
		s.fleet.add("desk", 0, 0)
		s.fleet.add("review", 0, 4)
	}
	s.settle()
	for i := range silenceSoakSteps {
		s.step(i)
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
	s.others.Wait()
	s.awaitSpeech()
	s.settle()
	s.checkEnd()
}

// step starts two callers and, often, a disturbance.
func (s *silenceSoak) step(i int) {
	for range 2 {
		path := s.drawPath()
		first := s.rng.IntN(len(s.gateways))
		s.others.Go(func() { s.call(path, fmt.Sprint("body ", i), first) })
	}
	lasts := time.Duration(100+s.rng.IntN(2900)) * time.Millisecond
	kind := silence(1 + s.rng.IntN(3))
	server := s.fleet.servers[s.rng.IntN(len(s.fleet.servers))]
	n := s.rng.IntN(len(s.gateways))
	switch s.rng.IntN(16) {
	case 0, 1, 2:
		server.fallSilent(kind, lasts)
	case 3:
		s.silenceAll(kind, lasts, func(o *silentlyServer) bool { return o.service == server.service && o.from == server.from })
	case 4:
		s.silenceAll(kind, lasts, func(o *silentlyServer) bool { return o.service == server.service })
	case 5:
		server.crash(time.Duration(100+s.rng.IntN(900)) * time.Millisecond)
	case 6:
		s.publish([]silenceRouting{usualRouting, {timeout: 15 * time.Second, target: toAdvice}, {timeout: 20 * time.Second, target: toReview}}[s.rng.IntN(3)])
	case 7:
		s.others.Go(func() { s.restartGateway(n) })
	case 8:
		s.others.Go(func() { s.cutGateway(n) })
	}
}

func (s *silenceSoak) drawPath() string {
	var paths []string
	for p := range soakPaths {
		paths = append(paths, p)
	}
	slices.Sort(paths)
	return paths[s.rng.IntN(len(paths))]
}

func (s *silenceSoak) silenceAll(kind silence, lasts time.Duration, includes func(*silentlyServer) bool) {
	for _, server := range s.fleet.servers {
		if includes(server) {
			server.fallSilent(kind, lasts)
		}
	}
}

// restartGateway shuts a gateway down and starts it again at the same address. One gateway always
// runs.
func (s *silenceSoak) restartGateway(n int) {
	select {
	case s.restarting <- struct{}{}:
	default:
		return
	}
	defer func() { <-s.restarting }()
	if !s.guards[n].TryLock() {
		return
	}
	defer s.guards[n].Unlock()
	g := s.gateways[n]
	s.stopsMu.Lock()
	s.stops[g.name] = append(s.stops[g.name], time.Now())
	s.stopsMu.Unlock()
	g.stop()
	g.start()
}

// cutGateway cuts a gateway off from the control instance for a while.
func (s *silenceSoak) cutGateway(n int) {
	if !s.guards[n].TryLock() {
		return
	}
	defer s.guards[n].Unlock()
	s.gateways[n].stopWatching()
	time.Sleep(contactTime / 10)
	s.gateways[n].watch()
}

// call sends a request until it is served or may not be sent again. The caller keeps one connection
// to each gateway and uses it as long as it is open.
func (s *silenceSoak) call(path, body string, first int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	deadline := time.Now().Add(soakPatience)
	var tries []string
	last := 0
	for i := first; time.Now().Before(deadline); i++ {
		g := s.gateways[i%len(s.gateways)]
		var header []string
		if last > 0 {
			header = []string{"Last-Event-Id", strconv.Itoa(last)}
		}
		r := g.sendOver(transport, path, body, min(callerDeadline, time.Until(deadline)), header...)
		tries = append(tries, g.name+" "+r.String())
		last = s.checkEvents(r, last)
		if r.err == nil && r.status == http.StatusOK && (isCall(path) && r.body == "done" || last == silenceEvents) {
			s.checkRuns(r.id, soakPaths[path])
			return
		}
		s.checkFailure(g, path, r)
		if wasPromised := r.status == http.StatusServiceUnavailable; !wasPromised && soakPaths[path] == 1 && path != "/single/1" && len(s.fleet.runsOf(r.id)) > 0 {
			return // may not be repeated
		}
		s.awaitRetry(r)
	}
	s.t.Errorf("%s %q was never served:\n%s", path, body, strings.Join(tries, "\n"))
}

// awaitRetry waits as the Retry-After header asks.
func (s *silenceSoak) awaitRetry(r silentReply) {
	seconds, err := strconv.ParseFloat(r.retryAfter, 64)
	if err != nil { // the header is missing
		time.Sleep(downtime)
		return
	}
	time.Sleep(min(maxRetryWait, time.Duration(seconds*float64(time.Second))))
}

// checkEvents checks that the events of a reply follow the last one that the caller has, and returns
// the last one.
func (s *silenceSoak) checkEvents(r silentReply, last int) int {
	for _, id := range r.events {
		if id != last+1 {
			s.t.Errorf("event %d follows event %d: %v", id, last, r)
		}
		last = id
	}
	return last
}

// checkFailure checks that there is a reason why a request got no whole answer.
func (s *silenceSoak) checkFailure(g *silentGateway, path string, r silentReply) {
	runs := s.fleet.runsOf(r.id)
	s.checkRuns(r.id, soakPaths[path])
	isRefusal := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	hasCrashed := slices.ContainsFunc(runs, func(run silentRun) bool { return run.isCrashed })
	switch {
	case isRefusal && len(runs) > 0:
		s.t.Errorf("%s has run and was refused: %v%s", path, r, s.fleet.describe(r.id))
	case len(runs) == 0 && (isRefusal || r.status == 0):
	case r.took >= min(callerDeadline, soakPatience), r.status == http.StatusGatewayTimeout:
	case hasCrashed, s.namesCrashedServer(r), s.outlastedGrace(g, r), s.meetsCut(r):
	default:
		s.t.Errorf("%s at %s got no whole answer: %v%s", path, g.name, r, s.fleet.describe(r.id))
	}
}

// namesCrashedServer reports whether a server that has crashed is named as the reason, and the request
// did not reach any: its connection was still in the kernel's queue.
func (s *silenceSoak) namesCrashedServer(r silentReply) bool {
	id, ok := strings.CutPrefix(strings.TrimSpace(r.body), "no answer of ")
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return ok && s.fleet.crashed[id]
}

// outlastedGrace reports whether the request was cut at the end of the grace period of its gateway.
func (s *silenceSoak) outlastedGrace(g *silentGateway, r silentReply) bool {
	s.stopsMu.Lock()
	defer s.stopsMu.Unlock()
	ended := r.began.Add(r.took)
	return slices.ContainsFunc(s.stops[g.name], func(at time.Time) bool {
		return ended.After(at.Add(shutdownGrace-graceSlack)) && r.began.Before(at.Add(shutdownGrace))
	})
}

// meetsCut reports whether the links of a gateway changed during the request: those of the gateway that got it
// or of the one that it was passed on to.
func (s *silenceSoak) meetsCut(r silentReply) bool {
	s.stopsMu.Lock()
	defer s.stopsMu.Unlock()
	return slices.ContainsFunc(s.cuts, func(at time.Time) bool { return r.began.Before(at.Add(cutSlack)) && at.Before(r.began.Add(r.took)) })
}

// cutSlack is the time after a change of its links within which a gateway knows of it.
const cutSlack = time.Second

// checkEnd checks the state after all disturbances.
func (s *silenceSoak) checkEnd() {
	for _, service := range []string{"advice", "review", "desk"} {
		s.checkRetries(service, s.sentTo(service))
	}
	for _, g := range s.gateways {
		s.within(contactTime, "no server that never crashed counts as crashed at "+g.name, func() bool { return len(g.countedCrashes()) == 0 })
		s.within(contactTime, "no server counts as unresponsive at "+g.name, func() bool { return len(g.mesh.Snapshot().Unresponsive) == 0 })
		for _, e := range g.mesh.CrashEvidence().List(time.Now()) {
			for _, server := range e.Servers {
				if !s.fleet.crashed[server] {
					s.t.Errorf("%s suspects a content for a crash of %s, which did not crash", g.name, server)
				}
			}
		}
		for path := range soakPaths {
			s.checkWhole(path, g.send(path, callerDeadline))
		}
	}
}
