// Package mesh keeps what an instance knows through the control instances: backend servers, the
// routing document in force, the control instances themselves, and the others' usage.
package mesh

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/go-logr/logr"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// maxDocumentBytes bounds a routing document after decompression.
const maxDocumentBytes = 16 << 20

// Options describe an instance's part in the mesh.
type Options struct {
	Name       string
	DataCentre string
	// ControlAddress is where this instance is reached if it is a control instance.
	ControlAddress string
	// Seeds are addresses of control instances to begin with.
	Seeds  []string
	Dialer instance.Dialer
	// Decode reads a routing document.
	Decode func([]byte) (*routing.Document, error)
	Log    logr.Logger
}

// Snapshot is what the mesh knows at one time. It is not changed once it was returned.
type Snapshot struct {
	Revision uint64
	// Table is nil until a routing document is known.
	Table   *routing.Table
	Servers []discovery.Announcement
	Fence   uint64
	// Unresponsive are servers that don't answer several gateways.
	Unresponsive map[string]bool
}

// Mesh is safe for concurrent use.
type Mesh struct {
	options Options
	decoder *zstd.Decoder
	// fetches are the control instances that have a newer routing document. A full ring drops
	// one; the next beat repeats it.
	fetches *ring.Ring[string]

	mu        sync.Mutex
	directory *discovery.Directory
	document  routing.Publication
	table     *routing.Table
	seeds     []string
	// named holds the control instances that each control instance names.
	named    map[string][]string
	watchers map[string]int
	// voters are the control instances that this one knows by itself.
	voters []string
	fence  uint64
	usage  map[string]*use
	// totals are the sums of usage by server.
	totals map[string]Usage
	// others is the usage that each control instance tells, centres where it stands.
	others  map[string][]Usage
	centres map[string]string
	// merged is all of others together.
	merged  map[string]Usage
	running func() []Usage
	faulty  []string
	// faultyChanged is closed when faulty changes.
	faultyChanged chan struct{}
	// suspects are those that each control instance names.
	suspects map[string][]string
	// gateways is the largest number of gateways that a control instance has named.
	gateways map[string]int
	changed  chan struct{}
}

// New returns a mesh that knows its seeds only.
func New(o Options) (*Mesh, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, eris.Wrap(err, "mesh: decompressor")
	}
	return &Mesh{
		options:   o,
		decoder:   decoder,
		fetches:   ring.New[string](fetchBacklog),
		directory: discovery.NewDirectory(o.ControlAddress),
		seeds:     o.Seeds,
		named:     make(map[string][]string),
		watchers:  make(map[string]int),
		usage:     make(map[string]*use),
		totals:    make(map[string]Usage),
		others:    make(map[string][]Usage),
		centres:   make(map[string]string),
		suspects:  make(map[string][]string),
		gateways:  make(map[string]int),
		changed:   make(chan struct{}),
		running:   func() []Usage { return nil },

		faultyChanged: make(chan struct{}),
	}, nil
}

// Changed returns a channel that is closed at the next change.
func (m *Mesh) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notify wakes everybody who waits for a change. The caller holds the lock.
func (m *Mesh) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns what is known now.
func (m *Mesh) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Snapshot{
		Revision: m.directory.Revision(),
		Table:    m.table,
		Servers:  m.directory.All(),
		Fence:    m.fence,
		Unresponsive: m.allSuspects(),
	}
}

// Announce takes what a backend server says to this instance. It reports whether it is news.
func (m *Mesh) Announce(now time.Time, a discovery.Announcement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isNews := m.directory.Heard(now, a)
	if isNews {
		m.notify()
	}
	return isNews
}

// Leave takes the word of a backend server that it leaves.
func (m *Mesh) Leave(now time.Time, id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isNews := m.directory.Leave(now, id)
	if isNews {
		m.notify()
	}
	return isNews
}

// Expire marks servers as silent that were last heard before a time, by this instance or by a
// control instance whose watch is lost.
func (m *Mesh) Expire(now, since time.Time) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	expired := m.directory.Expire(now, since, func(control string) bool {
		_, ok := m.named[control]
		return ok
	})
	if len(expired) > 0 {
		m.notify()
	}
	return expired
}

// Revision rises with each change of the servers.
func (m *Mesh) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.directory.Revision()
}

// EncodeServers returns the servers that are known, for Recall.
func (m *Mesh) EncodeServers() ([]byte, error) {
	m.mu.Lock()
	all := m.directory.All()
	m.mu.Unlock()
	b := &wire.WatchBeat{}
	for _, a := range all {
		b.Servers = append(b.Servers, instance.AnnouncementToWire(a))
	}
	data, err := proto.Marshal(b)
	return data, eris.Wrap(err, "mesh: encode the servers")
}

