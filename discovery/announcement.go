// Package discovery keeps the announcements of the backend servers. Each control instance receives
// those of some servers, and every instance merges what the control instances report.
package discovery

import "math"

// State is the state of a backend server.
type State uint8

// The states of a server.
const (
	StateReady State = iota + 1
	// StateDraining servers finish their running requests and accept no new ones.
	StateDraining
	// StateSilent servers were ready and have sent no announcement for too long; the next one makes
	// them available again. Draining servers don't become silent, as silent ones may be used.
	StateSilent
	// StateLeft servers have left or were replaced; only a restart brings them back.
	StateLeft
)

// leftSequence is the sequence of a server that has left. Builds up to 1cc5d86 compare sequences also then.
const leftSequence = math.MaxUint64

// Announcement is a message in which a backend server reports its state.
type Announcement struct {
	ID string
	// Incarnation identifies a start of the server. A later start has a higher incarnation, also if
	// another server starts at the same address.
	Incarnation int64
	// Sequence orders the announcements of one incarnation.
	Sequence   uint64
	Service    string
	Address    string
	DataCentre string
	// Release is the version of the server's software.
	Release string
	State   State
	Slots   int
	// ColdMS is how many more milliseconds the server is slow after its start.
	ColdMS      int
	Accelerator string
	Model       string
	// HasLayers is set if the layers are known: LayersFrom up to, but not including, LayersTo.
	HasLayers     bool
	LayersFrom    int
	LayersTo      int
	LayersVersion int64
	// HeardBy is the address of the control instance that receives the server's announcements.
	HeardBy string
}

// IsNewerThan reports whether a replaces b, which is an announcement of the same server. A server that has left returns
// only with a later incarnation, whatever sequences are known: an announcement that changes nothing is not passed on, so
// instances know different ones. Silence takes back no announcement that a server is draining; builds up to 1cc5d86 report
// such servers as silent. With equal sequences, silent replaces ready; otherwise the control instances decide, so that all
// instances make the same choice.
func (a *Announcement) IsNewerThan(b *Announcement) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.State == StateLeft || b.State == StateLeft:
		return b.State != StateLeft
	case a.State == StateSilent && b.State == StateDraining:
		return false
	case a.Sequence != b.Sequence:
		return a.Sequence > b.Sequence
	case a.State != b.State:
		return a.State == StateSilent
	default:
		return a.HeardBy > b.HeardBy
	}
}

// overtakes reports whether a is a later announcement than b of the same incarnation, which has not left.
func (a *Announcement) overtakes(b *Announcement) bool {
	return a.Incarnation == b.Incarnation && a.State != StateLeft && b.State != StateLeft && a.Sequence > b.Sequence
}

// DiffersForCallers reports whether a differs from b in more than Sequence, ColdMS and HeardBy, which only control instances
// go by.
func (a *Announcement) DiffersForCallers(b *Announcement) bool {
	x := *a
	x.HeardBy = b.HeardBy
	return x.differsFrom(b)
}

// differsFrom reports whether a differs from b in more than Sequence and ColdMS.
func (a *Announcement) differsFrom(b *Announcement) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	x.ColdMS, y.ColdMS = 0, 0
	return x != y
}
