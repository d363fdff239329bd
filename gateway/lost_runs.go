package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/selfreport"
	"golang.org/x/sync/singleflight"
)

const (
	// lostRunTTL is how long after a failed run a crash of its server is attributed to it. A server
	// that falls silent is noticed within three announcements, and returns some seconds later.
	lostRunTTL = 10 * time.Second
	// maxLostRuns bounds the failed runs that are remembered; the oldest is dropped first.
	maxLostRuns = 1024
	// crashMemory is how long a found crash is remembered, to attribute runs that fail later and to
	// notice that the server is alive after all.
	crashMemory = 30 * time.Second
	// restartNotice is the time within which a restarted server has announced itself.
	restartNotice = 2 * time.Second
	// maxCrashes bounds the found crashes that are remembered.
	maxCrashes = 1024
)

// lostRun is a run whose server, or the connection to it, has failed.
type lostRun struct {
	job   *job
	crash quarantine.Crash
	at    time.Time
	// provedSound means that the run had proved sound on the server.
	provedSound bool
}

// lostRuns attributes crashes of servers to the requests that ran on them. It is safe for concurrent
// use.
type lostRuns struct {
	// probing holds the probes in progress, by the server's ID.
	probing singleflight.Group
	// crashCount is the length of crashes, readable without the lock.
	crashCount atomic.Int64

	mu      sync.Mutex
	runs    []lostRun
	crashes map[quarantine.Crash]foundCrash
}

// foundCrash is a crash that this instance has found.
type foundCrash struct {
	at time.Time
	// isConfirmed means that the server refused connections or was replaced.
	isConfirmed bool
}

func newLostRuns() *lostRuns { return &lostRuns{crashes: make(map[quarantine.Crash]foundCrash)} }

// add records a lost run. It returns the crash of its server if that is already known; then the
// caller has to attribute it to the run.
func (l *lostRuns) add(r lostRun) (found foundCrash, isKnown bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, isKnown = l.crashes[r.crash]; isKnown {
		return found, true
	}
	if len(l.runs) >= maxLostRuns {
		l.runs = slices.Delete(l.runs, 0, 1)
	}
	l.runs = append(l.runs, r)
	return foundCrash{}, false
}

// addCrash records a crash and returns the lost runs on that server. isNew is false
// if the crash was known, and isUpgraded is true if it was known but not confirmed before.
func (l *lostRuns) addCrash(now time.Time, c quarantine.Crash, isConfirmed bool) (runs []lostRun, isNew, isUpgraded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found, ok := l.crashes[c]; ok {
		isUpgraded = isConfirmed && !found.isConfirmed
		found.isConfirmed = found.isConfirmed || isConfirmed
		l.crashes[c] = found
		return nil, false, isUpgraded
	}
	if len(l.crashes) >= maxCrashes {
		return nil, false, false
	}
	l.crashes[c] = foundCrash{at: now, isConfirmed: isConfirmed}
	l.crashCount.Store(int64(len(l.crashes)))
	l.runs = slices.DeleteFunc(l.runs, func(r lostRun) bool {
		if r.crash != c {
			return false
		}
		if now.Sub(r.at) < lostRunTTL {
			runs = append(runs, r)
		}
		return true
	})
	return runs, true, false
}

// hasCrash reports whether a crash was found.
func (l *lostRuns) hasCrash(c quarantine.Crash) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.crashes[c]
	return ok
}

// removeCrash removes a crash that was found before a time, and reports whether there was one.
func (l *lostRuns) removeCrash(before time.Time, c quarantine.Crash) bool {
	if l.crashCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.crashes[c]
	if !ok || !found.at.Before(before) {
		return false
	}
	delete(l.crashes, c)
	l.crashCount.Store(int64(len(l.crashes)))
	return true
}

// isConfirmed reports whether a crash is known for certain.
func (l *lostRuns) isConfirmed(c quarantine.Crash) bool {
	if l.crashCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashes[c].isConfirmed
}

// isPresumed reports whether a crash is known, but not for certain.
func (l *lostRuns) isPresumed(c quarantine.Crash) bool {
	if l.crashCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	found, ok := l.crashes[c]
	return ok && !found.isConfirmed
}

// removeExpired removes the runs and crashes that are too old to be used.
func (l *lostRuns) removeExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = slices.DeleteFunc(l.runs, func(r lostRun) bool { return now.Sub(r.at) >= lostRunTTL })
	for c, found := range l.crashes {
		if now.Sub(found.at) >= crashMemory {
			delete(l.crashes, c)
		}
	}
	l.crashCount.Store(int64(len(l.crashes)))
}

