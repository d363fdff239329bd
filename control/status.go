package control

import (
	"context"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/replica"
)

// Status is a host's view of its group.
type Status struct {
	consensus.Status
	// LeaderAddress is the address of the leader, "" if it is not known.
	LeaderAddress string
	Records       int
	// ViewIndex and RoutingVersion name the view and the routing document in the applied state.
	ViewIndex      uint64
	RoutingVersion uint64
	// ConfirmedAt is a time, as bootclock.Now counts, before which nothing was acknowledged that the applied
	// state lacks; 0 means that none is known.
	ConfirmedAt time.Duration
	Levels      LevelStatus
}

// LevelStatus says which build runs, and which level of entries is in force.
type LevelStatus struct {
	Build string
	// InForce is the level in force, and Supported the highest one that this build applies.
	InForce, Supported formlevel.Level
	// Holds says what holds the next level back, as the leader knows it; nil on other instances.
	Holds []formlevel.Hold
}

// Status returns the host's view of its group.
func (h *Host) Status(ctx context.Context) (Status, error) {
	var s Status
	err := h.Query(ctx, func(state *replica.State, n *consensus.Node) {
		s = Status{
			Status: n.Status(), Records: state.Ledger.Len(),
			ViewIndex: state.ViewIndex(), RoutingVersion: state.Routing.Version,
			ConfirmedAt: h.clock.timeOf(n, n.ConfirmedTick()),
		}
		v, _ := s.Membership.Voter(s.Leader)
		s.LeaderAddress = v.Address
		s.Levels = h.levelStatus()
	})
	return s, err
}

const transferPollInterval = 10 * time.Millisecond

// TransferLeadership transfers the leadership if this replica is the leader, and waits until it is
// no longer the leader or ctx is done.
func (h *Host) TransferLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		leads := false
		err := h.Query(ctx, func(_ *replica.State, n *consensus.Node) {
			// A leader whose transfer has failed is a candidate until it leads again.
			leads = n.Role() == consensus.RoleLeader || n.Role() == consensus.RoleCandidate
			n.Transfer()
		})
		if err != nil || !leads {
			return
		}
		select {
		case <-time.After(transferPollInterval):
		case <-ctx.Done():
		}
	}
}

// logChanges logs elections and changes of the role and the membership, and passes on the voters' addresses.
func (h *Host) logChanges() {
	h.logElections()
	if role := h.node.Role(); role != h.loggedRole {
		h.loggedRole = role
		h.log.Info("changed role", "role", role.String(), "term", h.node.Term(), "leader", h.node.Leader())
	}
	if position := h.node.MembershipPosition(); position != h.loggedMembership {
		h.loggedMembership = position
		m := h.node.Status().Membership
		h.updateAddresses(m)
		h.log.Info("membership changed", "voters", voterNames(m), "index", position.Index)
	}
}

func voterNames(m consensus.Membership) string {
	var names []string
	for _, v := range m.Voters {
		names = append(names, v.ID)
	}
	return strings.Join(names, ", ")
}
