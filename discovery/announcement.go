// Package discovery keeps what backend servers say of themselves. Every control instance hears
// some of the servers, and every instance merges what the control instances tell.
package discovery

// State is what a server says of its readiness.
type State uint8

// The states of a server.
const (
	StateReady State = iota + 1
	// StateDraining servers finish what they run and take nothing new.
	StateDraining
	// StateSilent servers were not heard for too long; they are back once they are heard.
	StateSilent
	// StateLeft servers have left; only a later start brings them back.
	StateLeft
)

// Announcement is one message of a backend server about itself.
type Announcement struct {
	ID string
	// Incarnation tells the starts of a server apart; a later start has a higher one.
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
	// ColdMS is for how many more milliseconds the server is slow after its start.
	ColdMS      int
	Accelerator string
	Model       string
	// HasLayers says that the layers are known: From to To, exclusive.
	HasLayers     bool
	LayersFrom    int
	LayersTo      int
	LayersVersion int64
	// HeardBy is the address of the control instance that the server speaks to.
	HeardBy string
}

// IsNewerThan reports whether a was said after b, which is about the same server. What others
// conclude from its silence comes after what it said last.
func (a *Announcement) IsNewerThan(b *Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.State > b.State && a.State >= StateSilent
}

// says reports whether a says something else than b besides its sequence.
func (a *Announcement) says(b *Announcement) bool {
	x, y := *a, *b
	x.Sequence, y.Sequence = 0, 0
	x.ColdMS, y.ColdMS = 0, 0
	return x != y
}
