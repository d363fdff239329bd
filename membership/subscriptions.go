package membership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SubscriptionTargets returns the addresses of the instances to subscribe to: every member of the
// instance's region, and the seeds whose address belongs to no known member. Control instances also
// subscribe to one member of each other region, and pass on to their own region what they receive.
// Other instances subscribe to other regions only while no control instance of their own region is
// alive.
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

// isBetterRemote reports whether a is the better member of another region to subscribe to. Members
// that have not failed come first, then control instances; among equal members, a hash of both
// names distributes the subscribers.
func isBetterRemote(self, a, b Member, now time.Time) bool {
	if fa, fb := hasFailed(a, now), hasFailed(b, now); fa != fb {
		return fb
	}
	if a.Control != b.Control {
		return a.Control
	}
	return subscriptionRank(self.Name, a.Name) < subscriptionRank(self.Name, b.Name)
}

func hasFailed(m Member, now time.Time) bool {
	return !m.AliveUntil.IsZero() && !now.Before(m.AliveUntil)
}

func subscriptionRank(self, other string) uint64 { return xxhash.Sum64String(self + "/" + other) }
