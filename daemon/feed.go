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

// feed makes the beats for one subscriber. Only what has changed since the beat before is
// sent, since the stream loses nothing: a subscriber that misses a beat starts a new feed.
type feed struct {
	s          *shared
	subscriber membership.Member
	isRegion   bool // the subscriber uses the same backend servers
	isLocal    bool // the subscriber stands in the same data centre

	mu       sync.Mutex
	clock    uint64 // the subscriber's last clock
	clockAt  time.Time
	leases   *fleet.Feed
	sent     *wire.Member // nil before the first beat
	interval time.Duration
	facts    factsFeed
}

// NewFeed returns the feed for a new subscriber.
func (s *shared) NewFeed(req *wire.SubscribeRequest) instance.Feed {
	m := membership.Member{}
	if req.Subscriber != nil {
		m = fromWire(req.Subscriber)
		s.learn([]*wire.Member{req.Subscriber})
	}
	f := &feed{
		s:          s,
		subscriber: m,
		isRegion:   m.Region == s.process.Region,
		isLocal:    m.DataCentre == s.process.DataCentre,
		leases:     fleet.NewFeed(),
	}
	f.HandleClock(req)
	return f
}

// HandleClock takes the subscriber's clock.
func (f *feed) HandleClock(req *wire.SubscribeRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock, f.clockAt = req.ClockMs, time.Now()
}

// Wake returns a channel that is closed when the next beat should be sent. All subscribers of
// the region are sent to at the same time, so that the processor is woken less often.
func (f *feed) Wake() <-chan struct{} {
	if f.isRegion {
		return f.s.pulse.beat.wait()
	}
	return f.s.pulse.urgent.wait()
}

// Next returns the next beat and the time to the one after.
func (f *feed) Next() (*wire.Beat, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	b := &wire.Beat{EchoMs: f.clock + uint64(now.Sub(f.clockAt).Milliseconds())}
	f.addShared(now, b)
	if f.isLocal {
		f.facts.add(now, f.s.facts, f.subscriber.Name, b)
	}
	return b, f.interval + pulseSlack
}

// addShared adds what is guarded by the mutex of shared.
func (f *feed) addShared(now time.Time, b *wire.Beat) {
	s := f.s
	s.mu.Lock()
	defer s.mu.Unlock()
	f.addMember(toWire(s.self(), now), b)
	f.addInterval(b)
	if !s.confirmedAt.IsZero() {
		b.ConfirmedMs = 1 + uint64(max(0, now.Sub(s.confirmedAt).Milliseconds()))
	}
	if f.isRegion {
		addUpdate(b, f.leases.Next(now, s.registry.Direct(now)))
	}
}

// addMember adds what has changed of this instance.
func (f *feed) addMember(self *wire.Member, b *wire.Beat) {
	if f.sent == nil || f.sent.Leaving != self.Leaving || f.sent.Left != self.Left {
		b.Member = self
	} else if f.sent.SharedIndex != self.SharedIndex {
		b.SharedIndex = self.SharedIndex
		b.ConfigVersion = self.ConfigVersion
	}
	f.sent = self
}

// remoteInterval is how often an instance sends to a subscriber of another region.
const remoteInterval = time.Second

func (f *feed) addInterval(b *wire.Beat) {
	interval := remoteInterval
	if f.isRegion {
		interval = f.s.beatInterval()
	}
	if interval != f.interval {
		f.interval = interval
		b.IntervalMs = uint32(interval.Milliseconds())
	}
}

func addUpdate(b *wire.Beat, u fleet.Update) {
	for _, d := range u.Described {
		// BackendServer holds only plain values, which always encode.
		announcement, _ := json.Marshal(d.Server)
		b.Described = append(b.Described, &wire.ServerDescription{Slot: uint32(d.Slot), Announcement: announcement})
	}
	b.Remaining = u.Remaining
	for _, c := range u.Loads {
		b.Loads = append(b.Loads, &wire.ServerLoad{Slot: uint32(c.Slot), Running: uint32(c.Load.Running), Queued: uint32(c.Load.Queued)})
	}
}

// updateOf returns the update in a beat.
func updateOf(b *wire.Beat) (fleet.Update, error) {
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
