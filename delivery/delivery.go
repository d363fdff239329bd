// Package delivery decides which peers an instance asks for the newest version of a document.
//
// A document that a sound peer has named is in force after at most
//
//	NoProgressTime x (other peers that named a newer version and don't deliver it) + the time of one fetch
//
// since a fetch that makes no progress delays the next one by NoProgressTime, a fetch that fails by nothing, and
// peers that have failed lately are asked last. A fetch that makes progress is left to end if it is expected to end in
// time; otherwise another peer is tried beside it, and the slower one of both is cancelled.
package delivery

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// NoProgressTime is how long all fetches may make no progress before another peer is asked as well.
	NoProgressTime = 250 * time.Millisecond
	// minRepeatPause and maxRepeatPause bound the pause before a peer that has failed is asked again. The pause
	// doubles with each failure.
	minRepeatPause = 100 * time.Millisecond
	maxRepeatPause = 500 * time.Millisecond
	// failureMemory is how long after a failure a peer is asked after the others.
	failureMemory = 10 * time.Second
)

// Plan holds what the peers have named, and the fetches in flight. The caller passes the time, which must not go
// back, and carries out what Next returns. It is not safe for concurrent use.
type Plan struct {
	name string // of this instance
	// applyTime is the time within which a named document has to be in force; 0: no fetch is overtaken.
	applyTime time.Duration
	inForce   uint64
	peers     map[string]*peer
	newest    Named
	// behindSince is since when a newer version than the one in force has been known; zero if none is.
	behindSince time.Time
	// size is that of the document of which parts have come, and have is how much of it is there.
	have, size int
	// nextTrial is when another peer may be tried at the earliest, and trialPause the pause before that.
	nextTrial  time.Time
	trialPause time.Duration
}

// Named says which peer was the first to name a version, and when.
type Named struct {
	Version uint64
	By      string
	At      time.Time
}

// peer is the state of one peer.
type peer struct {
	address string
	// place orders the peers for this instance, so that instances that hear of a version together ask different
	// peers.
	place uint64
	// version is the newest that the peer has named, 0 if it isn't connected.
	version  uint64
	failures int
	failedAt time.Time
	// slowAt is when the peer was last slower than another one.
	slowAt time.Time
	// fetch is nil unless one is in flight.
	fetch *fetch
}

// isInFlight reports whether a fetch is in flight that was not cancelled.
func (s *peer) isInFlight() bool { return s.fetch != nil && !s.fetch.isCancelled }

// isMoving reports whether a fetch is in flight and makes progress.
func (s *peer) isMoving(now time.Time) bool {
	return s.isInFlight() && s.fetch.lastProgress.Add(NoProgressTime).After(now)
}

// IsOtherMoving reports whether a fetch from another peer than that one is in flight and makes progress.
func (p *Plan) IsOtherMoving(now time.Time, address string) bool {
	for _, s := range p.peers {
		if s.address != address && s.isMoving(now) {
			return true
		}
	}
	return false
}

// Step is what to do now. A peer in Ask or Cancel counts as asked until Ended is called for it.
type Step struct {
	// Ask is the peer to ask, or "".
	Ask string
	// Overtakes is the peer whose fetch may be overtaken by the new one, or "".
	Overtakes string
	// Version is what that peer has named.
	Version uint64
	// Cancel are peers whose fetches are no longer needed.
	Cancel []string
	// Wake is when Next has to be called again if nothing happens until then; zero means never.
	Wake time.Time
}

// New returns a plan for the instance of that name. applyTime is the time within which a named document has to be in
// force; with 0, no fetch that makes progress is overtaken by another one.
func New(name string, applyTime time.Duration) *Plan {
	return &Plan{name: name, applyTime: applyTime, peers: make(map[string]*peer)}
}

// Heard records that a peer names a version.
func (p *Plan) Heard(now time.Time, address string, version uint64) {
	s, ok := p.peers[address]
	if !ok {
		if version <= p.inForce {
			return
		}
		p.removeForgotten(now)
		s = &peer{address: address, place: xxhash.Sum64String(p.name + "\x00" + address)}
		p.peers[address] = s
	}
	s.version = version
	if version > max(p.newest.Version, p.inForce) {
		p.newest = Named{Version: version, By: address, At: now}
		if p.behindSince.IsZero() {
			p.behindSince = now
		}
	}
}

// Behind returns the newest version that was named while it was not in force, and since when a newer version than the
// one in force has been known: zero if none is.
func (p *Plan) Behind() (newest Named, since time.Time) { return p.newest, p.behindSince }

// Forget records that a peer is no longer connected. A fetch in flight goes on.
func (p *Plan) Forget(address string) {
	if s, ok := p.peers[address]; ok {
		s.version = 0
	}
}

// removeForgotten removes the peers that are not connected and have not failed lately.
func (p *Plan) removeForgotten(now time.Time) {
	for address, s := range p.peers {
		if s.version == 0 && s.fetch == nil && !s.hasFailed(now) && !s.isSlow(now) {
			delete(p.peers, address)
		}
	}
}

// InForce records that a version is in force.
func (p *Plan) InForce(version uint64) {
	if version <= p.inForce {
		return
	}
	p.inForce = version
	p.have, p.size, p.nextTrial, p.trialPause = 0, 0, time.Time{}, 0
	p.behindSince = time.Time{}
	if p.newest.Version > version {
		p.behindSince = p.newest.At
	}
}

// Progress records that bytes have come from a peer, or, if it is 0, that a connection to it was opened.
func (p *Plan) Progress(now time.Time, address string, bytes int) {
	s, ok := p.peers[address]
	if !ok || s.fetch == nil {
		return
	}
	s.fetch.lastProgress = now
	if bytes > 0 {
		s.fetch.received += bytes
		s.fetch.meter.add(now, bytes)
	}
}

