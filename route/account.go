package route

import (
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

const (
	// reportLag is the age that a report of load is assumed to have when it arrives.
	reportLag = 300 * time.Millisecond
	// maxRecentStarts bounds the starts that are remembered for reports under way.
	maxRecentStarts = 64
	// forgetMargin is how many servers beyond those available are remembered.
	forgetMargin = 256
)

// account is what a router knows of the work at one server.
type account struct {
	// own is the work that this instance has given the server.
	own int
	// recent are the times of the latest starts, oldest first.
	recent []time.Time

	incarnation uint64
	sequence    uint64
	load        fleet.Load
	// correction is a moving average of the reported work beyond what the routers would have
	// given if each had given as much as this one.
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

// Started notes that this instance has given the server work.
func (r *Router) Started(now time.Time, server string) {
	a := r.account(server)
	a.own++
	if len(a.recent) == maxRecentStarts {
		a.recent = a.recent[1:]
	}
	a.recent = append(a.recent, now)
}

// Ended notes that the work has ended.
func (r *Router) Ended(server string) {
	a := r.account(server)
	a.own = max(0, a.own-1)
}

// InFlight returns the work that this instance has given the server.
func (r *Router) InFlight(server string) int {
	if a, ok := r.accounts[server]; ok {
		return a.own
	}
	return 0
}

// work estimates the requests at the server. What this instance has given is known at once, and
// the other routers are assumed to give as much; reports correct that slowly. All routers see
// the same late reports, so quick answers to them would send all to one server and then to the
// next.
//
// A report counts what is at the server at one moment, and a request visits the stages of its
// chain in turn: stages is the usual number of them, 1 for a plain call.
func (r *Router) work(now time.Time, s *fleet.BackendServer, stages float64) float64 {
	a := r.account(s.Name)
	// A lease that another instance passed on changes its load without a new sequence.
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

// forget drops idle servers that are no longer available, once there are many.
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
