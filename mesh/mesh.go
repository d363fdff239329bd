// Package mesh holds the state that an instance receives from the control instances: backend
// servers, the routing document in force, the addresses of the control instances, and the usage
// of other instances.
package mesh

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/loglimit"
	"github.com/balsamlb/balsamlb/reachability"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// maxDocumentBytes bounds a routing document after decompression.
const maxDocumentBytes = 16 << 20

// defaultApplyTime is the time that settings state unless they are changed.
const defaultApplyTime = 2 * time.Second

// Options configure a Mesh.
type Options struct {
	Name       string
	DataCentre string
	// ControlAddress is the address of this instance if it is a control instance, else empty.
	ControlAddress string
	// Seeds are the addresses of the control instances to contact first.
	Seeds  []string
	Dialer instance.Dialer
	// RoutingApplyTime is the time within which an acknowledged routing document must be in force; 0 means
	// defaultApplyTime.
	RoutingApplyTime time.Duration
	// Decode parses a routing document.
	Decode func([]byte) (*routing.Document, error)
	Log    logr.Logger
}

// Snapshot is the state of the mesh at one point in time. It is immutable.
type Snapshot struct {
	// Revision grows with each change of Servers.
	Revision uint64
	// Table is nil until a routing document is received.
	Table   *routing.Table
	Servers []discovery.Announcement
	// Fence is the highest known fencing token.
	Fence uint64
	// Unresponsive holds the servers that several gateways report as unresponsive.
	Unresponsive map[string]bool
}

// Mesh merges the heartbeats of the control instances. On a control instance, it also serves
// the watchers. It is safe for concurrent use.
type Mesh struct {
	options Options
	decoder *zstd.Decoder
	// started is when the mesh was created.
	started time.Time

	mu        sync.Mutex
	directory *discovery.Directory
	document  routing.Publication
	// documentHash is the hash of the text of document, and texts holds that text. A control instance also has the
	// texts before, and earlier holds what it has served before.
	documentHash uint64
	texts        *instance.PatchCache
	earlier      []servedDocument
	fetches      documentFetches
	table        *routing.Table
	// isTableOutdated is set on a control instance while table is not that of document.
	isTableOutdated bool
	// documentAge is how recent the document is known to be.
	documentAge documentAge
	seeds       []string
	// reportedControls holds the control instances that each control instance reports.
	reportedControls map[string][]string
	// controlFeeds holds the feeds of the other control instances that watch this one. passedOn is closed
	// when a change of a server has been written to one of them.
	controlFeeds map[*feed]bool
	passedOn     chan struct{}
	// voters are the voting control instances, known to a control instance from its own state.
	voters         []string
	fence          uint64 // the highest known fencing token
	watcherReports map[string]*watcherReport
	// usageTotals holds the usage of all watchers, summed by server.
	usageTotals map[string]Usage
	// reportedUsage is the peers' usage that each control instance reports, and dataCentres holds
	// the data centre of each control instance.
	reportedUsage map[string][]Usage
	dataCentres   map[string]string
	// peerUsage is reportedUsage merged by server.
	peerUsage  map[string]Usage
	localUsage func() []Usage
	// localDemand returns the demand at this instance, and peerDemand is that at the others.
	localDemand func() []RankDemand
	peerDemand  PeerDemand
	// reachability is what this instance says about servers.
	reachability reachability.Report
	// relaying is what this instance says about requests that are passed on. reportedRelays holds the
	// instances that each control instance names to take this one's.
	relaying       relayReport
	reportedRelays map[string][]relay.Instance
	// doubts weighs what the watchers say about servers. unresponsiveHere and doubtsHere are the result.
	doubts           *reachability.Doubts
	unresponsiveHere []string
	doubtsHere       reportedDoubts
	loggedCutOff     cutOffShare
	// reportedStateLog bounds the lines about servers whose state control instances report.
	reportedStateLog loglimit.Limit
	shared           sharedFragments
	feedWork         FeedWork
	wakeups          wakeSchedule
	// turnTimer runs until nextTurn, the next turn of wakeups. nextTurn is zero while no turn is scheduled.
	turnTimer *time.Timer
	nextTurn  time.Time
	dueFeeds  dueFeeds
	// watchersRevision grows when a gateway joins or leaves the watchers, and usageRevision with each change of the usage
	// or the demand of one.
	watchersRevision, usageRevision uint64
	// crashes has its own lock.
	crashes *CrashEvidence
	// hasContact is set once a heartbeat of any control instance has been received.
	hasContact bool
	// reportChanged is closed when reachability changes, or crashes has something to report. urgentReports counts that.
	reportChanged chan struct{}
	urgentReports uint64
	// reportedUnresponsive holds the unresponsive servers that each control instance reports.
	reportedUnresponsive map[string][]string
	// reportedDoubts holds the doubts that each control instance reports, and doubtedSince since when the
	// servers in them are doubted.
	reportedDoubts map[string]reportedDoubts
	doubtedSince   map[string]time.Time
	// gatewayCount holds what control instances report about the gateways.
	gatewayCount gatewayCount
	// watcherNames are the sorted keys of watcherReports, or nil if they have to be sorted anew.
	watcherNames []string
	// takers is what relayTakers returns, or nil if that has changed.
	takers []*wire.RelayInstance
	// withheld holds reports that servers are silent, by server, while this instance is connected to
	// the control instance that receives the server's announcements.
	withheld map[string]discovery.Announcement
	changed  chan struct{}
}

