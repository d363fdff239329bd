package lab

import (
	"fmt"
	"testing"
	"time"
)

// directedOptions are the options of a soak whose faults a test plays by itself.
func directedOptions(gateways int) soakOptions {
	return soakOptions{seed: 1, controls: 5, gateways: gateways, servers: 4, routes: 20, keys: 1, changeEvery: 300 * time.Millisecond, probeEvery: 30 * time.Millisecond, controlMbps: 170, gatewayMbps: 20}
}

// startQuietly starts the operator and the callers, and waits until the start excuses nothing any longer.
func (s *soak) startQuietly() {
	s.startWork()
	s.sleep(2*touchTime + time.Second)
}

// finish ends a directed soak and fails the test if a rule was broken.
func (s *soak) finish() {
	s.cancel()
	s.wg.Wait()
	s.judge.checkServed()
	s.t.Log(s.judge.summary())
	if len(s.judge.broken) > 0 {
		s.t.Errorf("broken: %v", s.judge.broken)
	}
}

// Guards against a gateway that waits for control instances which seem to run and answer nothing, while others would.
func TestGatewayAppliesInTimeBesideHangingControlInstances(t *testing.T) {
	t.Parallel()
	for _, hanging := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(hanging, " hang for one gateway"), func(t *testing.T) {
			s := startSoak(t, directedOptions(2))
			s.startQuietly()
			// Heartbeats pass, and fetches, which open connections, hang. The control instances have no trouble, and none
			// is on record, so nothing is excused.
			for _, c := range s.d.Controls[:hanging] {
				s.d.HarmLink(s.d.Gateways[0].Name, c.Name, LinkFault{HangsNew: true})
			}
			s.sleep(15 * time.Second)
			s.finish()
		})
	}
}

// Guards against large documents that are never received, since each try ends after a time in which they don't fit
// through the links.
func TestLargeDocumentsOverNarrowLinksAreInTime(t *testing.T) {
	t.Parallel()
	o := directedOptions(3)
	o.routes, o.keys, o.probeEvery = 1400, 6, 200*time.Millisecond
	s := startSoak(t, o)
	// What each of 195 gateways has of a control instance's link of 170 Mbit/s, if all fetch at once.
	const share = 170_000_000 / 8 / 195
	for _, g := range s.d.Gateways {
		for _, c := range s.d.Controls {
			s.d.HarmLink(g.Name, c.Name, LinkFault{BytesPerSecond: share})
		}
	}
	s.startQuietly()
	s.sleep(15 * time.Second)
	s.finish()
}

// Guards against gateways that start over narrow links, where no document can be patched, and serve late: one of them, or
// all at once, also where one control instance's link is narrow.
func TestGatewaysStartedOverNarrowLinksServeInTime(t *testing.T) {
	t.Parallel()
	const share = 170_000_000 / 8 / 195 // as above
	for name, c := range map[string]struct{ started, pairRate, controlRate int }{
		"one":                                  {started: 1, pairRate: share},
		"one, less than a part a second":       {started: 1, pairRate: 56 << 10},
		"all":                                  {started: 8, pairRate: share},
		"all, one control instance is narrow":  {started: 8, controlRate: share},
		"all, four control instances are slow": {started: 8, controlRate: -share},
	} {
		t.Run(name, func(t *testing.T) {
			o := directedOptions(8)
			o.routes, o.keys, o.probeEvery, o.changeEvery = 1400, 6, 100*time.Millisecond, time.Hour
			s := startSoak(t, o)
			s.startQuietly()
			s.narrowLinks(c.pairRate, c.controlRate)
			started := s.d.Gateways[:c.started]
			forEach(started, func(g *Member) { s.stopGateway(g, g.Kill) })
			at := time.Now()
			troubles := make(map[*Member]*trouble)
			for _, g := range started {
				troubles[g] = s.judge.begin(trouble{what: g.Name + " is started", gateway: g.Name})
			}
			forEach(started, s.startGateway)
			for _, g := range started {
				s.judge.end(troubles[g])
			}
			s.waitFor(at, touchTime, "all gateways to serve", func() bool {
				for _, g := range started {
					if s.judge.lastSeen(g.Name, s.boot(g)) == 0 {
						return false
					}
				}
				return true
			})
			t.Logf("all %d serve after %v", c.started, time.Since(at))
			s.finish()
		})
	}
}

