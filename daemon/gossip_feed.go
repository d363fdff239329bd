package daemon

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// repairInterval is how long a peer's notices must differ from those of this instance. After
	// that, this instance sends the peer all of its notices.
	repairInterval = 2 * time.Second
	// usageInterval is the minimum time between two reports of usage.
	usageInterval = 500 * time.Millisecond
	// usageBudget bounds the workspaces in the usage reports of one round, added up over all peers
	// that receive a report.
	usageBudget = 512
	// minUsage is the smallest limit of workspaces in one report, however many peers there are.
	minUsage = 8
)

// gossipFeed selects the notices and the usage for one subscriber. Each instance sends the notices
// that it publishes to all subscribers at once. It forwards the notices of other instances only to a
// peer whose notices have differed for repairInterval.
type gossipFeed struct {
	// nextLocal is the sequence number of the first notice published here that was not sent yet.
	nextLocal uint64
	// digest is the last digest that was sent to the subscriber.
	digest uint64
	// differsSince is when the notices that the peer holds were first seen to differ from those
	// held here, or when the last repair was sent. It is zero while both hold the same notices.
	differsSince time.Time
	// usage is the last report that was sent to the subscriber.
	usage *wire.Usage
}

// add adds notices and usage to a heartbeat.
func (f *gossipFeed) add(now time.Time, source *gossip, peer string, b *wire.Beat) {
	f.addNotices(now, source, peer, b)
	f.addUsage(now, source, b)
}

func (f *gossipFeed) addNotices(now time.Time, source *gossip, peer string, b *wire.Beat) {
	source.mu.Lock()
	defer source.mu.Unlock()
	digest := source.notices.Digest(now) | 1 // never 0, which means unchanged
	if digest != f.digest {
		f.digest = digest
		b.NoticesDigest = digest
	}
	held, known := source.peerDigests[peer]
	repair := f.isRepairDue(now, known && held != digest)
	for _, n := range source.notices.All(now) {
		isLocal := source.notices.IsLocal(n.ID)
		if repair || isLocal && n.ID.Sequence >= f.nextLocal {
			b.Notices = append(b.Notices, noticeToWire(n, now))
		}
	}
	f.nextLocal = source.notices.Sequence() + 1
}

// isRepairDue reports whether the notices of the peer have differed for repairInterval.
func (f *gossipFeed) isRepairDue(now time.Time, differs bool) bool {
	switch {
	case !differs:
		f.differsSince = time.Time{}
	case f.differsSince.IsZero():
		f.differsSince = now
	case now.Sub(f.differsSince) >= repairInterval:
		f.differsSince = now
		return true
	}
	return false
}

// addUsage adds the usage if it has changed since the last report. All feeds share one report.
func (f *gossipFeed) addUsage(now time.Time, source *gossip, b *wire.Beat) {
	usage := source.report.current(now, source)
	if usage == nil || usage == f.usage {
		return
	}
	f.usage = usage
	b.Usage = usage
}

// usageReport caches the last report of usage. The pointer stays the same while the usage does, so
// that feeds detect a change by comparing pointers.
type usageReport struct {
	mu    sync.Mutex
	at    time.Time
	usage *wire.Usage
}

// current returns the cached report, which is refreshed if it is older than usageInterval.
func (r *usageReport) current(now time.Time, source *gossip) *wire.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usage != nil && now.Sub(r.at) < usageInterval {
		return r.usage
	}
	r.at = now
	usage := source.localUsage(now, max(minUsage, usageBudget/max(1, source.peers())))
	if r.usage == nil || !proto.Equal(r.usage, usage) {
		r.usage = usage
	}
	return r.usage
}

// peers returns how many peers of the data centre have sent a digest of their notices.
func (g *gossip) peers() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.peerDigests)
}