// New returns a mesh that knows only its seeds.
func New(o Options) (*Mesh, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, eris.Wrap(err, "mesh: create decompressor")
	}
	m := &Mesh{
		options:              o,
		decoder:              decoder,
		fetches:              newDocumentFetches(o.Name, cmp.Or(o.RoutingApplyTime, defaultApplyTime)),
		texts:                instance.NewPatchCache(1),
		started:              time.Now(),
		directory:            discovery.NewDirectory(o.ControlAddress),
		seeds:                o.Seeds,
		reportedControls:     make(map[string][]string),
		controlFeeds:         make(map[*feed]bool),
		passedOn:             make(chan struct{}),
		watcherReports:       make(map[string]*watcherReport),
		usageTotals:          make(map[string]Usage),
		reportedUsage:        make(map[string][]Usage),
		dataCentres:          make(map[string]string),
		reportedUnresponsive: make(map[string][]string),
		reportedStateLog:     loglimit.Limit{Lines: maxLinesPerSecond, Interval: time.Second},
		gatewayCount:         gatewayCount{reports: make(map[string]gatewayReport)},
		withheld:             make(map[string]discovery.Announcement),
		doubts:               reachability.NewDoubts(),
		reportedRelays:       make(map[string][]relay.Instance),
		reportedDoubts:       make(map[string]reportedDoubts),
		documentAge:          documentAge{confirmers: make(map[string]confirmer), lastConfirmed: make(map[string]time.Duration)},
		shared:               sharedFragments{servers: make(map[string]*serverFragment)},
		changed:              make(chan struct{}),
		localUsage:           func() []Usage { return nil },
		localDemand:          func() []RankDemand { return nil },

		reportChanged: make(chan struct{}),
	}
	if o.ControlAddress != "" {
		m.texts = instance.NewPatchCache(instance.MaxPatchBases)
	}
	m.crashes = newCrashEvidence(m.wakeWatches)
	return m, nil
}

// CrashEvidence returns the evidence about content that crashes backend servers.
func (m *Mesh) CrashEvidence() *CrashEvidence { return m.crashes }

// wakeWatches makes this instance report to the control instances, and to its own watchers, at once.
func (m *Mesh) wakeWatches() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportAtOnce()
	if m.options.ControlAddress != "" {
		m.broadcast()
	}
}

// reportAtOnce is wakeWatches for a caller that holds the lock.
func (m *Mesh) reportAtOnce() {
	m.urgentReports++
	close(m.reportChanged)
	m.reportChanged = make(chan struct{})
}

// Changed returns a channel that is closed at the next change.
func (m *Mesh) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// broadcast wakes every goroutine that waits for a change, and the watchers by turns. The caller holds
// the lock.
func (m *Mesh) broadcast() {
	close(m.changed)
	m.changed = make(chan struct{})
	m.shared.common = nil
	m.wakeups.markChange()
	m.wakeWatchers(time.Now())
}