// narrowLinks limits each link between a gateway and a control instance, if pairRate is set, and the whole link of one
// control instance, or, if controlRate is negative, of all but one. Both are in bytes a second.
func (s *soak) narrowLinks(pairRate, controlRate int) {
	for _, g := range s.d.Gateways {
		for _, c := range s.d.Controls {
			s.d.HarmLink(g.Name, c.Name, LinkFault{BytesPerSecond: pairRate})
		}
	}
	narrow := s.d.Controls[:1]
	if controlRate < 0 {
		narrow, controlRate = s.d.Controls[1:], -controlRate
	}
	s.d.update(func() {
		for _, c := range narrow {
			if controlRate > 0 {
				s.d.lineRate[c.Name] = controlRate
			}
		}
	})
}

// Guards against documents that are late where the first packets of connections are lost.
func TestDocumentsAreInTimeThoughFirstPacketsOfConnectionsAreLost(t *testing.T) {
	t.Parallel()
	s := startSoak(t, directedOptions(4))
	s.startQuietly()
	const pause = 400 * time.Millisecond // of two times as long
	for i, c := range s.d.Controls {
		s.run(func() {
			s.sleep(time.Duration(i) * pause / 2)
			for s.ctx.Err() == nil {
				s.d.PauseAccepting(c.Name)
				s.sleep(pause)
				s.d.ResumeAccepting(c.Name)
				s.sleep(pause)
			}
		})
	}
	s.sleep(20 * time.Second)
	s.finish()
}

// Guards against a gateway that starts beside a control instance which is behind, and keeps its document though it
// reaches others that have the newest.
func TestGatewayStartedBesideAControlInstanceThatIsBehind(t *testing.T) {
	t.Parallel()
	s := startSoak(t, directedOptions(3))
	s.startQuietly()
	alone, both, behind := s.d.Gateways[0], s.d.Gateways[1], s.d.Controls[0]
	cut := s.judge.begin(trouble{what: behind.Name + " is cut off from the other control instances", isCore: true})
	cutGateway := s.judge.begin(trouble{what: alone.Name + " reaches only " + behind.Name, gateway: alone.Name})
	for _, c := range s.d.Controls[1:] {
		s.d.Partition(behind.Name, c.Name)
		s.d.Partition(alone.Name, c.Name)
	}
	restart := s.judge.begin(trouble{what: both.Name + " is killed", gateway: both.Name})
	for _, g := range []*Member{alone, both} {
		s.stopGateway(g, g.Kill)
	}
	s.sleep(touchTime)
	acked := s.judge.newest().version
	for _, g := range []*Member{alone, both} {
		s.startGateway(g)
	}
	s.judge.end(restart)
	s.sleep(touchTime + 2*applyBound)
	// No rule forbids this gateway what it does; it is told.
	t.Logf("%s, which reaches only a control instance that is behind, serves version %d; %d was acknowledged when it started", alone.Name, s.judge.lastSeen(alone.Name, s.boot(alone)), acked)
	s.d.HealAll()
	s.judge.end(cut)
	s.judge.end(cutGateway)
	s.sleep(touchTime)
	s.finish()
}

func (j *soakJudge) lastSeen(gateway string, boot int) uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	seen := j.seen[fmt.Sprint(gateway, " ", boot)]
	if len(seen) == 0 {
		return 0
	}
	return seen[len(seen)-1].version
}

// Guards against control instances that don't come back after a loss of all, some of them without their data, right after
// an acknowledgement (run 42 of the incident).
func TestDocumentsAreReadBackAfterLossesOfAllControlInstances(t *testing.T) {
	t.Parallel()
	o := directedOptions(2)
	o.controls, o.seed = soakNumber(t, "CONTROLS", 3), uint64(soakNumber(t, "FIRST", 0))
	s := startSoak(t, o)
	s.startQuietly()
	faults := newSoakFaults(s)
	for range soakNumber(t, "ROUNDS", 3) {
		want := s.judge.newest().version
		faults.killAll(false) // returns when all have had the time to catch up
		for _, c := range s.controls() {
			s.waitFor(time.Now(), recoveryBound, c.Name+" to read back a document after a loss of all", func() bool { return s.readOne(c) >= want })
		}
		if s.judge.isBroken() {
			break
		}
	}
	s.finish()
}

func (j *soakJudge) isBroken() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.broken) > 0
}
