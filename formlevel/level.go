// Package formlevel decides from when on control instances may write entries of the replicated log that
// earlier builds don't know. Each control instance names the highest level that it can apply; the
// replicated state holds the level in force. The leader raises it by one once all replicas that it
// sends the log to have named a higher one for SettleTime.
package formlevel

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Level is a set of kinds of entries. Each level includes those below.
type Level uint32

const (
	// Base is the level of builds that name none. A command without a level has it.
	Base Level = 1
	// Supported is the highest level that this build applies, and the one that it names.
	Supported Level = 1
	// Unknown is the level of a command with fields that this build does not know.
	Unknown Level = 1<<32 - 1
)

const (
	// SettleTime is how long all replicas must name a level without a gap before it comes into force.
	// Until then a build that doesn't know the level can be started in place of a newer one.
	SettleTime = 10 * time.Minute
	// maxSilence is the time without a message after which a replica counts as not heard of.
	maxSilence = 5 * time.Second
)

// Error means that an entry or a snapshot has a level that this build can't apply.
type Error struct {
	// What is the entry or the snapshot.
	What string
	// Level is its level, and Supported the highest that this build applies.
	Level, Supported Level
}

func (e *Error) Error() string {
	return fmt.Sprintf("formlevel: %s can't be applied by this build, which applies levels up to %d; start a newer build", e.Form(), e.Supported)
}

// Form says what has which level.
func (e *Error) Form() string {
	if e.Level == Unknown {
		return e.What + " with fields that this build does not know"
	}
	return fmt.Sprintf("%s of level %d", e.What, e.Level)
}

// Replica is a control instance and its data folder.
type Replica struct {
	Name string
	Disk uint64
}

// naming is what a replica has named.
type naming struct {
	disk  uint64
	level Level
	since time.Duration
	heard time.Duration
}

// Tracker remembers what the replicas have named. Times are monotonic. The zero value is empty.
type Tracker struct {
	named map[string]naming
}

// Hear records a message of a replica. A replica that names none has Base.
func (t *Tracker) Hear(now time.Duration, r Replica, level Level) {
	if t.named == nil {
		t.named = make(map[string]naming)
	}
	level = max(level, Base)
	n, ok := t.named[r.Name]
	if !ok || n.disk != r.Disk || n.level != level || now-n.heard > maxSilence {
		n = naming{disk: r.Disk, level: level, since: now}
	}
	n.heard = now
	t.named[r.Name] = n
}

// Hold is a replica that holds a level back, and why.
type Hold struct {
	Replica string
	Reason  string
}

func (h Hold) String() string { return h.Replica + " " + h.Reason }

// Next returns the level above the one in force and the replicas that hold it back. It may come into
// force if there are none. The replica self applies the level own.
func (t *Tracker) Next(now time.Duration, inForce Level, self string, own Level, others []Replica) (Level, []Hold) {
	next := inForce + 1
	var holds []Hold
	if own < next {
		holds = append(holds, Hold{Replica: self, Reason: fmt.Sprintf("applies levels up to %d", own)})
	}
	for _, r := range others {
		if reason := t.reason(now, next, r); reason != "" {
			holds = append(holds, Hold{Replica: r.Name, Reason: reason})
		}
	}
	slices.SortFunc(holds, func(a, b Hold) int { return strings.Compare(a.Replica, b.Replica) })
	return next, holds
}

func (t *Tracker) reason(now time.Duration, next Level, r Replica) string {
	n, ok := t.named[r.Name]
	switch {
	case !ok || n.disk != r.Disk:
		return "was not heard of"
	case now-n.heard > maxSilence:
		return fmt.Sprintf("was last heard %d s ago", int((now - n.heard).Seconds()))
	case n.level < next:
		return fmt.Sprintf("applies levels up to %d", n.level)
	case now-n.since < SettleTime:
		return fmt.Sprintf("has named level %d for %d of %d s", n.level, int((now - n.since).Seconds()), int(SettleTime.Seconds()))
	}
	return ""
}
