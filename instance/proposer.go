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

// ErrNoQuorum means that no control instance could commit the command in time. It may
// still be committed later.
var ErrNoQuorum = errors.New("instance: no control instance could commit the command in time")

const (
	// proposeTimeout bounds one try; the leader may have been frozen or cut off.
	proposeTimeout = 400 * time.Millisecond
	proposePause   = 25 * time.Millisecond
)

// Proposer runs commands through the control instances. Commands are sent again until one
// is known to be applied, so they must be idempotent.
type Proposer struct {
	dialer Dialer
	voters []string
	mu     sync.Mutex
	leader string
	// avoided are the control instances that have not answered, and until when others are
	// asked first. A follower may name a leader that was frozen as long as it hasn't noticed.
	avoided map[string]time.Time
	// answered is when each control instance last answered.
	answered map[string]time.Time
	idle     map[string][]*link
}

// NewProposer returns a proposer that knows the addresses of the control instances.
func NewProposer(d Dialer, voters []string) *Proposer {
	return &Proposer{dialer: d, voters: voters, avoided: make(map[string]time.Time), answered: make(map[string]time.Time), idle: make(map[string][]*link)}
}

// Know replaces the addresses of the control instances; an empty list changes nothing.
func (p *Proposer) Know(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(addresses) > 0 {
		p.voters = addresses
	}
}

// Propose returns the command's result, or ErrNoQuorum when ctx ends first.
func (p *Proposer) Propose(ctx context.Context, c replica.Command) (replica.Result, error) {
	data, err := c.Encode()
	if err != nil {
		return replica.Result{}, eris.Wrap(err, "instance: encode command")
	}
	for try := 0; ctx.Err() == nil; try++ {
		address := p.target(try)
		started := time.Now()
		resp, err := p.try(ctx, address, data)
		if err == nil && resp.Status == wire.ProposeResponse_STATUS_APPLIED {
			p.setLeader(address)
			return replica.DecodeResult(resp.Result)
		}
		p.setLeader("")
		if err != nil {
			p.failed(address, started)
		}
		if err == nil && resp.Leader != address && p.follow(resp.Leader) {
			continue
		}
		pause(ctx, proposePause)
	}
	return replica.Result{}, ErrNoQuorum
}

func (p *Proposer) try(ctx context.Context, address string, data []byte) (*wire.ProposeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	l := p.take(address)
	var resp *wire.ProposeResponse
	err := l.call(ctx, func(ctx context.Context, c wire.DRPCInstanceClient) error {
		var err error
		req := &wire.ProposeRequest{Command: data, TimeoutMs: uint64(proposeTimeout.Milliseconds())}
		resp, err = c.Propose(ctx, req)
		return err
	})
	if err == nil {
		p.release(l)
		p.heard(address)
	}
	return resp, err
}

// avoidTime is for how long a control instance that did not answer is asked last.
const avoidTime = time.Second

// heard notes that a control instance answers.
func (p *Proposer) heard(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[address] = time.Now()
	delete(p.avoided, address)
}

// failed notes a try that brought no answer. A connection that broke says that the process
// behind it has ended, and so the idle ones are of no use either; it may run again already.
func (p *Proposer) failed(address string, started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle[address] {
		l.close()
	}
	delete(p.idle, address)
	if time.Since(started) >= proposeTimeout && p.answered[address].Before(started) {
		p.avoided[address] = time.Now().Add(avoidTime)
	}
}

// follow takes the leader that a control instance has named, unless it did not answer lately.
func (p *Proposer) follow(leader string) bool {
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

// target returns the leader when it is known, else each control instance in turn, those that
// did not answer lately only when there is no other.
func (p *Proposer) target(try int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != "" {
		return p.leader
	}
	for i := range p.voters {
		if address := p.voters[(try+i)%len(p.voters)]; !p.isAvoided(address) {
			return address
		}
	}
	return p.voters[try%len(p.voters)]
}

func (p *Proposer) setLeader(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = address
}

// maxIdleLinks bounds the open connections to one control instance that are not in use.
const maxIdleLinks = 64

func (p *Proposer) take(address string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return &link{dialer: p.dialer, address: address}
	}
	l := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return l
}

func (p *Proposer) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[l.address]) >= maxIdleLinks {
		l.close()
		return
	}
	p.idle[l.address] = append(p.idle[l.address], l)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
