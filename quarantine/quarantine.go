// Package quarantine finds requests that crash the backend servers that run them.
//
// A request is known by its content, not by its id, so that a caller's re-send is the same
// request at any instance. The death of a server makes every request that it was running a
// suspect. Suspects run apart, one on a server; when a second server dies while it runs the
// same content, that content is put in quarantine and is not run again.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

const (
	// Life is how long a suspicion or a quarantine lasts after the last death.
	Life = 10 * time.Minute
	// deathsToQuarantine is the number of different servers that must have died.
	deathsToQuarantine = 2
	// confirmTime is how long a run that ended with a reset waits for the word that its
	// server has died.
	confirmTime = 5 * time.Second
	// maxRecords bounds the requests that are remembered; the oldest is forgotten first.
	maxRecords = 2048
)

// Fingerprint identifies a request by its content.
type Fingerprint uint64

// Of returns the fingerprint of a request.
func Of(workspace, service string, content []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(service), content} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(binary.LittleEndian.Uint64(h.Sum(nil)))
}

// Verdict is how a request may run.
type Verdict int

// The verdicts.
const (
	// Clear means that nothing is known against the request.
	Clear Verdict = iota
	// Suspect means that a server died while it ran the request: it runs apart.
	Suspect
	// Quarantined means that the request must not run.
	Quarantined
)

// Run is one request on one server.
type Run struct {
	Request     string
	Fingerprint Fingerprint
	Server      string
	Incarnation uint64
}

// runState is a run, or one that ended with a reset lately.
type runState struct {
	Run
	started   time.Time
	suspect   bool
	resetAt   time.Time // zero while it runs
	held      bool      // the request waits, so nothing of it is at work
	explained bool
}

// record is what is known against one fingerprint.
type record struct {
	servers []string
	last    time.Time
	expires time.Time
}

// Finding says that servers have died while they ran a request, for the other instances.
type Finding struct {
	Fingerprint Fingerprint
	Servers     []string
	Expires     time.Time
}

// Tracker holds the runs and records of one instance. It is not safe for concurrent use.
type Tracker struct {
	runs    []*runState
	records map[Fingerprint]*record
	// elsewhere are the servers on which other instances run suspects.
	elsewhere map[string]time.Time
	// released are the servers whose deaths no longer count for a request.
	released map[Fingerprint]*record
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		records:   make(map[Fingerprint]*record),
		elsewhere: make(map[string]time.Time),
		released:  make(map[Fingerprint]*record),
	}
}

