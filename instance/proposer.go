package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/rotisserie/eris"
)

// ErrNoQuorum means that no control instance could commit the command in time. The command may
// still be committed later.
var ErrNoQuorum = errors.New("instance: no control instance could commit the command in time")

// maxProposeTimeout bounds the wait for a control instance whose kernel has acknowledged all of a command.
const maxProposeTimeout = 2 * time.Second

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

// attempt is the end of one attempt.
type attempt struct {
	address string
	started time.Time
	resp    *wire.ProposeResponse
	err     error
}

// Propose returns the result of the command, or ErrNoQuorum if ctx ends first. A control instance that is late is still
// listened to while others are asked.
func (p *Proposer) Propose(ctx context.Context, c replica.Command) (replica.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return replica.Result{}, eris.Wrap(err, "instance: encode command")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan attempt)
	a := newAttempts()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for turn := 0; ; {
		select {
		case <-ctx.Done():
			return replica.Result{}, fmt.Errorf("%w (%s)", ErrNoQuorum, a.describe(time.Now()))
		case e := <-ended:
			if e.err == nil && e.resp.Status == wire.ProposeResponse_STATUS_APPLIED {
				p.setLeader(e.address)
				return replica.DecodeResult(e.resp.Result)
			}
			a.end(time.Now(), e.address, p.recordEnd(e, a.isOpen))
		case <-timer.C:
		}
		now := time.Now()
		for _, address := range a.takeOverdue(now) {
			p.recordLate(address, a.open[address])
		}
		if !now.Before(a.next) {
			if address := p.pickTarget(turn, a.isOpen); address != "" {
				a.begin(now, address)
				turn++
				go func() {
					resp, err := p.proposeOnce(ctx, address, data)
					select {
					case ended <- attempt{address: address, started: now, resp: resp, err: err}:
					case <-ctx.Done():
					}
				}()
			} else {
				a.postpone(now)
			}
		}
		timer.Reset(time.Until(a.next))
	}
}

// proposeOnce makes one attempt. The leader adds a command to the log once, however often it is sent until then.
func (p *Proposer) proposeOnce(ctx context.Context, address string, data []byte) (*wire.ProposeResponse, error) {
	pc := p.takeIdle(address)
	var resp *wire.ProposeResponse
	propose := func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		req := &wire.ProposeRequest{Command: data, TimeoutMs: uint64(maxProposeTimeout.Milliseconds())}
		resp, err = c.Propose(ctx, req)
		return err
	}
	err := pc.callWhileMoving(ctx, proposeTimeout, maxProposeTimeout, propose)
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

// recordEnd records an attempt that has ended without a result. It returns the control instance to ask next, which may be
// asked already, or "".
func (p *Proposer) recordEnd(e attempt, isAsked func(string) bool) string {
	p.forgetLeader(e.address)
	if e.err != nil {
		p.recordFailure(e.address, e.started)
		return ""
	}
	leader := e.resp.Leader
	if leader == e.address || !isAsked(leader) && !p.followHint(leader) {
		return ""
	}
	return leader
}

// recordLate records that a control instance has not answered an attempt in time.
func (p *Proposer) recordLate(address string, started time.Time) {
	p.forgetLeader(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidSilent(address, started)
}

// avoidSilent avoids a control instance if no response has arrived since an attempt that has taken too long. The caller
// holds the lock.
func (p *Proposer) avoidSilent(address string, started time.Time) {
	if time.Since(started) >= proposeTimeout && p.lastAnswered[address].Before(started) {
		p.avoided[address] = time.Now().Add(avoidDuration)
	}
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
	p.avoidSilent(address, started)
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
// but an avoided one only if all are avoided. It returns "" if there is none that isn't asked already.
func (p *Proposer) pickTarget(turn int, isAsked func(string) bool) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != "" && !isAsked(p.leader) {
		return p.leader
	}
	avoided := ""
	for i := range p.voters {
		address := p.voters[(turn+i)%len(p.voters)]
		switch {
		case isAsked(address):
		case !p.isAvoided(address):
			return address
		case avoided == "":
			avoided = address
		}
	}
	return avoided
}

// forgetLeader records that a control instance is not known to lead.
func (p *Proposer) forgetLeader(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader == address {
		p.leader = ""
	}
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
