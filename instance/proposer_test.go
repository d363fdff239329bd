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
	is.Equal(p.pickTarget(0), "")
	ctx, cancel := context.WithTimeout(t.Context(), 2*proposeRetryDelay)
	defer cancel()
	_, err := p.Propose(ctx, replica.Command{})
	is.True(errors.Is(err, ErrNoQuorum))
}

// slowReplica commits what is proposed to it when committed is closed. Without that channel it is a follower of the leader.
type slowReplica struct {
	committed <-chan struct{}
	leader    string
	proposals atomic.Int64
}

func (r *slowReplica) Receive(consensus.Message) {}

func (r *slowReplica) Propose(ctx context.Context, _ []byte) (replica.Result, error) {
	r.proposals.Add(1)
	if r.committed == nil {
		return replica.Result{}, consensus.ErrNotLeader
	}
	select {
	case <-r.committed:
		return replica.Result{}, nil
	case <-ctx.Done():
		return replica.Result{}, ctx.Err()
	}
}

func (r *slowReplica) Leader(context.Context) string { return r.leader }

// serve returns the address at which the replica is served.
func (r *slowReplica) serve(t *testing.T) string {
	l := listenLocal(t)
	go func() { _ = NewServer(r, nil).Serve(t.Context(), l) }()
	return l.Addr().String()
}

// Pattern: commits take longer than an attempt to propose, as with slow disks and throttled processes. Guards against
// proposers that take the leader for lost, avoid it and ask its followers again and again who leads.
func TestLeaderWhoseCommitsAreSlowIsNotAvoided(t *testing.T) {
	is := is.New(t)
	committed := make(chan struct{})
	time.AfterFunc(proposeTimeout+proposeTimeout/2, func() { close(committed) })
	leader, follower := &slowReplica{committed: committed}, &slowReplica{}
	address := leader.serve(t)
	follower.leader = address
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

func TestDelayOfProposalsIsBounded(t *testing.T) {
	is := is.New(t)
	var delays []time.Duration
	for fruitless := range 5 {
		delays = append(delays, retryDelay(fruitless))
	}
	is.Equal(delays, []time.Duration{25e6, 50e6, 100e6, 100e6, 100e6})
	is.Equal(retryDelay(1000), maxProposeRetryDelay)
}
