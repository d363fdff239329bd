package daemon

import (
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/instance/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// repairInterval is how long a peer must hold other notices until all are sent to it.
	repairInterval = 2 * time.Second
	// usageInterval is the least time between two reports of usage.
	usageInterval = 500 * time.Millisecond
	// usageBudget bounds the workspaces that an instance reports in a round to all its peers.
	usageBudget = 512
	// minUsage is the least number of workspaces in a report.
	minUsage = 8
)

// factsFeed makes the notices and the usage for one subscriber. Each instance sends its own
// notices to all at once; those of others only to a peer that lacks them.
type factsFeed struct {
	// next is the first own notice that was not sent.
	next   uint64
	digest uint64
	// differsSince is when the peer was first seen to hold other notices, zero while it
	// holds the same.
	differsSince time.Time
	// usage is the last report that was sent.
	usage *wire.Usage
}

// add adds notices and usage to a beat.
func (f *factsFeed) add(now time.Time, all *facts, peer string, b *wire.Beat) {
	f.addNotices(now, all, peer, b)
	f.addUsage(now, all, b)
}

func (f *factsFeed) addNotices(now time.Time, all *facts, peer string, b *wire.Beat) {
	all.mu.Lock()
	defer all.mu.Unlock()
	digest := all.notices.Digest(now) | 1
	if digest != f.digest {
		f.digest = digest
		b.NoticesDigest = digest
	}
	held, known := all.digests[peer]
	repair := f.isRepairDue(now, known && held != digest)
	for _, n := range all.notices.All(now) {
		isOwn := all.notices.IsLocal(n.ID)
		if repair || isOwn && n.ID.Sequence >= f.next {
			b.Notices = append(b.Notices, noticeToWire(n, now))
		}
	}
	f.next = all.notices.Sequence() + 1
}

// isRepairDue reports whether the peer has held other notices for long enough.
func (f *factsFeed) isRepairDue(now time.Time, differs bool) bool {
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

// addUsage adds the usage when it has changed. All feeds share one report.
func (f *factsFeed) addUsage(now time.Time, all *facts, b *wire.Beat) {
	usage := all.report.current(now, all)
	if usage == nil || usage == f.usage {
		return
	}
	f.usage = usage
	b.Usage = usage
}

// usageReport is the last report of usage, which stays the same object while nothing changes.
type usageReport struct {
	mu    sync.Mutex
	at    time.Time
	usage *wire.Usage
}

// current returns the report, which is made anew when it is old.
func (r *usageReport) current(now time.Time, all *facts) *wire.Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.usage != nil && now.Sub(r.at) < usageInterval {
		return r.usage
	}
	r.at = now
	usage := all.localUsage(now, max(minUsage, usageBudget/max(1, all.peers())))
	if r.usage == nil || !proto.Equal(r.usage, usage) {
		r.usage = usage
	}
	return r.usage
}

// peers returns the number of instances of the data centre that send notices here.
func (f *facts) peers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.digests)
}
