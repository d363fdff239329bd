package lab

import (
	"bufio"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"
)

// A deployment of 40 gateways whose control instances get the share of a core that leaves them as much beside their
// calm work as 0.24 does with 195 gateways, and documents with as much smaller.
const (
	stormControls     = 5
	stormGateways     = 40
	stormServers      = 40
	stormRoutes       = 400
	stormSharePerMill = 70
)

// The bounds of the users' pages.
const (
	// stormAckBound is the time within which a valid document is acknowledged.
	stormAckBound = 4 * time.Second
	// stormReadBound is the longest time during which no control instance answers a read.
	stormReadBound = 3 * time.Second
)

const (
	stormStartTime    = 15 * time.Second
	stormCalmTime     = 10 * time.Second
	stormChangeTime   = 15 * time.Second
	stormReadInterval = 500 * time.Millisecond
	// electionSettleTime is how long after a pause of a control instance elections may follow.
	electionSettleTime = 3 * time.Second
)

// storm is a soak without faults but for throttled control instances.
type storm struct {
	*soak
}

func startStorm(t *testing.T) *storm {
	t.Helper()
	s := &storm{soak: startSoak(t, soakOptions{
		seed:        uint64(soakNumber(t, "FIRST", 0)),
		controls:    stormControls,
		gateways:    soakNumber(t, "GATEWAYS", stormGateways),
		servers:     soakNumber(t, "SERVERS", stormServers),
		routes:      soakNumber(t, "ROUTES", stormRoutes),
		keys:        1,
		changeEvery: 300 * time.Millisecond,
		probeEvery:  250 * time.Millisecond,

		controlShare: float64(soakNumber(t, "SHARE_PER_MILL", stormSharePerMill)) / 1000,
	})}
	s.sleep(stormStartTime)
	return s
}

// change publishes documents, reads them back and asks the gateways until the soak ends its work.
func (s *storm) change() {
	workers := min(maxWorkers, s.options.gateways)
	for w := range workers {
		s.run(func() { s.runProbes(w, workers) })
	}
	s.run(s.publishAll)
	s.run(s.watchReads)
}

// publishAll sends documents one after the other, each until it is acknowledged.
func (s *storm) publishAll() {
	o := newSoakOperator(s.soak, s.options.seed)
	for s.isWorking() {
		d, text := o.change()
		s.judge.sent(d)
		begun, isLate := time.Now(), false
		for o.put(text, false) != 200 {
			if s.wasLate(time.Now(), time.Since(begun)) {
				begun = time.Now()
			}
			if !isLate && time.Since(begun) > stormAckBound {
				isLate = true
				s.judge.report("NO-ACK", "version %d has no acknowledgement after %s", d.version, stormAckBound)
			}
			if !s.isWorking() {
				return
			}
			s.sleep(50 * time.Millisecond)
		}
		if took := time.Since(begun); took > stormAckBound && !isLate {
			s.judge.report("NO-ACK", "version %d was acknowledged after %.1f s", d.version, took.Seconds())
		}
		s.judge.acked(d)
		s.sleep(s.options.changeEvery + rand.N(s.options.changeEvery))
	}
}

// watchReads reads the document at all control instances, and checks that some read is answered in time.
func (s *storm) watchReads() {
	for s.isWorking() && s.judge.newest().version == 0 {
		s.sleep(pollInterval)
	}
	var mu sync.Mutex
	answered := time.Now()
	for _, c := range s.controls() {
		s.run(func() {
			for s.isWorking() {
				if s.readOne(c) > 0 {
					mu.Lock()
					answered = time.Now()
					mu.Unlock()
				}
				s.sleep(stormReadInterval)
			}
		})
	}
	for s.isWorking() {
		s.sleep(pollInterval)
		mu.Lock()
		if s.wasLate(time.Now(), stormReadBound) {
			answered = time.Now()
		}
		if silence := time.Since(answered); silence > stormReadBound {
			s.judge.report("NO-READ", "no control instance has answered a read for %s", stormReadBound)
			answered = time.Now()
		}
		mu.Unlock()
	}
}

