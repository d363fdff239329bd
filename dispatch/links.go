package dispatch

import (
	"time"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/linkcheck"
	"github.com/balsamlb/balsamlb/reachability"
)

// allServices stands for all services: a server may run several.
const allServices = ""

// newLinkChecker returns the checker of this instance's links to the backend servers.
func (d *Dispatcher) newLinkChecker(seed uint64) *linkcheck.Checker {
	return linkcheck.New(linkcheck.Options{
		Probe: backend.Probe,
		Targets: func() (out []linkcheck.Target) {
			for _, s := range d.fleet.Available() {
				out = append(out, linkcheck.Target{ID: s.Name, Address: s.Address, Service: allServices})
			}
			return out
		},
		OnChange: func(_ string, isCutOff bool, s reachability.Sample) {
			d.log.Info("checked the links to the backend servers", "is_cut_off", isCutOff, "reached", s.Reached, "unreached", s.Unreached)
		},
		Seed: seed,
	})
}

// IsCutOff reports whether this instance reaches no backend server. It is safe for concurrent use.
func (d *Dispatcher) IsCutOff() bool { return d.links.IsAnyCutOff() }

// mayBlame reports whether a server that refuses connections has crashed for certain. Otherwise its lease
// shows what has become of it.
func (d *Dispatcher) mayBlame(server string) bool {
	return d.links.Judge(time.Now(), server, allServices) == reachability.BlameCertain
}

// checkLinks checks the links if that is due.
func (d *Dispatcher) checkLinks(now time.Time) {
	d.links.CheckIfDue(now, func(string) bool { return d.working.Load() > 0 })
}
