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

// lateReplica leads if it names itself as the leader, and has a result after a time.
type lateReplica struct {
	Replica
	address, leader string
	takes           time.Duration
}

func (r *lateReplica) Propose(ctx context.Context, _ []byte) (replica.Result, error) {
	if r.address != r.leader {
		return replica.Result{}, consensus.ErrNotLeader
	}
	select {
	case <-time.After(r.takes):
		return replica.Result{Publish: &replica.PublishResult{Version: 7}}, nil
	case <-ctx.Done():
		return replica.Result{}, ctx.Err()
	}
}

func (r *lateReplica) Leader(context.Context) string { return r.leader }

// Guards against calls of operators that fail though there is a leader, since it needs longer than 400 ms.
func TestLateLeaderAnswersProposals(t *testing.T) {
	is := is.New(t)
	var addresses []string
	for range 3 {
		l := listenLocal(t)
		addresses = append(addresses, l.Addr().String())
		r := &lateReplica{address: l.Addr().String(), leader: addresses[0], takes: 600 * time.Millisecond}
		go func() { _ = NewServer(r, nil).Serve(t.Context(), l) }()
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
	hanging, leader := listenLocal(t), listenLocal(t) // nobody accepts at the first
	r := &lateReplica{address: leader.Addr().String(), leader: leader.Addr().String()}
	go func() { _ = NewServer(r, nil).Serve(t.Context(), leader) }()
	dialer, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
	is.NoErr(err)
	p := NewProposer(dialer, []string{hanging.Addr().String(), leader.Addr().String()})
	ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
	defer cancel()
	_, err = p.Propose(ctx, replica.Command{})
	is.NoErr(err)
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