// recordLostRun records that a server was running the request when the server, or the connection to
// it, failed. A probe then shows whether the server has crashed. crash is the end of the incarnation
// to which the request was sent.
func (g *Gateway) recordLostRun(j *job, crash quarantine.Crash, provedSound bool, why string) {
	g.metrics.LostRuns.WithLabelValues().Inc()
	g.options.Log.Info("lost a run", "request", j.header.ID, "content", j.fingerprint().String(), "parts", formatParts(j.sharedParts), "server", crash.Server, "reason", why)
	if g.addLostRun(j, crash, provedSound) {
		go g.probeLost(crash)
	}
}

// addLostRun remembers a lost run, so that a later crash of its server is attributed to it. It returns
// whether it has yet to be found out if the server has crashed.
func (g *Gateway) addLostRun(j *job, crash quarantine.Crash, provedSound bool) (isOpen bool) {
	r := lostRun{job: j, crash: crash, at: time.Now(), provedSound: provedSound}
	found, isKnown := g.lost.add(r)
	if isKnown {
		g.attributeCrash(r, found.isConfirmed)
	}
	return !found.isConfirmed
}

// recordLostAttempt records the servers that a failed attempt of a draft has lost: those of its path
// that are known to be faulty, and the first one, unless the attempt was cancelled for the sake of
// another one.
func (g *Gateway) recordLostAttempt(a *attempt, cause error, why string) {
	v := g.view.Load()
	for i, crash := range a.pathCrashes() {
		isLost := g.isFaulty(v, crash.Server)
		if i == 0 && !errors.Is(cause, errOvertaken) {
			isLost = !errors.Is(cause, errQuarantined)
		}
		if isLost {
			g.recordLostRun(a.draft.job, crash, a.writing.provedSound(), why)
		}
	}
}

// recordAbandonedAttempt remembers the servers of a draft whose caller left while the draft was idle:
// one of them may have crashed.
func (g *Gateway) recordAbandonedAttempt(a *attempt) {
	if a.idleTime(time.Now()) < idleAfter {
		return
	}
	for _, crash := range a.pathCrashes() {
		g.addLostRun(a.draft.job, crash, a.writing.provedSound())
	}
}

// probeLost records a crash if no connection to the server can be opened, and reports whether that failed.
// Probes of one server that are requested at the same time are shared.
func (g *Gateway) probeLost(crash quarantine.Crash) (hasFailed bool) {
	a := g.view.Load().servers[crash.Server]
	if a == nil {
		return false
	}
	_, err, _ := g.lost.probing.Do(crash.Server, func() (any, error) {
		return nil, reach(context.Background(), func(ctx context.Context) error { return g.client.Probe(ctx, a.Address) })
	})
	if err != nil {
		g.recordUnreachable(crash, "can't be reached: "+err.Error(), err)
	}
	return err != nil
}

// recordCrash attributes the crash of a server to the requests that it was running: those that were
// lost, and the drafts that still run on it.
func (g *Gateway) recordCrash(crash quarantine.Crash, why string, isConfirmed bool) {
	g.attributeCrashTo(crash, why, isConfirmed, g.running.on(crash))
}

// recordSilence attributes the presumed crash of a server to the lost runs only, since the server may
// still work.
func (g *Gateway) recordSilence(crash quarantine.Crash) {
	g.attributeCrashTo(crash, "is silent", false, nil)
}

func (g *Gateway) attributeCrashTo(crash quarantine.Crash, why string, isConfirmed bool, running []*attempt) {
	now := time.Now()
	runs, isNew, isUpgraded := g.lost.addCrash(now, crash, isConfirmed)
	if !isNew && !isUpgraded {
		return
	}
	for _, a := range running {
		runs = append(runs, lostRun{job: a.draft.job, crash: crash, provedSound: a.writing.provedSound()})
	}
	g.options.Log.Info("a backend server has crashed", "server", crash.Server, "incarnation", crash.Incarnation, "why", why,
		"is_confirmed", isConfirmed, "requests", len(runs))
	g.evidence.AddServerCrash(now, crash)
	if isUpgraded {
		g.evidence.ConfirmCrash(crash)
	}
	for _, r := range runs {
		g.attributeCrash(r, isConfirmed)
	}
	if isConfirmed {
		g.checkDraftsThrough(crash.Server)
	}
}

// withdrawCrash takes back a crash, since the server is alive.
func (g *Gateway) withdrawCrash(crash quarantine.Crash, why string) {
	g.withdrawCrashBefore(time.Now(), crash, why)
}