// RestoreServers takes the servers that this instance knew before it was started anew, and returns how
// many these are.
func (m *Mesh) RestoreServers(now time.Time, data []byte) (int, error) {
	b := &wire.WatchBeat{}
	if err := proto.Unmarshal(data, b); err != nil {
		return 0, eris.Wrap(err, "mesh: decode the servers")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range b.Servers {
		m.directory.Recalled(now, instance.AnnouncementFromWire(s))
	}
	m.notify()
	return len(b.Servers), nil
}

// RaiseFence takes the fencing token of this instance as a leader.
func (m *Mesh) RaiseFence(fence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if fence > m.fence {
		m.fence = fence
		m.notify()
	}
}

// Decompress returns the text of a routing document.
func (m *Mesh) Decompress(p routing.Publication) ([]byte, error) {
	text, err := m.decoder.DecodeAll(p.Bytes, nil)
	return text, eris.Wrapf(err, "mesh: decompress routing document %d", p.Version)
}

// Publish takes a routing document that is applied. Older ones are passed over.
func (m *Mesh) Publish(p routing.Publication) error {
	text, err := m.Decompress(p)
	if err != nil {
		return err
	}
	d, err := m.options.Decode(text)
	if err != nil {
		return eris.Wrapf(err, "mesh: read routing document %d", p.Version)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Version <= m.document.Version {
		return nil
	}
	m.document = p
	m.table = routing.NewTable(d)
	m.options.Log.Info("took over a routing document", "version", p.Version, "routes", len(d.Routes), "workspaces", len(d.Workspaces))
	m.notify()
	return nil
}

// Routing returns the routing document that is applied here, compressed.
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
		m.notify()
	}
}

// Controls returns the addresses of the control instances that are known, without this one.
func (m *Mesh) Controls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool)
	for _, a := range m.seeds {
		known[a] = true
	}
	for _, named := range m.named {
		for _, a := range named {
			known[a] = true
		}
	}
	for _, a := range m.ownControls() {
		known[a] = true
	}
	delete(known, m.options.ControlAddress)
	delete(known, "")
	return slices.Sorted(maps.Keys(known))
}

// ownControls returns the control instances that this one knows at first hand; only those are
// named to others, so that one that is gone is forgotten. The caller holds the lock.
func (m *Mesh) ownControls() []string {
	out := slices.Clone(m.voters)
	for a := range m.watchers {
		out = append(out, a)
	}
	if m.options.ControlAddress != "" {
		out = append(out, m.options.ControlAddress)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// SetVoters takes the addresses of the voters, as this control instance knows them.
func (m *Mesh) SetVoters(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Equal(m.voters, addresses) {
		m.voters = addresses
		m.notify()
	}
}

// received merges a beat of a control instance.
func (m *Mesh) received(address string, b *wire.WatchBeat) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	isNews := false
	for _, s := range b.Servers {
		if m.directory.Told(now, instance.AnnouncementFromWire(s)) {
			isNews = true
		}
	}
	if b.RoutingVersion > m.document.Version {
		m.fetches.Offer(address)
	}
	if !slices.Equal(m.named[address], b.Controls) {
		m.named[address] = b.Controls
		isNews = true
	}
	if b.Fence > m.fence {
		m.fence = b.Fence
		isNews = true
	}
	m.centres[address] = b.DataCentre
	m.takeUsage(address, b)
	m.gateways[address] = int(b.Gateways)
	if !slices.Equal(m.suspects[address], b.Suspects) {
		m.suspects[address] = b.Suspects
		isNews = true
	}
	if isNews {
		m.notify()
	}
}

// takeUsage takes what a control instance tells of the others' usage. The caller holds the lock.
func (m *Mesh) takeUsage(address string, b *wire.WatchBeat) {
	switch {
	case !m.takesUsageOf(address):
		if _, ok := m.others[address]; !ok {
			return
		}
		delete(m.others, address)
	case b.LeavesOutUsage:
		return
	default:
		m.others[address] = usesFromWire(b.Others)
	}
	m.mergeOthers()
}

// lost forgets what a control instance has told of the control instances and of usage.
func (m *Mesh) lost(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.named, address)
	delete(m.others, address)
	m.mergeOthers()
	delete(m.centres, address)
	delete(m.suspects, address)
	delete(m.gateways, address)
}

// fetch takes the routing document of a control instance if it is newer.
func (m *Mesh) fetch(ctx context.Context, address string) error {
	have, _ := m.Routing()
	resp, err := m.options.Dialer.FetchRouting(ctx, address, have)
	if err != nil {
		return err
	}
	if len(resp.Document) == 0 {
		return nil
	}
	return m.Publish(routing.Publication{Version: resp.Version, Bytes: resp.Document})
}

// errLost is the reason of a lost watch when ctx ended it.
var errLost = errors.New("mesh: the watch has ended")