// wakeWatchers wakes the watchers whose turn it is and schedules the next turn. The caller holds the
// lock.
func (m *Mesh) wakeWatchers(now time.Time) {
	wait, ok := m.wakeups.wakeNext(now)
	if !ok {
		return
	}
	at := now.Add(wait)
	if !m.nextTurn.IsZero() && !at.Before(m.nextTurn) {
		return
	}
	m.nextTurn = at
	if m.turnTimer == nil {
		m.turnTimer = time.AfterFunc(wait, m.takeTurn)
		return
	}
	m.turnTimer.Reset(wait)
}

func (m *Mesh) takeTurn() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextTurn = time.Time{}
	m.wakeWatchers(time.Now())
}

// Snapshot returns the current state.
func (m *Mesh) Snapshot() Snapshot {
	m.updateTable()
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{
		Revision:     m.directory.Revision(),
		Table:        m.table,
		Servers:      m.directory.All(),
		Fence:        m.fence,
		Unresponsive: m.allUnresponsive(),
	}
}

// Announce merges an announcement that a backend server sent to this instance. It reports whether
// something has changed that must be sent to watchers.
func (m *Mesh) Announce(now time.Time, a discovery.Announcement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, isKnown := m.directory.Get(a.ID)
	changed := m.directory.Announce(now, a)
	if changed && isKnown && m.isQuiet(&before) {
		return false
	}
	if changed {
		m.broadcast()
	}
	return changed
}

// isQuiet reports whether a server differs from what was known before only in which control instance hears it. That
// travels with the next heartbeat and wakes nobody: servers whose announcements are acknowledged late turn from one control
// instance to the next, and waking all watchers would make the next acknowledgement later. The caller holds the lock.
func (m *Mesh) isQuiet(before *discovery.Announcement) bool {
	after, ok := m.directory.Get(before.ID)
	return ok && !after.DiffersForCallers(before)
}

// Leave marks a backend server as left at the server's own request. It reports whether the server's
// state has changed. The only error is discovery.ErrUnknownServer.
func (m *Mesh) Leave(now time.Time, id string) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed, err := m.directory.Leave(now, id)
	if changed {
		m.broadcast()
	}
	return changed, err
}

// Expire marks a ready server as silent if it has sent no announcement to this instance since the given
// time, or if the control instance that receives its announcements has been disconnected since
// then. It returns the IDs of the servers that it marked.
func (m *Mesh) Expire(now, since time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	expired := m.directory.Expire(now, since, func(control string) bool {
		_, ok := m.reportedControls[control]
		return ok
	})
	m.removeForgotten()
	if len(expired) > 0 {
		m.broadcast()
	}
	return expired
}

// Revision returns a number that grows with each change of what EncodeServers encodes.
func (m *Mesh) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.directory.Revision() + m.crashes.revision()
}

// RaiseFence records the fencing token of this instance as leader if it is the highest one so far.
func (m *Mesh) RaiseFence(fence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence > m.fence {
		m.fence = fence
		m.broadcast()
	}
}

// Decompress returns the text of a routing document.
func (m *Mesh) Decompress(p routing.Publication) ([]byte, error) {
	text, err := m.decoder.DecodeAll(p.Bytes, nil)
	return text, eris.Wrapf(err, "mesh: decompress routing document %d", p.Version)
}

// Publish puts a routing document in force. Documents that are not newer are ignored.
func (m *Mesh) Publish(p routing.Publication) error {
	text, err := m.Decompress(p)
	if err != nil {
		return err
	}
	return m.publishText(p, text, 0)
}

// Routing returns the version and the compressed bytes of the routing document in force. There are no bytes at a gateway
// that has received it as a patch.
func (m *Mesh) Routing() (uint64, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.document.Version, m.document.Bytes
}

// SetSeeds replaces the seeds.
func (m *Mesh) SetSeeds(seeds []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Equal(m.seeds, seeds) {
		m.seeds = seeds
		m.broadcast()
	}
}