// recordAlive takes back the crash of a server that has answered a request that was sent at the given
// time. A server that returned under the same ID announces itself within restartNotice, and the
// gateway then knows its new incarnation.
func (g *Gateway) recordAlive(sent time.Time, id, why string) {
	if g.lost.crashCount.Load() > 0 {
		g.withdrawCrashBefore(sent.Add(-restartNotice), g.view.Load().crashOf(id), why)
	}
}

func (g *Gateway) withdrawCrashBefore(before time.Time, crash quarantine.Crash, why string) {
	if g.lost.removeCrash(before, crash) {
		g.options.Log.Info("a backend server has not crashed", "server", crash.Server, "incarnation", crash.Incarnation, "why", why)
		g.evidence.VoidCrash(crash)
	}
}

// attributeCrash records that a server crashed during a run, unless the request was answered since.
func (g *Gateway) attributeCrash(r lostRun, isConfirmed bool) {
	j, crash := r.job, r.crash
	j.crashes.mu.Lock()
	defer j.crashes.mu.Unlock()
	if j.crashes.isAnswered {
		return
	}
	j.crashes.hasAny = true
	g.attributePartCrash(r, isConfirmed)
	f := j.fingerprint()
	n, isNew := g.evidence.AddContentCrash(time.Now(), f, crash, isConfirmed)
	if j.crashes.hasEnded {
		g.evidence.Share(f)
	}
	if isNew && n > 1 {
		g.options.Log.Info("servers crashed while they ran a content", "request", j.header.ID, "content", f.String(), "server", crash.Server,
			"crashes", n, "verdict", g.evidence.Check(time.Now(), f).String(), "needs_trial", g.evidence.NeedsTrial(time.Now(), f))
	}
}

// requestCrashes is the state of a request with regard to crashes of its servers.
type requestCrashes struct {
	mu sync.Mutex
	// hasAny means that a crash was attributed to the request.
	hasAny bool
	// isAnswered means that a server has answered the request, and hasEnded that the gateway has
	// ended it without such an answer.
	isAnswered bool
	hasEnded   bool
}

// recordAnswered records that a server has answered the request, which shows that the content doesn't
// crash servers.
func (g *Gateway) recordAnswered(j *job) {
	j.crashes.mu.Lock()
	defer j.crashes.mu.Unlock()
	j.crashes.isAnswered = true
	if j.service.Engine == nil {
		g.clearParts(j, j.arrived) // its server began later
	}
	if !g.evidence.IsEmpty() && g.evidence.Absolve(j.fingerprint()) {
		g.options.Log.Info("served a request whose servers had crashed", "request", j.header.ID, "content", j.fingerprint().String())
	}
}

// reportCrashes reports the crashes of a request that has ended without an answer to the other
// instances, to which its caller may send it next.
func (g *Gateway) reportCrashes(j *job) {
	g.endTrial(j)
	defer g.endContentTrial(j)
	j.crashes.mu.Lock()
	defer j.crashes.mu.Unlock()
	if j.crashes.isAnswered {
		return
	}
	j.crashes.hasEnded = true
	if j.crashes.hasAny {
		g.evidence.Share(j.fingerprint())
	}
}

// recordEndedServers records the crashes and the returns of servers that the control instances
// report.
func (g *Gateway) recordEndedServers(before, next *view) {
	now := time.Now()
	for id, old := range before.servers {
		if g.selfReports.check(now, before.server(id)) == selfreport.Leaving {
			continue // it has said that it ends
		}
		crash := before.crashOf(id)
		current := next.servers[id]
		switch {
		case current != nil && current.Incarnation > old.Incarnation:
			g.recordReplacement(crash, old, current)
		case next.states[id] == discovery.StateLeft:
			if successor := next.servers[next.byAddress[old.Address]]; successor != nil {
				g.recordReplacement(crash, old, successor)
			}
		case next.states[id] == discovery.StateSilent && old.State == discovery.StateReady:
			g.recordSilence(crash)
		case old.State == discovery.StateSilent && next.incarnations[id] == old.Incarnation && next.announces(id):
			g.withdrawCrash(crash, "announces itself again")
		}
	}
}

// recordReplacement records that a server was replaced without having announced that it is leaving.
// A successor with another release of the software means that the end was planned.
func (g *Gateway) recordReplacement(crash quarantine.Crash, old, successor *discovery.Announcement) {
	if old.Release != successor.Release {
		g.withdrawCrash(crash, "was replaced by release "+successor.Release)
		return
	}
	g.recordCrash(crash, "was replaced by "+successor.ID, true)
}