// String returns the fingerprint as operators write it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Pending returns the runs that ended with a reset and may be blamed for a death that is told
// later.
func (t *Tracker) Pending(now time.Time) []Run {
	t.forgetRuns(now)
	var out []Run
	for _, r := range t.runs {
		if !r.resetAt.IsZero() && !r.explained {
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
	case len(r.servers) >= deathsToQuarantine:
		return Quarantined
	default:
		return Suspect
	}
}

// Started notes that a server is given a request.
func (t *Tracker) Started(now time.Time, r Run) {
	t.forgetRuns(now)
	t.runs = append(t.runs, &runState{Run: r, started: now, suspect: t.Check(now, r.Fingerprint) == Suspect})
}

// Ended notes that a run has ended; reset tells that the server closed the connection without
// an answer. Only such a run can be blamed for a death that is told later.
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

// Proved notes that a server has run a part of a suspect and lives, so that the run need not
// stay apart.
func (t *Tracker) Proved(request, server string) {
	for _, r := range t.runs {
		if r.Request == request && r.Server == server {
			r.suspect = false
		}
	}
}

func (t *Tracker) forgetRuns(now time.Time) {
	t.runs = slices.DeleteFunc(t.runs, func(r *runState) bool {
		return !r.resetAt.IsZero() && now.Sub(r.resetAt) > confirmTime
	})
}

// Died notes that an incarnation of a server has crashed, and returns what the other instances
// should know. A suspect explains the death alone: the other runs on the server stay clear.
// When there were several suspects, none is blamed for it.
func (t *Tracker) Died(now time.Time, server string, incarnation uint64) []Finding {
	var on []*runState
	t.forgetRuns(now)
	for _, r := range t.runs {
		if r.Server == server && r.Incarnation == incarnation && !r.explained {
			r.explained = true
			on = append(on, r)
		}
	}
	suspects := t.suspectsOf(now, on)
	blamed := on
	if len(suspects) == 1 {
		blamed = slices.DeleteFunc(slices.Clone(on), func(r *runState) bool { return r.Fingerprint != suspects[0] })
	}
	if len(suspects) > 1 {
		return nil
	}
	var out []Finding
	for _, r := range blamed {
		if t.blame(now, r) {
			out = append(out, t.finding(r.Fingerprint))
		}
	}
	return out
}

func (t *Tracker) suspectsOf(now time.Time, on []*runState) []Fingerprint {
	var out []Fingerprint
	for _, r := range on {
		if r.suspect && t.Check(now, r.Fingerprint) == Suspect && !slices.Contains(out, r.Fingerprint) {
			out = append(out, r.Fingerprint)
		}
	}
	return out
}

// blame adds a server to a record. A run that began before the last death was told doesn't
// count once more: servers that fail together, as those of a rack do, are one failure.
func (t *Tracker) blame(now time.Time, run *runState) bool {
	r := t.record(now, run.Fingerprint)
	if slices.Contains(r.servers, run.Server) || (len(r.servers) > 0 && run.started.Before(r.last)) {
		return false
	}
	r.servers = append(r.servers, run.Server)
	r.last = now
	r.expires = now.Add(Life)
	return true
}

func (t *Tracker) record(now time.Time, f Fingerprint) *record {
	r, ok := t.records[f]
	if ok && now.Before(r.expires) {
		return r
	}
	if len(t.records) >= maxRecords {
		t.forgetOldest(now)
	}
	r = &record{expires: now.Add(Life)}
	t.records[f] = r
	return r
}

func (t *Tracker) forgetOldest(now time.Time) {
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
	return Finding{Fingerprint: f, Servers: slices.Clone(r.servers), Expires: r.expires}
}

// Learned takes a finding of another instance.
func (t *Tracker) Learned(now time.Time, f Finding) {
	for _, server := range f.Servers {
		if old, ok := t.released[f.Fingerprint]; ok && slices.Contains(old.servers, server) && now.Before(old.expires) {
			continue
		}
		r := t.record(now, f.Fingerprint)
		if !slices.Contains(r.servers, server) {
			r.servers = append(r.servers, server)
			r.last = now
		}
		if f.Expires.After(r.expires) {
			r.expires = f.Expires
		}
	}
}

// SuspectRuns notes that another instance runs a suspect on the server until the time given.
func (t *Tracker) SuspectRuns(now time.Time, server string, until time.Time) {
	for name, at := range t.elsewhere {
		if !now.Before(at) {
			delete(t.elsewhere, name)
		}
	}
	if len(t.elsewhere) < maxRecords {
		t.elsewhere[server] = until
	}
}

// Hold notes that a request waits for a server, or that it goes on. While it waits it is at
// work nowhere and reserves no server, so that two suspects can't wait for each other.
func (t *Tracker) Hold(request string, held bool) {
	for _, r := range t.runs {
		if r.Request == request {
			r.held = held
		}
	}
}

// Reserved returns the servers on which other suspects than the request run, by name. They
// are given neither suspects nor, as long as there are others, any new work.
func (t *Tracker) Reserved(now time.Time, f Fingerprint) []string {
	var out []string
	for _, r := range t.runs {
		if r.suspect && !r.held && r.resetAt.IsZero() && r.Fingerprint != f {
			out = append(out, r.Server)
		}
	}
	for name, until := range t.elsewhere {
		if now.Before(until) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Entry is one request in quarantine, for operators.
type Entry struct {
	Fingerprint Fingerprint
	Servers     []string
	Expires     time.Time
	Quarantined bool
}

// List returns the suspects and the requests in quarantine, by fingerprint.
func (t *Tracker) List(now time.Time) []Entry {
	var out []Entry
	for f, r := range t.records {
		if v := t.Check(now, f); v != Clear {
			out = append(out, Entry{Fingerprint: f, Servers: slices.Clone(r.servers), Expires: r.expires, Quarantined: v == Quarantined})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Release forgets what is known against a request. The deaths that were known no longer count.
func (t *Tracker) Release(now time.Time, f Fingerprint) {
	r, ok := t.records[f]
	if !ok {
		return
	}
	delete(t.records, f)
	if len(t.released) >= maxRecords {
		clear(t.released)
	}
	t.released[f] = &record{servers: r.servers, expires: now.Add(Life)}
}