// Controls returns the addresses of all known control instances except this one.
func (m *Mesh) Controls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool)
	for _, a := range m.seeds {
		known[a] = true
	}
	for _, controls := range m.reportedControls {
		for _, a := range controls {
			known[a] = true
		}
	}
	for _, a := range m.directControls() {
		known[a] = true
	}
	delete(known, m.options.ControlAddress)
	delete(known, "")
	return slices.Sorted(maps.Keys(known))
}

// directControls returns the control instances that this one knows directly. Only these are
// reported to other instances, so that all instances forget a control instance that none of them
// reaches any longer. The caller holds the lock.
func (m *Mesh) directControls() []string {
	out := slices.Clone(m.voters)
	for f := range m.controlFeeds {
		out = append(out, f.control)
	}
	if m.options.ControlAddress != "" {
		out = append(out, m.options.ControlAddress)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// SetVoters replaces the addresses of the voters known to this control instance.
func (m *Mesh) SetVoters(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Equal(m.voters, addresses) {
		m.voters = addresses
		m.broadcast()
	}
}

// mergeHeartbeat merges a heartbeat of a control instance.
func (m *Mesh) mergeHeartbeat(address string, b *wire.WatchBeat) {
	now := time.Now()
	// Only a control instance passes evidence on, so only there its watchers have to be woken.
	changed := m.crashes.merge(now, b.Crashes, b.PartCrashes) && m.options.ControlAddress != ""
	m.crashes.recordHeartbeat(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasContact = true
	if m.mergeServers(now, address, b.Servers) {
		changed = true
	}
	m.fetches.plan.Heard(now, address, b.RoutingVersion)
	if b.RoutingVersion > m.document.Version {
		m.fetches.wakeUp()
	}
	if known, ok := m.reportedControls[address]; !ok || !slices.Equal(known, b.Controls) {
		m.reportedControls[address] = b.Controls
		changed = true
	}
	if b.Fence > m.fence {
		m.fence = b.Fence
		changed = true
	}
	m.dataCentres[address] = b.DataCentre
	m.reportedRelays[address] = relaysFromWire(b.Relays)
	m.updateReportedUsage(address, b)
	m.updatePeerDemand(now, b)
	if m.gatewayCount.report(now, address, int(b.Gateways), int(b.Rank)-1) {
		changed = m.updateUnresponsive() || changed
	}
	if !slices.Equal(m.reportedUnresponsive[address], b.Suspects) {
		m.reportedUnresponsive[address] = b.Suspects
		changed = true
	}
	changed = m.updateDoubts(now, address, reportedDoubts{doubted: b.Doubted, answering: b.Answering}) || changed
	if changed {
		m.broadcast()
	}
}

// updateReportedUsage replaces the peers' usage that a control instance reports, or removes it if
// this instance doesn't accept usage from it. The caller holds the lock.
func (m *Mesh) updateReportedUsage(address string, b *wire.WatchBeat) {
	switch {
	case !m.acceptsUsageFrom(address):
		if _, ok := m.reportedUsage[address]; !ok {
			return
		}
		delete(m.reportedUsage, address)
	case b.LeavesOutUsage:
		return
	default:
		m.reportedUsage[address] = usageListFromWire(b.Others)
	}
	m.mergePeerUsage()
}

// forgetReports removes what a disconnected control instance has reported about control instances,
// gateways, usage and unresponsive servers.
func (m *Mesh) forgetReports(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetches.plan.Forget(address)
	changed := len(m.reportedControls[address])+len(m.reportedUnresponsive[address]) > 0
	delete(m.reportedControls, address)
	changed = m.mergeWithheld(time.Now(), address) || changed
	delete(m.reportedUsage, address)
	m.mergePeerUsage()
	delete(m.dataCentres, address)
	m.forgetConfirmer(address)
	delete(m.reportedUnresponsive, address)
	delete(m.reportedRelays, address)
	changed = m.updateDoubts(time.Now(), address, reportedDoubts{}) || changed
	m.gatewayCount.forget(address)
	changed = m.updateUnresponsive() || changed
	if changed {
		m.broadcast()
	}
}
