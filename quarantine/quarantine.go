// Package quarantine finds requests that crash the backend servers that run them.
//
// A request is identified by its content rather than by its id, so that all instances recognize a
// request that its caller sends again. When a server crashes, every request that was running on it
// becomes a suspect, unless some of them were suspects already (see Tracker.Crashed). Suspects run
// in isolation, at most one on a server. When a second server crashes while it runs the same
// content, that content is quarantined and is not run again.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"slices"
	"sync"
	"time"
)

const (
	// TTL is how long a suspicion or a quarantine lasts after the last crash.
	TTL = 10 * time.Minute
	// crashesToQuarantine is the number of different servers that must crash while they run a
	// request before the request is quarantined.
	crashesToQuarantine = 2
	// maxSharedCrashes is the number of crashes that a suspect may share with other suspects until it is
	// blamed.
	maxSharedCrashes = 2
	// crashReportTimeout is the longest time between the end of a run by a reset and the report
	// that its server crashed. A crash that is reported later is not attributed to the run.
	crashReportTimeout = 5 * time.Second
	// maxRecords limits the number of requests that are tracked; the oldest is dropped first.
	maxRecords = 2048
)

// Fingerprint identifies a request by its content.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. The content is hashed in parts, each with its
// length, so that parts can't be shifted into each other. It does not allocate.
func NewFingerprint(workspace, service string, body []byte, target ...string) Fingerprint {
	h := hashers.Get().(*hasher)
	defer hashers.Put(h)
	h.Reset()
	h.addString(workspace)
	h.addString(service)
	h.add(body)
	for _, part := range target {
		h.addString(part)
	}
	return Fingerprint(binary.LittleEndian.Uint64(h.Sum(h.buffer[:0])))
}

// hasher is a reusable hash with a buffer for the conversion of strings.
type hasher struct {
	hash.Hash
	buffer []byte
}

var hashers = sync.Pool{New: func() any { return &hasher{Hash: sha256.New(), buffer: make([]byte, 0, 256)} }}

func (h *hasher) add(part []byte) {
	h.buffer = binary.LittleEndian.AppendUint64(h.buffer[:0], uint64(len(part)))
	h.Write(h.buffer)
	h.Write(part)
}

func (h *hasher) addString(part string) {
	h.buffer = binary.LittleEndian.AppendUint64(h.buffer[:0], uint64(len(part)))
	h.buffer = append(h.buffer, part...)
	h.Write(h.buffer)
}

// Verdict states how a request may run.
type Verdict int

// The verdicts.
const (
	// Clear means that no crash is known for the request.
	Clear Verdict = iota
	// Suspect means that a server crashed while it ran the request, so it runs in isolation.
	Suspect
	// Quarantined means that the request must not run.
	Quarantined
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Clear:
		return "clear"
	case Suspect:
		return "suspect"
	default:
		return "quarantined"
	}
}

// Run is one request on one server.
type Run struct {
	Request     string
	Fingerprint Fingerprint
	Server      string
	Incarnation uint64
}

// runState is a run in progress, or one that ended recently with a reset.
type runState struct {
	Run
	started      time.Time
	suspect      bool      // runs in isolation
	resetAt      time.Time // zero until the run ends with a reset
	waiting      bool      // the request waits for a server, so it reserves none
	crashHandled bool
}

// Finding reports to other instances that servers crashed while they ran a request.
type Finding struct {
	Fingerprint Fingerprint
	Servers     []string
	// Presumed are the crashes of servers in Servers that are not certain.
	Presumed []PresumedCrash
	Expires  time.Time
}

// Tracker holds the runs and records of one instance. It is not safe for concurrent use.
type Tracker struct {
	runs    []*runState
	records map[Fingerprint]*record
	// peerReservations holds the servers on which other instances run suspects, with the time at
	// which each reservation expires.
	peerReservations map[string]time.Time
	// released holds, by request, the servers whose earlier crashes no longer count.
	released map[Fingerprint]*release
	// returned holds when incarnations became available again after their leases had run out.
	returned map[Crash]time.Time
	history  history
}

// release holds the servers whose crashes don't count for a request until the release expires.
type release struct {
	servers []string
	expires time.Time
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		records:          make(map[Fingerprint]*record),
		peerReservations: make(map[string]time.Time),
		released:         make(map[Fingerprint]*release),
		returned:         make(map[Crash]time.Time),
	}
}

// String returns the fingerprint as 16 hexadecimal digits, the form that operators use.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Pending returns the runs that ended with a reset and can still be blamed for a crash that is
// reported later.
func (t *Tracker) Pending(now time.Time) []Run {
	t.dropExpiredRuns(now)
	var out []Run
	for _, r := range t.runs {
		if !r.resetAt.IsZero() && !r.crashHandled {
			out = append(out, r.Run)
		}
	}
	return out
}

// Check returns how the request may run.
func (t *Tracker) Check(now time.Time, f Fingerprint) Verdict {
	r, ok := t.records[f]
	switch {
	case !ok || !now.Before(r.expires):
		return Clear
	case t.unexplained(r) >= crashesToQuarantine:
		return Quarantined
	default:
		return Suspect
	}
}

