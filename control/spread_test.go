package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
)

// Guards against a change that is acknowledged while its leader alone knows that it is committed: once that one is lost, the
// change is in force nowhere until another leader is elected.
func TestAcknowledgedChangesAreInForceAtAQuorum(t *testing.T) {
	for name, load := range quotaLoads {
		t.Run(name, func(t *testing.T) {
			g := newQuotaGroup(t, 1, load)
			g.awaitLeader(20 * time.Second)
			for n := range uint64(30) {
				c := []replica.Command{
					{Publish: &replica.Publish{Version: n + 1, Document: []byte("document")}},
					{Change: &config.Change{ID: fmt.Sprint(n), Base: fmt.Sprint(n)}},
					{Drain: &replica.Drain{Server: fmt.Sprint("advice-", n), On: true}},
				}[n%3]
				g.commit(c)
				if inForce, stored := g.replicasWith(g.newest()); min(inForce, stored) < len(g.processes)/2+1 {
					t.Fatalf("%+v is acknowledged; it is in force at %d of %d replicas, and %d have stored that it is committed", c, inForce, len(g.processes), stored)
				}
			}
		})
	}
}

// followed is what all instances follow.
type followed struct{ view, document uint64 }

func (h *Host) followed() followed { return followed{h.state.ViewIndex(), h.state.Routing.Version} }

// newest returns the newest of what is in force at a replica.
func (g *quotaGroup) newest() followed {
	var newest followed
	for _, p := range g.processes {
		f := p.followed()
		newest = followed{max(newest.view, f.view), max(newest.document, f.document)}
	}
	return newest
}

// replicasWith returns the number of replicas at which that is in force, and of those at which it would be right after a loss of
// power.
func (g *quotaGroup) replicasWith(f followed) (inForce, stored int) {
	for _, p := range g.processes {
		if p.followed() == f {
			inForce++
		}
		if p.restarted().followed() == f {
			stored++
		}
	}
	return inForce, stored
}

// restarted returns a host that has applied what is known to be committed after a loss of power.
func (p *quotaProcess) restarted() *Host {
	h := &Host{options: Options{ID: p.name, Voters: []string{p.name}}, storage: p}
	stored := p.stored
	stored.Entries, stored.HardState.Commit = slices.Clone(stored.Entries), p.syncedCommit
	if err := h.initialize(stored); err != nil {
		p.g.t.Fatal(err)
	}
	for _, e := range h.node.Ready().Committed {
		h.apply(e)
	}
	return h
}

// Guards against a change that is applied and gets ErrBusy, which says that it is not, because the log is full when its commit
// is about to be spread.
func TestAppliedChangeWaitsForRoomInTheLog(t *testing.T) {
	is := is.New(t)
	d := &failingStorage{}
	h := newTestHost(t, d, &peerRecorder{disk: d})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	is.NoErr(commit(t, h))
	stop()
	is.NoErr(<-ended)
	var err error
	for err == nil {
		_, _, err = h.node.Propose(nil)
	}
	is.True(errors.Is(err, consensus.ErrBusy))
	p := &proposal{result: make(chan proposalResult, 1)}
	h.spreading = []*waiter{{proposals: []*proposal{p}, result: &replica.Result{}}}
	h.spreadCommits()
	is.Equal(len(p.result), 0)
	is.NoErr(h.process())
	is.NoErr((<-p.result).err)
}