// Part records that a peer has sent a part of the document, and reports whether the fetch goes on. It doesn't if it was
// overtaken by another one, or if a peer that comes first for this instance has the document too and can continue.
func (p *Plan) Part(now time.Time, address string, part Part) bool {
	s, ok := p.peers[address]
	if !ok || !s.isInFlight() {
		return false
	}
	p.have, p.size = part.Have, part.Size
	s.fetch.lastProgress = now
	s.fetch.at, s.fetch.received = part.Have, 0
	if other, otherEnd, _ := p.first(now, s); other != nil {
		end, _ := p.end(now, s)
		return part.IsNew || end.Before(otherEnd)
	}
	next := p.next(now)
	return next == nil || next.hasFailed(now) || next.isSlow(now) || next.version < s.version || next.place > s.place && !s.hasFailed(now) || s.fetch.hasOvertaken
}

// Ended records that a fetch has ended without a failure. If the peer has answered that it has nothing newer, version is
// what it has, else 0. What the peer has named since it was asked counts more.
func (p *Plan) Ended(address string, version uint64) {
	s, ok := p.peers[address]
	if !ok {
		return
	}
	if version > 0 && s.version > 0 && (s.fetch == nil || s.version <= s.fetch.version) {
		s.version = version
	}
	s.fetch, s.failures = nil, 0
}

// Failed records that a fetch has failed. One that was cancelled is no failure.
func (p *Plan) Failed(now time.Time, address string) {
	s, ok := p.peers[address]
	if !ok {
		return
	}
	wasCancelled := s.fetch != nil && s.fetch.isCancelled
	s.fetch = nil
	if !wasCancelled {
		s.fail(now)
	}
}

func (s *peer) fail(now time.Time) {
	if !s.hasFailed(now) {
		s.failures = 0
	}
	s.failures++
	s.failedAt = now
}

// hasFailed reports whether a peer has failed lately.
func (s *peer) hasFailed(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < failureMemory
}

// askableAt returns when the peer may be asked again. The pause differs between instances, so that these don't
// come back together.
func (s *peer) askableAt() time.Time {
	if s.failures == 0 {
		return time.Time{}
	}
	pause := minRepeatPause
	for range s.failures - 1 {
		pause = min(2*pause, maxRepeatPause)
	}
	const steps = 256
	return s.failedAt.Add(pause/2 + pause/2*time.Duration(s.place%steps)/steps)
}

// Next returns what to do. It is called after each event, until it names no peer to ask.
func (p *Plan) Next(now time.Time) Step {
	step := Step{Cancel: p.cancelOutdated(now)}
	if slower := p.decideTrial(now); slower != "" {
		step.Cancel = append(step.Cancel, slower)
	}
	if wake := p.stallTime(); wake.After(now) {
		step.Wake = wake
		if p.applyTime > 0 {
			step.Wake = earlier(wake, now.Add(checkInterval))
		}
		if s := p.overtaker(now); s != nil {
			slow, _, _ := p.first(now, nil)
			p.begin(now, s)
			s.fetch.isTrial = true
			step.Ask, step.Version, step.Overtakes = s.address, s.version, slow.address
		}
		return step
	}
	if s := p.next(now); s != nil {
		p.begin(now, s)
		step.Ask, step.Version, step.Wake = s.address, s.version, now.Add(NoProgressTime)
		return step
	}
	for _, s := range p.peers {
		if at := s.askableAt(); s.fetch == nil && s.version > p.inForce && (step.Wake.IsZero() || at.Before(step.Wake)) {
			step.Wake = at
		}
	}
	return step
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// begin records that a peer is asked.
func (p *Plan) begin(now time.Time, s *peer) {
	s.fetch = &fetch{version: s.version, lastProgress: now, at: p.have}
}

// cancelOutdated returns the peers that were asked for versions that are no longer needed. A fetch without progress
// counts as failed, so that its peer isn't the first to be asked for the next version.
func (p *Plan) cancelOutdated(now time.Time) []string {
	var out []string
	for address, s := range p.peers {
		if !s.isInFlight() || s.fetch.version > p.inForce {
			continue
		}
		s.fetch.isCancelled = true
		if now.Sub(s.fetch.lastProgress) >= NoProgressTime {
			s.fail(now)
		}
		out = append(out, address)
	}
	slices.Sort(out)
	return out
}

// stallTime returns until when the fetches in flight count as making progress.
func (p *Plan) stallTime() time.Time {
	var latest time.Time
	for _, s := range p.peers {
		if !s.isInFlight() {
			continue
		}
		if at := s.fetch.lastProgress.Add(NoProgressTime); at.After(latest) {
			latest = at
		}
	}
	return latest
}

// next returns the peer to ask next, or nil.
func (p *Plan) next(now time.Time) *peer {
	var best *peer
	for _, s := range p.peers {
		if s.fetch != nil || s.version <= p.inForce || s.askableAt().After(now) {
			continue
		}
		if best == nil || p.compare(now, s, best) < 0 {
			best = s
		}
	}
	return best
}

// compare orders peers by which is asked first: those that have not failed, and those whose failure was longer ago,
// then those that were not slow, then those with the newest version, then by the order of this instance.
func (p *Plan) compare(now time.Time, a, b *peer) int {
	failedAt := func(s *peer) int64 {
		if !s.hasFailed(now) {
			return 0
		}
		return s.failedAt.UnixNano()
	}
	slow := func(s *peer) int {
		if s.isSlow(now) {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(failedAt(a), failedAt(b)), cmp.Compare(slow(a), slow(b)), cmp.Compare(b.version, a.version), cmp.Compare(a.place, b.place),
		cmp.Compare(a.address, b.address))
}
