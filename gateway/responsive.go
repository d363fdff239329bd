package gateway

import (
	"context"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

// responsiveCheckInterval is the time between two checks whether an unresponsive server answers again;
// it is longer than orderTimeout, so there is one check of a server at a time.
const responsiveCheckInterval = 500 * time.Millisecond

// checkResponsive asks the unresponsive servers whether they answer again, so that a server that was silent
// for a moment gets work again at once, also where no draft of this instance has waited for it.
func (g *Gateway) checkResponsive(ctx context.Context, now time.Time) {
	if g.options.Identify == nil {
		return
	}
	v := g.view.Load()
	for _, id := range g.faults.dueChecks(now) {
		a := v.servers[id]
		if a == nil || g.isPaused(v, id) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			incarnation, err := g.options.Identify(ctx, a.Address)
			// Another incarnation at the address says nothing about this one.
			if err == nil && incarnation == a.Incarnation && g.faults.recordAnswer(id) {
				crash := quarantine.Crash{Server: id, Incarnation: uint64(incarnation)}
				g.takeBack(crash, "answers again")
				// Also a certain crash: its connections were refused by what is between.
				g.withdrawCrash(crash, "answers again")
			}
		}()
	}
}

// recordResponsive takes back that servers of an attempt's path are unresponsive or have crashed, since
// an event that has passed all of them came after a silence.
func (g *Gateway) recordResponsive(a *attempt, silence time.Duration) {
	for _, crash := range a.pathCrashes() {
		g.takeBack(crash, "goes on with a draft")
	}
	if silence >= stallAfter {
		g.options.Log.Info("a silent draft goes on", "request", a.draft.header.ID, "path", formatPath(a.currentPath()), "silent_ms", silence.Milliseconds())
	}
}

// takeBack takes back that a server is unresponsive, or that an incarnation of it is presumed to have
// crashed. A certain crash stays: the answer may be that of a successor at the same address.
func (g *Gateway) takeBack(crash quarantine.Crash, why string) {
	if g.faults.clearUnresponsive(crash.Server) {
		g.options.Log.Info("a backend server is responsive again", "server", crash.Server, "why", why)
		g.reportReachability(time.Now())
	}
	if g.lost.isPresumed(crash) {
		g.withdrawCrash(crash, why)
	}
}