// unexplained returns the number of crashes without a common cause.
func (t *Tracker) unexplained(r *record) int {
	servers := r.servers()
	ranOn := func(c Crash) bool { return slices.Contains(servers, c.Server) }
	excused := 0
	for _, server := range servers {
		isExcused := func(c attributedCrash) bool { return c.Server == server && t.history.hasCommonCause(c.At, ranOn) }
		if excused < maxExcused && slices.ContainsFunc(r.crashes, isExcused) {
			excused++
		}
	}
	return len(servers) - excused
}

// HasRecentCrash reports whether a server crashed so recently that further crashes may have the same
// cause.
func (t *Tracker) HasRecentCrash(now time.Time) bool {
	return slices.ContainsFunc(t.history.crashes, func(s serverCrash) bool { return now.Sub(s.at) <= commonCauseWindow })
}

// AddServerCrash records that a server crashed, whatever it was running.
func (t *Tracker) AddServerCrash(now time.Time, c Crash) { t.history.add(now, c) }

// Started records that a server was given a request.
func (t *Tracker) Started(now time.Time, r Run) {
	t.dropExpiredRuns(now)
	t.runs = append(t.runs, &runState{Run: r, started: now, suspect: t.Check(now, r.Fingerprint) == Suspect})
}

// Ended records that a run has ended; reset means that the server closed the connection without an
// answer. Only a run that ended with a reset can be blamed for a crash that is reported later.
func (t *Tracker) Ended(now time.Time, request, server string, reset bool) {
	i := slices.IndexFunc(t.runs, func(r *runState) bool {
		return r.Request == request && r.Server == server && r.resetAt.IsZero()
	})
	if i < 0 {
		return
	}
	if reset {
		t.runs[i].resetAt = now
		return
	}
	t.runs = slices.Delete(t.runs, i, i+1)
}

// Survived records that a server has run a part of a suspect without crashing, so that the run
// needs no further isolation.
func (t *Tracker) Survived(request, server string) {
	for _, r := range t.runs {
		if r.Request == request && r.Server == server {
			r.suspect = false
		}
	}
}

func (t *Tracker) dropExpiredRuns(now time.Time) {
	t.runs = slices.DeleteFunc(t.runs, func(r *runState) bool {
		return !r.resetAt.IsZero() && now.Sub(r.resetAt) > crashReportTimeout
	})
}

// Crashed records that an incarnation of a server has certainly crashed, and returns the findings to
// send to other instances, one for each request that is blamed. If exactly one of the requests on the
// server was a suspect, only that one is blamed. If several were suspects, none is blamed, but for those
// to which that has happened maxSharedCrashes times. A crash that was presumed so far becomes certain.
func (t *Tracker) Crashed(now time.Time, server string, incarnation uint64) []Finding {
	out := t.Confirm(now, Crash{Server: server, Incarnation: incarnation})
	return append(out, t.crashed(now, server, incarnation, true)...)
}

// PresumeCrashed is like Crashed for a server whose lease has run out, which may have been only silent:
// Returned withdraws the crash.
func (t *Tracker) PresumeCrashed(now time.Time, server string, incarnation uint64) []Finding {
	return t.crashed(now, server, incarnation, false)
}

