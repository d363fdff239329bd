package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

// ErrNoQuorum means that no control instance could commit the command in time. The command may
// still be committed later.
var ErrNoQuorum = errors.New("instance: no control instance could commit the command in time")

const (
	// proposeTimeout bounds one attempt, since the leader may be paused or unreachable. One that runs says within
	// commitTimeout that the commit takes longer.
	proposeTimeout = 400 * time.Millisecond
	commitTimeout  = 300 * time.Millisecond
	// proposeGrace is the last part of proposeTimeout, as in patientTimer.
	proposeGrace = 100 * time.Millisecond
	// proposeRetryDelay is the delay before another attempt. It doubles up to maxProposeRetryDelay while no leader is
	// found, when the control instances may be busy with an election.
	proposeRetryDelay    = 25 * time.Millisecond
	maxProposeRetryDelay = 100 * time.Millisecond
	// largeCommandBytes is the size from which on an attempt may take longer, as long as the command is on its way.
	largeCommandBytes = 16 << 10
)

// Proposer proposes commands to the control instances. It resends a command until the command
// is known to be applied, so commands must be idempotent. It is safe for concurrent use.
type Proposer struct {
	dialer Dialer
	voters []string
	mu     sync.Mutex
	leader string
	// avoided maps each control instance that did not respond to the time until which other control
	// instances are preferred to it. It is needed because a follower may name a paused leader until
	// the follower detects the pause.
	avoided map[string]time.Time
	// lastAnswered is the time of the latest response of each control instance.
	lastAnswered map[string]time.Time
	idle         map[string][]*peerConn
}

// NewProposer returns a proposer for the control instances at the given addresses.
func NewProposer(d Dialer, voters []string) *Proposer {
	return &Proposer{dialer: d, voters: voters, avoided: make(map[string]time.Time), lastAnswered: make(map[string]time.Time), idle: make(map[string][]*peerConn)}
}

// SetVoters replaces the addresses of the control instances; an empty list is ignored.
func (p *Proposer) SetVoters(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(addresses) > 0 {
		p.voters = addresses
	}
}

// Propose returns the result of the command, or ErrNoQuorum if ctx ends first.
func (p *Proposer) Propose(ctx context.Context, c replica.Command) (replica.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return replica.Result{}, eris.Wrap(err, "instance: encode command")
	}
	fruitless := 0
	for attempt := 0; ctx.Err() == nil; attempt++ {
		address := p.pickTarget(attempt)
		if address == "" {
			sleep(ctx, proposeRetryDelay)
			continue
		}
		started := time.Now()
		resp, err := p.proposeOnce(ctx, address, data)
		if err == nil && resp.Status == wire.ProposeResponse_STATUS_APPLIED {
			p.setLeader(address)
			return replica.DecodeResult(resp.Result)
		}
		p.setLeader("")
		if err != nil {
			p.recordFailure(address, started)
		}
		if err == nil && resp.Leader != address && p.followHint(resp.Leader) {
			continue
		}
		if err == nil && resp.Status == wire.ProposeResponse_STATUS_TIMEOUT {
			fruitless = 0
		}
		sleep(ctx, retryDelay(fruitless))
		fruitless++
	}
	return replica.Result{}, ErrNoQuorum
}

// retryDelay returns the delay after an attempt that has found no leader, like a number of attempts before it.
func retryDelay(fruitless int) time.Duration {
	return min(proposeRetryDelay<<min(fruitless, 8), maxProposeRetryDelay)
}

// proposeOnce makes one attempt. The leader adds a command to the log once, however often it is sent until then.
func (p *Proposer) proposeOnce(ctx context.Context, address string, data []byte) (*wire.ProposeResponse, error) {
	pc := p.takeIdle(address)
	var resp *wire.ProposeResponse
	propose := func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		req := &wire.ProposeRequest{Command: data, TimeoutMs: uint64(commitTimeout.Milliseconds())}
		resp, err = c.Propose(ctx, req)
		return err
	}
	var err error
	if len(data) >= largeCommandBytes {
		err = pc.callWhileMoving(ctx, proposeTimeout, propose)
	} else {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer newPatientTimer(proposeTimeout, proposeGrace, cancel).Stop()
		err = pc.call(ctx, propose)
	}
	if err == nil {
		p.putIdle(pc)
		p.recordAnswer(address)
	}
	return resp, err
}

// avoidDuration is the time for which the proposer prefers other control instances to one that did
// not respond.
const avoidDuration = time.Second

// recordAnswer records that a control instance responded.
func (p *Proposer) recordAnswer(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswered[address] = time.Now()
	delete(p.avoided, address)
}

// recordFailure records an attempt without a response. It closes the idle connections to the
// control instance: if a connection broke because the process behind it ended, the idle
// connections are broken as well, even if the process has already restarted. The control instance
// is avoided if the attempt timed out and no response has arrived since the attempt started.
func (p *Proposer) recordFailure(address string, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pc := range p.idle[address] {
		pc.close()
	}
	delete(p.idle, address)
	if time.Since(started) >= proposeTimeout && p.lastAnswered[address].Before(started) {
		p.avoided[address] = time.Now().Add(avoidDuration)
	}
}

// followHint records the address that a control instance has named as the leader's, unless that
// address is avoided because it did not respond recently. It reports whether it recorded the
// address.
func (p *Proposer) followHint(leader string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leader == "" || p.isAvoided(leader) {
		return false
	}
	p.leader = leader
	return true
}

func (p *Proposer) isAvoided(address string) bool {
	until, ok := p.avoided[address]
	if ok && time.Now().After(until) {
		delete(p.avoided, address)
		return false
	}
	return ok
}

// pickTarget returns the leader if it is known. Otherwise it returns the control instances in turn,
// but an avoided one only if all are avoided. It returns "" if none is known.
func (p *Proposer) pickTarget(attempt int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != "" || len(p.voters) == 0 {
		return p.leader
	}
	for i := range p.voters {
		if address := p.voters[(attempt+i)%len(p.voters)]; !p.isAvoided(address) {
			return address
		}
	}
	return p.voters[attempt%len(p.voters)]
}

func (p *Proposer) setLeader(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = address
}

// maxIdleConns bounds the idle connections to one control instance.
const maxIdleConns = 64

func (p *Proposer) takeIdle(address string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return &peerConn{dialer: p.dialer, address: address}
	}
	pc := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return pc
}

func (p *Proposer) putIdle(pc *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[pc.address]) >= maxIdleConns {
		pc.close()
		return
	}
	p.idle[pc.address] = append(p.idle[pc.address], pc)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
