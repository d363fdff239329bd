package mesh

import (
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// EncodeServers encodes the known servers and the crash evidence, so that RestoreServers can restore
// them after a restart.
func (m *Mesh) EncodeServers() ([]byte, error) {
	m.mu.Lock()
	all := m.directory.All()
	m.mu.Unlock()
	b := &wire.WatchBeat{}
	reporter := &crashReporter{evidence: m.crashes}
	for !reporter.isFull() {
		contents, parts := reporter.next(time.Now())
		b.Crashes = append(b.Crashes, contents...)
		b.PartCrashes = append(b.PartCrashes, parts...)
	}
	for _, a := range all {
		b.Servers = append(b.Servers, instance.AnnouncementToWire(a))
	}
	data, err := proto.Marshal(b)
	return data, eris.Wrap(err, "mesh: encode the servers")
}

// RestoreServers adds the servers and the crash evidence that this instance knew before its restart,
// as EncodeServers encoded them, and returns the number of servers. The time between is not known,
// so it doesn't count for the age of crashes.
func (m *Mesh) RestoreServers(now time.Time, data []byte) (int, error) {
	b := &wire.WatchBeat{}
	if err := proto.Unmarshal(data, b); err != nil {
		return 0, eris.Wrap(err, "mesh: decode the servers")
	}
	m.crashes.merge(now, b.Crashes, b.PartCrashes)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range b.Servers {
		m.directory.Restore(now, instance.AnnouncementFromWire(s))
	}
	m.broadcast()
	return len(b.Servers), nil
}
