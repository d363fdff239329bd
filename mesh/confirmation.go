package mesh

import (
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/bootclock"
)

// Confirmation says how recent the routing document in force is.
type Confirmation struct {
	// At is a time, as bootclock.Now counts, before which no document was acknowledged that is newer than the one
	// of Version, which is not newer than the one in force; 0 means that none is known.
	At      time.Duration
	Version uint64
	// By is the address of the control instance that has said so; on a control instance, it may be its own.
	By string
	// IsExpected is false if all control instances that this instance is connected to are of a build that confirms
	// nothing, or follow a leader of such a build, or if some are and the others have confirmed nothing for
	// maxUnconfirmed. The document's age is then not known.
	IsExpected bool
	// InForce is the version of the document in force, and Newest the newest version that was heard of.
	InForce, Newest uint64
}

// Age returns the time since the document was last known to be the newest, and false if it never was.
func (c Confirmation) Age() (time.Duration, bool) { return bootclock.Now() - c.At, c.At > 0 }

// IsWithin reports whether a document of the version holds all that was acknowledged more than bound ago.
func (c Confirmation) IsWithin(bound time.Duration, version uint64) bool {
	age, ok := c.Age()
	return ok && age <= bound && version >= c.Version
}

// documentAge is what an instance knows about how recent its routing document is. The mesh's lock guards it.
type documentAge struct {
	confirmed Confirmation
	// announced holds the first and the latest confirmation of documents that are not in force here yet. The first
	// is kept, so that documents that change faster than they are fetched are confirmed, too.
	announced [2]Confirmation
	newest    uint64
	// confirmers are the connected control instances. isExpected is what IsExpected was while the last of them was
	// connected.
	confirmers map[string]confirmer
	// lastConfirmed keeps that time of control instances over disconnections, so that one whose connection breaks
	// again and again gets no new time to confirm.
	lastConfirmed map[string]time.Duration
	isExpected    bool
	// confirms is set on a control instance whose replica can tell the age of its state.
	confirms bool
}

// confirmer is a connected control instance. confirms is set if it confirms documents, and at is a time, as
// bootclock.Now counts, of which it has: at first that of its first heartbeat.
type confirmer struct {
	confirms bool
	at       time.Duration
}

// maxUnconfirmed is how long a control instance may confirm nothing before those of older builds are believed: it may
// be cut off from a leader of such a build.
const maxUnconfirmed = 3 * time.Second

// maxConfirmers bounds the control instances, also former ones, whose last confirmations are kept.
const maxConfirmers = 256

// RoutingConfirmation returns how recent the routing document in force is.
func (m *Mesh) RoutingConfirmation() Confirmation {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.documentAge.confirmed
	c.IsExpected = m.documentAge.confirms || m.documentAge.isExpected
	c.InForce = m.document.Version
	c.Newest = max(m.documentAge.newest, c.InForce)
	return c
}

// SetConfirms says whether the replica of this control instance can tell the age of its state. It can't while
// it follows a leader of a build that says nothing about it. Watchers then take this instance for one of such a
// build, too.
func (m *Mesh) SetConfirms(confirms bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.documentAge.confirms = confirms
}

// ConfirmRouting records that the replica of this control instance, whose document has the version, lacks nothing
// that was acknowledged before the time at, as bootclock.Now counts.
func (m *Mesh) ConfirmRouting(version uint64, at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirm(Confirmation{At: at, Version: version, By: m.options.ControlAddress})
}

// confirm records a confirmation of a document that is in force, or will be. The caller holds the lock.
func (m *Mesh) confirm(c Confirmation) {
	d := &m.documentAge
	d.newest = max(d.newest, c.Version)
	switch {
	case c.Version == 0 || c.At <= d.confirmed.At:
	case c.Version <= m.document.Version:
		d.confirmed = c
	case d.announced[0].At == 0:
		d.announced[0] = c
	case c.At > d.announced[1].At:
		d.announced[1] = c
	}
}

// confirmAnnounced takes up what was announced about documents that are not newer than the one now in force. The
// caller holds the lock.
func (m *Mesh) confirmAnnounced() {
	announced := m.documentAge.announced
	m.documentAge.announced = [2]Confirmation{}
	for _, c := range announced {
		m.confirm(c)
	}
}

// updateConfirmer records whether a control instance confirms documents, and as of when; 0 means that it has no
// confirmation. The caller holds the lock.
func (m *Mesh) updateConfirmer(address string, confirms bool, at time.Duration) {
	d := &m.documentAge
	heard, isKnown := d.lastConfirmed[address]
	if !isKnown {
		if len(d.lastConfirmed) >= maxConfirmers {
			clear(d.lastConfirmed)
		}
		heard = bootclock.Now()
	}
	at = max(heard, at)
	d.lastConfirmed[address] = at
	d.confirmers[address] = confirmer{confirms: confirms, at: at}
	d.updateExpected()
}

// forgetConfirmer removes a disconnected control instance. The caller holds the lock.
func (m *Mesh) forgetConfirmer(address string) {
	delete(m.documentAge.confirmers, address)
	m.documentAge.updateExpected()
}

func (d *documentAge) updateExpected() {
	if len(d.confirmers) == 0 {
		return // without a connection, nobody has taken back what was expected
	}
	count, recent := 0, 0
	for _, c := range d.confirmers {
		if c.confirms {
			count++
			if bootclock.Now()-c.at <= maxUnconfirmed {
				recent++
			}
		}
	}
	d.isExpected = recent > 0 || count == len(d.confirmers)
}

// mergeConfirmation records what a heartbeat says about the age of its sender's document. It counts from when
// this instance sent the report that the heartbeat echoes, so that the time for which the heartbeat was on its
// way, or waited in a paused process, makes no document younger.
func (w *watcher) mergeConfirmation(b *wire.WatchBeat) {
	m := w.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	m.documentAge.newest = max(m.documentAge.newest, b.RoutingVersion)
	isKnown := b.EchoedReport <= w.reports && w.reports-b.EchoedReport < maxSubtractableReports
	if b.EchoedReport == 0 || b.RoutingConfirmedMs == 0 || !isKnown {
		m.updateConfirmer(w.address, b.EchoedReport > 0, 0)
		return
	}
	sent := w.reported[b.EchoedReport%maxSubtractableReports].sent
	at := sent - time.Duration(b.RoutingConfirmedMs-1)*time.Millisecond
	m.updateConfirmer(w.address, true, at)
	m.confirm(Confirmation{At: at, Version: b.RoutingVersion, By: w.address})
}

// appendConfirmation sets the fields of a watcher's heartbeat that tell the age of the document. The caller holds
// the lock, and held it when it recorded the report that is echoed: so the age is as of after the report.
func (f *feed) appendConfirmation(own *wire.WatchBeat) {
	m := f.mesh
	if !m.documentAge.confirms {
		return
	}
	own.EchoedReport = f.latestReport
	if age, ok := m.documentAge.confirmed.Age(); ok {
		own.RoutingConfirmedMs = 1 + uint64((age+time.Millisecond-1)/time.Millisecond)
	}
}
