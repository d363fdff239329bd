package daemon

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/membership"
)

// feed produces the heartbeats for one subscriber. A heartbeat carries only the changes since the
// previous one. One connection delivers the heartbeats in order and without loss. If it breaks, the
// subscriber opens a new connection, which gets a new feed.
type feed struct {
	state          *instanceState
	subscriber     membership.Member
	sameRegion     bool // the subscriber is in this region and uses the same backend servers
	sameDataCentre bool // the subscriber is in this data centre

	mu       sync.Mutex
	clock    uint64 // the subscriber's last clock reading, received at clockAt
	clockAt  time.Time
	leases   *fleet.Feed
	lastSent *wire.Member // nil before the first heartbeat
	interval time.Duration
	gossip   gossipFeed
}

// NewFeed returns the feed for a new subscriber.
func (s *instanceState) NewFeed(req *wire.SubscribeRequest) instance.Feed {
	m := membership.Member{}
	if req.Subscriber != nil {
		m = memberFromWire(req.Subscriber)
		s.learnMembers([]*wire.Member{req.Subscriber})
	}
	f := &feed{
		state:          s,
		subscriber:     m,
		sameRegion:     m.Region == s.process.Region,
		sameDataCentre: m.DataCentre == s.process.DataCentre,
		leases:         fleet.NewFeed(),
	}
	f.HandleClock(req)
	return f
}

// HandleClock records the subscriber's clock reading, which heartbeats echo.
func (f *feed) HandleClock(req *wire.SubscribeRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock, f.clockAt = req.ClockMs, time.Now()
}

// Wake returns a channel that is closed when the next heartbeat should be sent. The heartbeats to all
// subscribers of the region are sent at the same time, so that the processor wakes up less often.
func (f *feed) Wake() <-chan struct{} {
	if f.sameRegion {
		return f.state.heartbeats.regional.wait()
	}
	return f.state.heartbeats.urgent.wait()
}

// Next returns the next heartbeat and the longest time until the one after.
func (f *feed) Next() (*wire.Beat, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	b := &wire.Beat{EchoMs: f.clock + uint64(now.Sub(f.clockAt).Milliseconds())}
	f.addShared(now, b)
	if f.sameDataCentre {
		f.gossip.add(now, f.state.gossip, f.subscriber.Name, b)
	}
	return b, f.interval + heartbeatSlack
}

// addShared adds the fields that come from the state guarded by instanceState.mu.
func (f *feed) addShared(now time.Time, b *wire.Beat) {
	s := f.state
	s.mu.Lock()
	defer s.mu.Unlock()
	f.addMember(memberToWire(s.self(), now), b)
	f.addInterval(b)
	if !s.confirmedAt.IsZero() {
		b.ConfirmedMs = 1 + uint64(max(0, now.Sub(s.confirmedAt).Milliseconds()))
	}
	if f.sameRegion {
		updateToWire(b, f.leases.Next(now, s.registry.Direct(now)))
	}
}

// addMember adds what has changed in the description of this instance since the previous heartbeat.
func (f *feed) addMember(self *wire.Member, b *wire.Beat) {
	if f.lastSent == nil || f.lastSent.Leaving != self.Leaving || f.lastSent.Left != self.Left {
		b.Member = self
	} else if f.lastSent.SharedIndex != self.SharedIndex {
		b.SharedIndex = self.SharedIndex
		b.ConfigVersion = self.ConfigVersion
	}
	f.lastSent = self
}

// remoteHeartbeatInterval is the heartbeat interval to subscribers of other regions.
const remoteHeartbeatInterval = time.Second

func (f *feed) addInterval(b *wire.Beat) {
	interval := remoteHeartbeatInterval
	if f.sameRegion {
		interval = f.state.heartbeatInterval()
	}
	if interval != f.interval {
		f.interval = interval
		b.IntervalMs = uint32(interval.Milliseconds())
	}
}

func updateToWire(b *wire.Beat, u fleet.Update) {
	for _, d := range u.Described {
		// Marshal can't fail, since BackendServer holds only plain values.
		announcement, _ := json.Marshal(d.Server)
		b.Described = append(b.Described, &wire.ServerDescription{Slot: uint32(d.Slot), Announcement: announcement})
	}
	b.Remaining = u.Remaining
	for _, c := range u.Loads {
		b.Loads = append(b.Loads, &wire.ServerLoad{Slot: uint32(c.Slot), Running: uint32(c.Load.Running), Queued: uint32(c.Load.Queued)})
	}
}

// updateFromWire decodes the update in a heartbeat.
func updateFromWire(b *wire.Beat) (fleet.Update, error) {
	u := fleet.Update{Remaining: b.Remaining}
	for _, d := range b.Described {
		var server fleet.BackendServer
		if err := json.Unmarshal(d.Announcement, &server); err != nil {
			return u, err
		}
		u.Described = append(u.Described, fleet.Description{Slot: int(d.Slot), Server: server})
	}
	for _, l := range b.Loads {
		u.Loads = append(u.Loads, fleet.LoadChange{Slot: int(l.Slot), Load: fleet.Load{Running: int(l.Running), Queued: int(l.Queued)}})
	}
	return u, nil
}
