package route

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

const (
	// reportLag is the assumed age of a load report when it arrives.
	reportLag = 300 * time.Millisecond
	// maxRecentStarts bounds the latest starts that are kept for one server. A report that
	// arrives later may not count them yet.
	maxRecentStarts = 64
	// forgetMargin is how many servers, beyond twice the available ones, are kept before any is
	// removed.
	forgetMargin = 256
)

// account holds what a router knows about the load of one server.
type account struct {
	// own is the number of this instance's running requests at the server.
	own int
	// recent holds the times of the latest starts, oldest first.
	recent []time.Time

	incarnation uint64
	sequence    uint64
	load        fleet.Load
	// correction is a moving average of the difference between the reported load and the load
	// if every router had sent the server as many requests as this one.
	correction float64
}

func (r *Router) account(server string) *account {
	a, ok := r.accounts[server]
	if !ok {
		a = &account{}
		r.accounts[server] = a
	}
	return a
}

// Started records that this instance has sent a request to the server.
func (r *Router) Started(now time.Time, server string) {
	a := r.account(server)
	a.own++
	if len(a.recent) == maxRecentStarts {
		a.recent = a.recent[1:]
	}
	a.recent = append(a.recent, now)
}

// Ended records that a request of this instance at the server has ended.
func (r *Router) Ended(server string) {
	a := r.account(server)
	a.own = max(0, a.own-1)
}

// InFlight returns the number of this instance's running requests at the server.
func (r *Router) InFlight(server string) int {
	if a, ok := r.accounts[server]; ok {
		return a.own
	}
	return 0
}

// work estimates the number of requests at the server. This instance's own requests are known at
// once, and the other routers are assumed to send as many; reports correct this estimate slowly.
// All routers see the same late reports, so a quick reaction would send all of them to one
// server and then to the next.
//
// A report counts the requests that are at the server at one moment, while a request visits the
// stages of its chain one after the other. The reported number is therefore multiplied by
// stages, the usual number of stages of a chain; it is 1 for a plain call.
func (r *Router) work(now time.Time, s *fleet.BackendServer, stages float64) float64 {
	a := r.account(s.Name)
	// The load can change without a new sequence if another instance passed the lease on.
	if a.incarnation != s.Incarnation || a.sequence != s.Sequence || a.load != s.Load {
		a.report(now, s, stages, r.routers)
	}
	return max(float64(a.own), float64(r.routers*a.own)+a.correction)
}

// reportWeight is the weight of a new report in the moving average.
const reportWeight = 0.1

func (a *account) report(now time.Time, s *fleet.BackendServer, stages float64, routers int) {
	own := max(0, a.own-a.startedSince(now.Add(-reportLag)))
	correction := stages*float64(s.Load.Running+s.Load.Queued) - float64(routers*own)
	if a.incarnation != s.Incarnation {
		a.correction = correction
	} else {
		a.correction += reportWeight * (correction - a.correction)
	}
	a.incarnation = s.Incarnation
	a.sequence = s.Sequence
	a.load = s.Load
}

func (a *account) startedSince(t time.Time) int {
	n := 0
	for i := len(a.recent) - 1; i >= 0 && a.recent[i].After(t); i-- {
		n++
	}
	return n
}

// forget removes what is known about idle servers that are no longer available, once there are
// many.
func (r *Router) forget(servers []fleet.BackendServer) {
	if len(r.accounts) <= 2*len(servers)+forgetMargin {
		return
	}
	known := make(map[string]bool, len(servers))
	for i := range servers {
		known[servers[i].Name] = true
	}
	for name, a := range r.accounts {
		if !known[name] && a.own == 0 {
			delete(r.accounts, name)
		}
	}
	r.paces.retain(known)
	r.callPaces.retain(known)
	r.prefixes.retain(known)
}
