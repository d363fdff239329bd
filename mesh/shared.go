package mesh

import (
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// sharedUsageInterval is how long the encoded usage of all watchers is sent unchanged.
const sharedUsageInterval = usageInterval / 2

// sharedFragments holds the encoded parts of heartbeats that all watchers are sent. A heartbeat is a
// concatenation of encoded messages, which decodes to the merged message; so the work to send a change
// to many watchers is that of encoding it once and copying it. The mesh's lock guards it.
type sharedFragments struct {
	// common holds the values that each heartbeat contains. It is nil when one of them has changed.
	common []byte
	// servers holds the encoded announcements by server.
	servers map[string]*serverFragment
	// usage holds the usage of all watchers as of usageAt, when its revision was usageRevision.
	usage         []byte
	usageAt       time.Time
	usageRevision uint64
}

type serverFragment struct {
	announcement discovery.Announcement
	encoded      []byte
}

// FeedWork counts what a control instance has done to send heartbeats to its watchers.
type FeedWork struct {
	Heartbeats uint64
	Bytes      uint64
	// VisitedServers counts the servers that were looked at to find those that have changed, and
	// EncodedServers those that were encoded.
	VisitedServers uint64
	EncodedServers uint64
	// EncodedUsage counts the servers whose usage was encoded.
	EncodedUsage uint64
}

// FeedWork returns what this control instance has done so far.
func (m *Mesh) FeedWork() FeedWork {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.feedWork
	w.VisitedServers = m.directory.Visited()
	return w
}

// appendCommon appends the values that each heartbeat contains. The caller holds the lock.
func (m *Mesh) appendCommon(buf []byte) ([]byte, error) {
	if m.shared.common == nil {
		encoded, err := proto.Marshal(&wire.WatchBeat{
			RoutingVersion: m.document.Version,
			Controls:       m.directControls(),
			Fence:          m.fence,
			Suspects:       m.unresponsiveHere,
			Doubted:        m.doubtsHere.doubted,
			Answering:      m.doubtsHere.answering,
			Gateways:       uint32(len(m.watcherReports)),
			DataCentre:     m.options.DataCentre,
		})
		if err != nil {
			return nil, eris.Wrap(err, "mesh: encode a heartbeat")
		}
		m.shared.common = encoded
	}
	return append(buf, m.shared.common...), nil
}

// appendServers appends the servers that have changed since the revision. The caller holds the lock.
func (m *Mesh) appendServers(buf []byte, revision uint64) ([]byte, error) {
	for a := range m.directory.ChangedSince(revision) {
		fragment := m.shared.servers[a.ID]
		if fragment == nil || fragment.announcement != *a {
			encoded, err := proto.Marshal(&wire.WatchBeat{Servers: []*wire.AnnouncedServer{instance.AnnouncementToWire(*a)}})
			if err != nil {
				return nil, eris.Wrapf(err, "mesh: encode server %s", a.ID)
			}
			fragment = &serverFragment{announcement: *a, encoded: encoded}
			m.shared.servers[a.ID] = fragment
			m.feedWork.EncodedServers++
		}
		buf = append(buf, fragment.encoded...)
	}
	return buf, nil
}

// removeForgotten removes the fragments of servers that the directory no longer holds, once these may
// be as many as the others. The caller holds the lock.
func (m *Mesh) removeForgotten() {
	if len(m.shared.servers) <= 2*m.directory.Len() {
		return
	}
	for id := range m.shared.servers {
		if _, ok := m.directory.Get(id); !ok {
			delete(m.shared.servers, id)
		}
	}
}

// appendSharedUsage appends the usage of all watchers. It is encoded anew at most once in
// sharedUsageInterval. The caller holds the lock.
func (m *Mesh) appendSharedUsage(buf []byte, now time.Time) ([]byte, error) {
	if err := m.encodeUsage(now); err != nil {
		return nil, err
	}
	return append(buf, m.shared.usage...), nil
}

// encodeUsage encodes the usage of all watchers if it is outdated, and records for each watcher which
// of its reports it includes. The caller holds the lock.
func (m *Mesh) encodeUsage(now time.Time) error {
	if m.shared.usage != nil && now.Sub(m.shared.usageAt) < sharedUsageInterval {
		return nil
	}
	b := &wire.WatchBeat{Others: make([]*wire.DraftUse, 0, len(m.usageTotals))}
	for _, total := range m.usageTotals {
		if total.Drafts > 0 || total.TokenLayers > 0 {
			b.Others = append(b.Others, usageToWire(total))
		}
	}
	b.Demand, b.HasDemand = m.demandHere(), true
	encoded, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 0, len(m.shared.usage)+64), b)
	if err != nil {
		return eris.Wrap(err, "mesh: encode the usage")
	}
	m.shared.usage, m.shared.usageAt, m.shared.usageRevision = encoded, now, m.usageRevision
	m.feedWork.EncodedUsage += uint64(len(b.Others))
	for _, r := range m.watcherReports {
		r.feed.includedReport = r.number
	}
	return nil
}