// restartGateways kills all gateways and starts them again at once.
func (s *storm) restartGateways() {
	gateways := s.gateways()
	var troubles []*trouble
	for _, g := range gateways {
		troubles = append(troubles, s.judge.begin(trouble{what: g.Name + " is killed beside all others", gateway: g.Name}))
	}
	forEach(gateways, func(g *Member) { s.stopGateway(g, g.Kill) })
	forEach(gateways, s.startGateway)
	for _, t := range troubles {
		s.judge.end(t)
	}
}

// roleChange is a line of a control instance's log.
type roleChange struct {
	Time      time.Time
	Msg, Role string
	Term      uint64
}

// roleChanges returns what the control instances have logged about their roles, in order.
func (s *storm) roleChanges() (changes []roleChange) {
	for _, c := range s.controls() {
		file, err := os.Open(c.LogPath)
		if err != nil {
			s.t.Fatal(err)
		}
		for in := bufio.NewScanner(file); in.Scan(); {
			var l roleChange
			if json.Unmarshal(in.Bytes(), &l) == nil && l.Msg == "changed role" {
				changes = append(changes, l)
			}
		}
		_ = file.Close()
	}
	slices.SortFunc(changes, func(a, b roleChange) int { return a.Time.Compare(b.Time) })
	return changes
}

// checkTerm checks that the term has not risen since a time at which there was a leader. A rise shortly after the test
// itself was late doesn't count.
func (s *storm) checkTerm(since time.Time, what string) {
	var term, counted, excused uint64
	for _, c := range s.roleChanges() {
		switch {
		case c.Term <= term:
			continue
		case !c.Time.After(since):
		case s.wasLate(c.Time, electionSettleTime):
			excused += c.Term - term
		default:
			counted += c.Term - term
		}
		term = c.Term
	}
	s.t.Logf("%s: term %d at the end, rises that count %d, others %d", what, term, counted, excused)
	if term == 0 {
		s.judge.report("LEADER", "%s: no control instance leads %s after the start", what, stormStartTime)
	}
	if counted > 0 {
		s.judge.report("LEADER", "%s: the term rose %d times though no control instance had trouble", what, counted)
	}
}

// end stops the run and states what was broken.
func (s *storm) end() {
	s.endWork()
	for _, m := range s.d.Members() {
		if m.HasExited() {
			s.judge.report("EXITED", "%s has ended by itself", m.Name)
		}
	}
	s.cancel()
	s.wg.Wait()
	s.t.Logf("the test itself was late %d times", len(s.delays))
	s.t.Logf("%d gateways, %d routes: %s", s.options.gateways, s.options.routes, s.judge.summary())
	s.judge.findings = nil // the logs are long
	if len(s.judge.broken) > 0 {
		s.t.Errorf("broken: %v", s.judge.broken)
	}
}

// Guards against elections, and documents without an acknowledgement, where control instances with little processor time
// serve many gateways (docs/incidents/election-storm.md).
func TestThrottledControlInstancesKeepTheirLeader(t *testing.T) {
	s := startStorm(t)
	calm := time.Now()
	s.sleep(stormCalmTime)
	s.checkTerm(calm, "calm")
	changing := time.Now()
	s.change()
	s.sleep(stormChangeTime)
	s.checkTerm(changing, "beside changes")
	s.end()
}

// Guards against elections when all gateways start at once beside control instances with little processor time
// (docs/incidents/election-storm.md).
func TestMassRestartOfGatewaysKeepsTheLeader(t *testing.T) {
	s := startStorm(t)
	s.change()
	s.sleep(touchTime)
	restarted := time.Now()
	s.restartGateways()
	s.sleep(stormChangeTime)
	s.checkTerm(restarted, "after the restart of all gateways")
	s.end()
}
