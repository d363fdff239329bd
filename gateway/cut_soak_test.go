package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
)

const (
	// cutSoakSeeds is the number of seeds that CI plays; soakSeedVar sets another number.
	cutSoakSeeds = 3
	cutSoakSteps = 40
)

// Guards against the incident RECOVER in combinations: the links of gateways break in every form and heal, in
// series and overlapping, while gateways restart or lose the control instance, servers crash or fall silent, and
// configurations change. What has run is never refused or run again, and everything is served in the end.
func TestSoakOfCutOffGateways(t *testing.T) {
	seeds := cutSoakSeeds
	if n, err := strconv.Atoi(os.Getenv(soakSeedVar)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			runCutSoak(t, uint64(seed))
		})
	}
}

func runCutSoak(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 31))
	s := &silenceSoak{
		silentCluster: newSilentCluster(t, 3+rng.IntN(4), retryLimits{ratio: 0.3, reserve: 60}), rng: rng,
		stops: make(map[string][]time.Time),
	}
	defer s.logOnFailure()
	s.guards = make([]sync.Mutex, len(s.gateways))
	s.restarting = make(chan struct{}, len(s.gateways)-1)
	s.fleet.addCopies(2 + rng.IntN(2))
	for range 2 + rng.IntN(2) {
		s.fleet.add("desk", 0, 0)
		s.fleet.add("review", 0, 4)
	}
	s.settle()
	for i := range cutSoakSteps {
		s.cutStep(i)
		time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
	}
	for _, g := range s.gateways {
		s.breakLinks(g, emulate.LinkSound)
	}
	s.others.Wait()
	s.awaitSpeech()
	s.settle()
	time.Sleep(cutSlack) // a server that has just crashed counts as unresponsive for longer than checkEnd waits
	s.checkEnd()
}

// cutStep starts two callers and a fault.
func (s *silenceSoak) cutStep(i int) {
	for range 2 {
		path := s.drawPath()
		first := s.rng.IntN(len(s.gateways))
		s.others.Go(func() { s.call(path, fmt.Sprint("body ", i), first) })
	}
	g := s.gateways[s.rng.IntN(len(s.gateways))]
	server := s.fleet.servers[s.rng.IntN(len(s.fleet.servers))]
	lasts := time.Duration(100+s.rng.IntN(1900)) * time.Millisecond
	switch s.rng.IntN(10) {
	case 0, 1, 2, 3, 4:
		s.breakLinks(g, linkFaults[s.rng.IntN(len(linkFaults))])
		time.AfterFunc(lasts, func() { s.breakLinks(g, emulate.LinkSound) })
	case 5:
		s.breakLinks(g, linkFaults[s.rng.IntN(len(linkFaults))], server.address) // one server only
	case 6:
		server.fallSilent(silentRuns, lasts/2)
	case 7:
		// A content that meets three crashes in short order is held back: quarantine has tests of its own.
		if i%10 == 0 {
			server.crash(lasts / 2)
		}
	case 8:
		n := s.rng.IntN(len(s.gateways))
		s.others.Go(func() { s.restartGateway(n) })
	case 9:
		n := s.rng.IntN(len(s.gateways))
		s.others.Go(func() { s.cutGateway(n) })
	}
}

// breakLinks changes the links of a gateway.
func (s *silenceSoak) breakLinks(g *silentGateway, f emulate.LinkFault, addresses ...string) {
	s.stopsMu.Lock()
	s.cuts = append(s.cuts, time.Now())
	s.stopsMu.Unlock()
	g.links.Break(f, addresses...)
}
