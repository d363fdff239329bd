package control

import (
	"context"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
)

// Status is what a host knows of its group.
type Status struct {
	consensus.Status
	// LeaderAddress is where the leader is reached, "" when it is not known.
	LeaderAddress string
	Records       int
}

// Status returns the host's view of its group.
func (h *Host) Status(ctx context.Context) (Status, error) {
	var s Status
	err := h.Query(ctx, func(state *replica.State, n *consensus.Node) {
		s = Status{Status: n.Status(), Records: state.Ledger.Len()}
		v, _ := s.Membership.Voter(s.Leader)
		s.LeaderAddress = v.Address
	})
	return s, err
}

const handOverPoll = 10 * time.Millisecond

// TransferLeadership passes the leadership on, if this replica has it, and waits until another replica
// leads or ctx ends.
func (h *Host) TransferLeadership(ctx context.Context) {
	for ctx.Err() == nil {
		leads := false
		err := h.Query(ctx, func(_ *replica.State, n *consensus.Node) {
			leads = n.Role() == consensus.RoleLeader
			if leads {
				n.Transfer()
			}
		})
		if err != nil || !leads {
			return
		}
		select {
		case <-time.After(handOverPoll):
		case <-ctx.Done():
		}
	}
}

// report logs changes of the role and of the membership.
func (h *Host) report() {
	if role := h.node.Role(); role != h.role {
		h.role = role
		h.log.Info("changed role", "role", role.String(), "term", h.node.Term(), "leader", h.node.Leader())
	}
	if place := h.node.MembershipPosition(); place != h.membership {
		h.membership = place
		m := h.node.Status().Membership
		h.reach(m)
		h.log.Info("the voters changed", "voters", describe(m), "index", place.Index)
	}
}

func describe(m consensus.Membership) string {
	var names []string
	for _, v := range m.Voters {
		names = append(names, v.ID)
	}
	return strings.Join(names, ", ")
}