// Confirm makes the presumed crashes of an incarnation certain, and returns the findings that have
// changed.
func (t *Tracker) Confirm(now time.Time, crash Crash) []Finding {
	var out []Finding
	for f, r := range t.records {
		i := slices.IndexFunc(r.crashes, func(c attributedCrash) bool { return !c.isCertain && c.Crash == crash })
		if i < 0 || !now.Before(r.expires) {
			continue
		}
		c := r.crashes[i]
		c.isCertain = true
		r.add(c)
		out = append(out, t.finding(f))
	}
	slices.SortFunc(out, func(a, b Finding) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (t *Tracker) crashed(now time.Time, server string, incarnation uint64, isCertain bool) []Finding {
	var affected []*runState
	t.dropExpiredRuns(now)
	t.history.add(now, Crash{Server: server, Incarnation: incarnation})
	for _, r := range t.runs {
		if r.Server == server && r.Incarnation == incarnation && !r.crashHandled {
			r.crashHandled = true
			affected = append(affected, r)
		}
	}
	suspects := t.suspectsOf(now, affected)
	blamed := affected
	if len(suspects) > 0 {
		isShared := len(suspects) > 1
		blamed = slices.DeleteFunc(slices.Clone(affected), func(r *runState) bool {
			return !slices.Contains(suspects, r.Fingerprint) || isShared && !t.hasSharedEnough(r.Fingerprint)
		})
	}
	var out []Finding
	for _, r := range blamed {
		if t.blame(now, r, isCertain) {
			out = append(out, t.finding(r.Fingerprint))
		}
	}
	return out
}

// hasSharedEnough counts a crash that a suspect has shared with others, and reports whether the suspect is
// blamed for it.
func (t *Tracker) hasSharedEnough(f Fingerprint) bool {
	r := t.records[f]
	r.shared++
	return r.shared >= maxSharedCrashes
}

func (t *Tracker) suspectsOf(now time.Time, affected []*runState) []Fingerprint {
	var out []Fingerprint
	for _, r := range affected {
		if r.suspect && t.Check(now, r.Fingerprint) == Suspect && !slices.Contains(out, r.Fingerprint) {
			out = append(out, r.Fingerprint)
		}
	}
	return out
}

// blame adds the server of a run to the record of the run's request. A run that started before the
// last crash was reported is not counted: servers that fail together, such as those of a rack,
// count as one failure.
func (t *Tracker) blame(now time.Time, run *runState, isCertain bool) bool {
	r := t.record(now, run.Fingerprint)
	if slices.Contains(r.servers(), run.Server) || (len(r.crashes) > 0 && run.started.Before(r.lastCrash)) {
		return false
	}
	crash := Crash{Server: run.Server, Incarnation: run.Incarnation}
	return r.add(attributedCrash{PresumedCrash: PresumedCrash{Crash: crash, At: now}, isCertain: isCertain, expires: now.Add(TTL)})
}

func (t *Tracker) record(now time.Time, f Fingerprint) *record {
	r, ok := t.records[f]
	if ok && now.Before(r.expires) {
		return r
	}
	if len(t.records) >= maxRecords {
		t.dropOldestRecord(now)
	}
	r = &record{expires: now.Add(TTL)}
	t.records[f] = r
	return r
}

func (t *Tracker) dropOldestRecord(now time.Time) {
	var oldest Fingerprint
	var at time.Time
	for f, r := range t.records {
		if !now.Before(r.expires) {
			delete(t.records, f)
			continue
		}
		if at.IsZero() || r.expires.Before(at) {
			oldest = f
			at = r.expires
		}
	}
	if len(t.records) >= maxRecords {
		delete(t.records, oldest)
	}
}

func (t *Tracker) finding(f Fingerprint) Finding {
	r := t.records[f]
	return Finding{Fingerprint: f, Servers: r.servers(), Presumed: r.presumed(), Expires: r.expires}
}

// Merge applies a finding of another instance. Presumed crashes that have been withdrawn since are left
// out.
func (t *Tracker) Merge(now time.Time, f Finding) {
	for _, server := range f.Servers {
		if old, ok := t.released[f.Fingerprint]; ok && slices.Contains(old.servers, server) && now.Before(old.expires) {
			continue
		}
		isPresumed := false
		for _, c := range f.Presumed {
			if c.Server != server {
				continue
			}
			isPresumed = true
			if !t.isWithdrawn(c) {
				t.record(now, f.Fingerprint).add(attributedCrash{PresumedCrash: c, expires: f.Expires})
			}
		}
		if !isPresumed {
			c := PresumedCrash{Crash: Crash{Server: server}, At: now}
			t.record(now, f.Fingerprint).add(attributedCrash{PresumedCrash: c, isCertain: true, expires: f.Expires})
		}
	}
}

// ReserveForPeer records that another instance runs a suspect on the server until the given time.
func (t *Tracker) ReserveForPeer(now time.Time, server string, until time.Time) {
	for name, at := range t.peerReservations {
		if !now.Before(at) {
			delete(t.peerReservations, name)
		}
	}
	if len(t.peerReservations) < maxRecords {
		t.peerReservations[server] = until
	}
}

// SetWaiting records whether a request waits for a server. While it waits, it runs on no server
// and reserves none, so that two suspects can't wait for each other.
func (t *Tracker) SetWaiting(request string, waiting bool) {
	for _, r := range t.runs {
		if r.Request == request {
			r.waiting = waiting
		}
	}
}

// Reserved returns the names of the servers on which suspects other than the given request run.
// These servers get no further suspects, and get other requests only if no other server is left.
func (t *Tracker) Reserved(now time.Time, f Fingerprint) []string {
	var out []string
	for _, r := range t.runs {
		if r.suspect && !r.waiting && r.resetAt.IsZero() && r.Fingerprint != f {
			out = append(out, r.Server)
		}
	}
	for name, until := range t.peerReservations {
		if now.Before(until) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Entry describes a suspect or quarantined request, for operators.
type Entry struct {
	Fingerprint Fingerprint
	Servers     []string
	Expires     time.Time
	Quarantined bool
}

// List returns the suspect and the quarantined requests, ordered by fingerprint.
func (t *Tracker) List(now time.Time) []Entry {
	var out []Entry
	for f, r := range t.records {
		if v := t.Check(now, f); v != Clear {
			out = append(out, Entry{Fingerprint: f, Servers: r.servers(), Expires: r.expires, Quarantined: v == Quarantined})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Release removes the record of a request. The crashes that were known so far no longer count for
// this request.
func (t *Tracker) Release(now time.Time, f Fingerprint) {
	r, ok := t.records[f]
	if !ok {
		return
	}
	delete(t.records, f)
	if len(t.released) >= maxRecords {
		clear(t.released)
	}
	t.released[f] = &release{servers: r.servers(), expires: now.Add(TTL)}
}
