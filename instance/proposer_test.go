package instance

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
)

// Guards against a panic of an instance that knows no control instance yet.
func TestProposerWithoutControlInstancesReportsNoQuorum(t *testing.T) {
	is := is.New(t)
	p := NewProposer(Dialer{}, nil)
	is.Equal(p.pickTarget(0, newAttempts().isOpen), "")
	ctx, cancel := context.WithTimeout(t.Context(), 2*proposeRetryDelay)
	defer cancel()
	_, err := p.Propose(ctx, replica.Command{})
	is.True(errors.Is(err, ErrNoQuorum))
}

// slowReplica is a follower of leader or, if leads is set, has the result of a proposal after a time.
type slowReplica struct {
	leads     bool
	leader    string
	takes     time.Duration
	committed <-chan struct{} // what a proposal waits for as well, unless it is nil
	proposals atomic.Int64
}

func (r *slowReplica) Receive(consensus.Message) {}

func (r *slowReplica) Propose(ctx context.Context, _ []byte) (replica.Result, error) {
	r.proposals.Add(1)
	if !r.leads {
		return replica.Result{}, consensus.ErrNotLeader
	}
	time.Sleep(r.takes)
	if r.committed != nil {
		<-r.committed
	}
	return replica.Result{Publish: &replica.PublishResult{Version: 7}}, ctx.Err()
}

func (r *slowReplica) Leader(context.Context) string { return r.leader }

// serve returns the address at which the replica is served.
func (r *slowReplica) serve(t *testing.T) string {
	l := listenLocal(t)
	go func() { _ = NewServer(r, nil).Serve(t.Context(), l) }()
	return l.Addr().String()
}

// Guards against calls of operators that fail though there is a leader, since it needs longer than 400 ms.
func TestLateLeaderAnswersProposals(t *testing.T) {
	is := is.New(t)
	leader := &slowReplica{leads: true, takes: 600 * time.Millisecond}
	addresses := []string{leader.serve(t)}
	for range 2 {
		addresses = append(addresses, (&slowReplica{leader: addresses[0]}).serve(t))
	}
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	p := NewProposer(dialer, addresses)
	for range 3 { // an attempt that was late keeps the next ones from no leader
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		result, err := p.Propose(ctx, replica.Command{})
		cancel()
		is.NoErr(err)
		is.Equal(result.Publish.Version, uint64(7))
	}
}

// Guards against an instance that waits for a leader which doesn't answer while another one leads.
func TestProposerFindsTheNextLeaderBesideOneThatHangs(t *testing.T) {
	is := is.New(t)
	hanging := listenLocal(t) // nobody accepts
	leader := &slowReplica{leads: true}
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	p := NewProposer(dialer, []string{hanging.Addr().String(), leader.serve(t)})
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	_, err = p.Propose(ctx, replica.Command{})
	is.NoErr(err)
}

// Pattern: commits take longer than an attempt to propose, as with slow disks and throttled processes. Guards against
// proposers that take the leader for lost, avoid it and ask its followers again and again who leads.
func TestLeaderWhoseCommitsAreSlowIsNotAvoided(t *testing.T) {
	is := is.New(t)
	leader := &slowReplica{leads: true, takes: proposeTimeout + proposeTimeout/2}
	address := leader.serve(t)
	follower := &slowReplica{leader: address}
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	p := NewProposer(dialer, []string{address, follower.serve(t)})
	_, err = p.Propose(t.Context(), replica.Command{})
	is.NoErr(err)
	is.True(follower.proposals.Load() <= 3) // not once in each proposeRetryDelay
}

// Pattern: the leader is lost or late for a while, and all gateways have commands to propose. Guards against proposers that ask
// the other control instances 40 times a second each, which keeps them from electing a leader.
func TestProposersAskSeldomWhileNobodyLeads(t *testing.T) {
	is := is.New(t)
	follower := &slowReplica{}
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	p := NewProposer(dialer, []string{follower.serve(t)})
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = p.Propose(ctx, replica.Command{})
	is.True(errors.Is(err, ErrNoQuorum))
	is.True(follower.proposals.Load() <= 15)
}
