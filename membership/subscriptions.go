package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SubscriptionTargets returns the addresses of the instances to subscribe to: every member of the own
// region, and the seeds that no known member stands behind. Control instances also subscribe
// to one member of each other region, and tell their own region what they learn; the others
// do so only while no control instance of their region is alive.
func SubscriptionTargets(self Member, members []Member, seeds []string, now time.Time) []string {
	known := map[string]bool{self.Address: true}
	var out []string
	remote := make(map[string]Member)
	for _, m := range members {
		known[m.Address] = true
		switch {
		case m.Left || m.Address == self.Address:
		case m.Region == self.Region:
			out = append(out, m.Address)
		default:
			best, ok := remote[m.Region]
			if !ok || isBetterRemote(self, m, best, now) {
				remote[m.Region] = m
			}
		}
	}
	for _, m := range remote {
		if self.Control || !hasControl(self.Region, members, now) {
			out = append(out, m.Address)
		}
	}
	for _, a := range seeds {
		if !known[a] {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// hasControl reports whether a control instance of the region is alive.
func hasControl(region string, members []Member, now time.Time) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.Region == region && m.Control && IsAlive(m, now)
	})
}

// isBetterRemote prefers members that have not failed, then control instances, and spreads
// the subscribers of a region over the rest.
func isBetterRemote(self, a, b Member, now time.Time) bool {
	if fa, fb := hasFailed(a, now), hasFailed(b, now); fa != fb {
		return fb
	}
	if a.Control != b.Control {
		return a.Control
	}
	return rank(self.Name, a.Name) < rank(self.Name, b.Name)
}

func hasFailed(m Member, now time.Time) bool {
	return !m.AliveUntil.IsZero() && !now.Before(m.AliveUntil)
}

func rank(self, other string) uint64 { return xxhash.Sum64String(self + "/" + other) }
