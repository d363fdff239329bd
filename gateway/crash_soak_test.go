package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// soakSeeds is the number of seeds that CI plays; BALSAMLB_SOAK_SEEDS sets another number.
	soakSeeds   = 4
	soakSeedVar = "BALSAMLB_SOAK_SEEDS"
	soakSteps   = 40
)

// soak is one seeded run: requests that crash servers and others that don't come at several gateways,
// while gateways and the control instance restart, gateways are cut off and servers crash by
// themselves, in series and at the same time.
type soak struct {
	*cluster
	rng     *rand.Rand
	path    string
	servers []*crashServer
	others  sync.WaitGroup
	// guards protects each gateway from a restart while a cut of it is changed.
	guards []sync.Mutex
}

// Guards against the incident BUDGET under restarts, cuts and crashes of other causes: no content
// crashes more servers than allowed, and each other request is served in the end.
func TestSoakOfCrashingRequests(t *testing.T) {
	seeds := soakSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeedVar)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, uint64(seed))
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	kind := crashKind{part: crashPart(rng.IntN(3)), afterFirstEvent: rng.IntN(2) == 0}
	s := &soak{cluster: newCluster(t, kind, 3), rng: rng, path: []string{"/hold/1", "/check/1", "/advice/1"}[rng.IntN(3)]}
	s.guards = make([]sync.Mutex, len(s.gateways))
	if s.path == "/advice/1" {
		addDraftServers(s.fleet)
	} else {
		s.fleet.addAll(8, "desk", 0, 0)
	}
	for _, server := range s.fleet.servers {
		s.servers = append(s.servers, server)
	}
	s.settle()
	for i := range soakSteps {
		s.step(i)
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
	}
	s.others.Wait()
	s.checkCrashes()
	if t.Failed() {
		t.Logf("path %s kind %+v", s.path, kind)
		for _, g := range s.gateways {
			t.Logf("%s: %s", g.name, g.log.String())
		}
	}
}

// step sends requests and, now and then, disturbs the system.
func (s *soak) step(i int) {
	g := s.gateways[s.rng.IntN(len(s.gateways))]
	crashing := fmt.Sprint("crash ", s.rng.IntN(2))
	s.others.Go(func() { g.send(s.path, crashing) })
	s.others.Go(func() { s.serve(fmt.Sprint("slow ", i), i) })
	n := s.rng.IntN(len(s.gateways))
	switch s.rng.IntN(16) {
	case 0:
		s.others.Go(func() { s.restartGateway(n) })
	case 1:
		s.others.Go(func() { s.cutGateway(n) })
	case 2:
		s.servers[s.rng.IntN(len(s.servers))].crash()
	case 3:
		crashRack(s.cluster, s.servers[:4])
	}
}

// serve sends a request until it is served.
func (s *soak) serve(body string, first int) {
	var answers []string
	for try := range maxTries {
		r := s.gateways[(first+try)%len(s.gateways)].send(s.path, body)
		if r.isServed() {
			return
		}
		answers = append(answers, fmt.Sprintf("%s %d %s %v", r.id, r.status, strings.TrimSpace(r.body), r.err))
		r.wait()
	}
	s.t.Errorf("%q was never served at %s:\n%s", body, s.path, strings.Join(answers, "\n"))
}

func (s *soak) restartGateway(n int) {
	s.guards[n].Lock()
	defer s.guards[n].Unlock()
	s.gateways[n].restart()
}

// cutGateway cuts a gateway off from the control instance for a while.
func (s *soak) cutGateway(n int) {
	s.guards[n].Lock()
	defer s.guards[n].Unlock()
	s.gateways[n].stopWatching()
	time.Sleep(contactTime / 10)
	s.gateways[n].watch()
}

// checkCrashes checks that the contents are held back in the end, at every gateway.
func (s *soak) checkCrashes() {
	s.settle()
	time.Sleep(contactTime)
	for i := range 2 {
		body := fmt.Sprint("crash ", i)
		if _, crashes := s.fleet.count(body); crashes >= toleratedCrash {
			s.checkBudget(s.path, body, 2*len(s.gateways))
		}
	}
}
