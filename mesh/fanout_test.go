package mesh

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// next returns the next heartbeat of a feed, decoded as its watcher does.
func next(t *testing.T, f instance.WatchFeed) *wire.WatchBeat {
	t.Helper()
	encoded, err := f.Next(nil)
	if err != nil {
		t.Fatal(err)
	}
	b := &wire.WatchBeat{}
	if err := proto.Unmarshal(encoded, b); err != nil {
		t.Fatal(err)
	}
	return b
}

// watchedMesh is a control instance with servers and watchers. Each watcher is sent a heartbeat when
// it is woken, as instance.Server does, without usage.
type watchedMesh struct {
	*Mesh
	started time.Time
	servers []discovery.Announcement
	mu      sync.Mutex
	// seen holds the last state that each watcher was sent of each server.
	seen []map[string]uint32
}

func newWatchedMesh(t *testing.T, ctx context.Context, servers, watchers int) *watchedMesh {
	w := &watchedMesh{Mesh: newTestMesh(t, "10.0.0.5:7"), started: time.Now()}
	for i := range servers {
		a := discovery.Announcement{ID: fmt.Sprintf("s%04d", i), Sequence: 1, Address: fmt.Sprint("10.1.0.", i), Service: "advice", State: discovery.StateReady}
		w.servers = append(w.servers, a)
		w.Announce(w.started, a)
	}
	w.seen = make([]map[string]uint32, watchers)
	for i := range watchers {
		w.seen[i] = make(map[string]uint32)
		feed := w.NewWatchFeed(&wire.WatchRequest{Name: fmt.Sprint("g", i), NeedsNoUsage: true, Report: 1})
		go w.follow(t, ctx, i, feed)
	}
	synctest.Wait()
	return w
}

func (w *watchedMesh) follow(t *testing.T, ctx context.Context, watcher int, feed instance.WatchFeed) {
	for ctx.Err() == nil {
		woken := feed.Wake()
		b := next(t, feed)
		w.mu.Lock()
		for _, s := range b.Servers {
			w.seen[watcher][s.Id] = s.State
		}
		w.mu.Unlock()
		select {
		case <-woken:
		case <-ctx.Done():
		}
	}
}

// change changes the state of a server.
func (w *watchedMesh) change(server int) {
	a := &w.servers[server%len(w.servers)]
	a.Sequence++
	a.State = discovery.StateReady + discovery.StateDraining - a.State
	w.Announce(w.started, *a)
}

// workOf returns the work that a function causes until all watchers are up to date.
func (w *watchedMesh) workOf(do func()) FeedWork {
	before := w.FeedWork()
	do()
	time.Sleep(time.Second)
	synctest.Wait()
	after := w.FeedWork()
	return FeedWork{
		Heartbeats: after.Heartbeats - before.Heartbeats, Bytes: after.Bytes - before.Bytes,
		VisitedServers: after.VisitedServers - before.VisitedServers, EncodedServers: after.EncodedServers - before.EncodedServers,
	}
}

func (w *watchedMesh) checkUpToDate(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, seen := range w.seen {
		for _, a := range w.servers {
			if seen[a.ID] != uint32(a.State) {
				t.Fatalf("watcher %d of %d has state %d of %s, want %d", i, len(w.seen), seen[a.ID], a.ID, a.State)
			}
		}
	}
}

// Pattern: many instances watch few control instances, and servers change. The work of a control
// instance is in proportion to what changed, and a storm of changes costs it no more than 800 heartbeats a
// second, or one in 0.3 s for each watcher, whatever the number of watchers.
func TestWorkOfControlInstanceFollowsChanges(t *testing.T) {
	const servers = 205
	for _, watchers := range []int{60, 195, 360, 1000} {
		t.Run(fmt.Sprint(watchers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := newWatchedMesh(t, ctx, servers, watchers)

				one := w.workOf(func() { w.change(0) })
				w.checkUpToDate(t)
				is.Equal(one.Heartbeats, uint64(watchers))
				is.Equal(one.EncodedServers, uint64(1))
				is.True(one.VisitedServers <= uint64(2*watchers))
				is.True(one.Bytes <= uint64(watchers)*256)

				const changes = 1000 // one in a millisecond
				storm := w.workOf(func() {
					for i := range changes {
						w.change(i)
						time.Sleep(time.Millisecond)
					}
				})
				w.checkUpToDate(t)
				t.Logf("%d watchers: a change: %+v; a storm: %+v", watchers, one, storm)
				is.True(storm.Heartbeats <= uint64(max(800, watchers*10/3)+2*watchers))
				is.True(storm.EncodedServers <= changes)
				is.True(storm.VisitedServers <= uint64(changes*watchers)+storm.Heartbeats)
			})
		})
	}
}

func TestHeartbeatsAreSentInTurns(t *testing.T) {
	is := is.New(t)
	var s wakeSchedule
	member, last := newWaker(), newWaker()
	first, second := s.join(member, false), s.join(newWaker(), false)
	is.Equal(first, second)
	for range watchersPerTurn - 2 {
		s.join(newWaker(), false)
	}
	s.join(last, false)
	is.Equal(len(s.groups), 2)
	interval := wakeInterval(watchersPerTurn + 1)
	now := time.Unix(1000, 0)
	_, more := s.wakeNext(now)
	is.True(!more) // nothing has changed

	s.markChange()
	a, b := member.woken, last.woken
	wait, more := s.wakeNext(now)
	is.True(more)
	is.Equal(wait, turnInterval)
	<-a // the first group is woken at once
	s.markChange()
	wait, more = s.wakeNext(now.Add(wait))
	is.True(more) // the second change is still to be sent to the first group
	<-b
	is.Equal(wait, interval-turnInterval)
	_, more = s.wakeNext(now.Add(turnInterval + wait))
	is.True(!more)
}

func TestWatcherSubtractsItsOwnUsageFromTheSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control, gateway := newTestMesh(t, "10.0.0.5:7"), newTestMesh(t, "")
		running := []Usage{{Server: "s", Drafts: 3, TokenLayers: 30, Heads: 1}, {Server: "own", Drafts: 1, TokenLayers: 9}}
		gateway.SetLocalUsage(func() []Usage { return running })
		w := gateway.newWatcher("10.0.0.5:7")
		f := control.NewWatchFeed(w.Request())
		control.NewWatchFeed(&wire.WatchRequest{Name: "g2", Running: []*wire.DraftUse{{Server: "s", Drafts: 4, TokenLayers: 40}}})
		others := func() map[string]Usage {
			time.Sleep(usageInterval)
			w.HandleHeartbeat("10.0.0.5:7", next(t, f))
			return gateway.PeerUsage()
		}
		is.Equal(others(), map[string]Usage{"s": {Server: "s", Drafts: 4, TokenLayers: 40}})

		// A report that the sum doesn't include yet is not subtracted.
		running = nil
		f.HandleRequest(w.Request())
		is.Equal(others(), map[string]Usage{"s": {Server: "s", Drafts: 4, TokenLayers: 40}})

		// A report that is no longer known leaves the usage as it was.
		for range maxSubtractableReports {
			time.Sleep(instance.WatchInterval) // after which also an unchanged report is sent
			w.Request()
		}
		is.Equal(others(), map[string]Usage{"s": {Server: "s", Drafts: 4, TokenLayers: 40}})
		is.Equal(w.reports, uint64(2+maxSubtractableReports))
	})
}

// A gateway that has connected again is not sent a sum that includes the report of its previous
// connection.
func TestUsageOfPreviousConnectionIsNotSentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newTestMesh(t, "10.0.0.5:7")
		running := []*wire.DraftUse{{Server: "s", Drafts: 3, TokenLayers: 30}}
		m.NewWatchFeed(&wire.WatchRequest{Name: "g", Running: running, Report: 7})
		other := m.NewWatchFeed(&wire.WatchRequest{Name: "other", Report: 1})
		time.Sleep(usageInterval)
		is.Equal(len(next(t, other).Others), 1)
		again := m.NewWatchFeed(&wire.WatchRequest{Name: "g", Running: running, Report: 1})
		is.True(next(t, again).LeavesOutUsage)
		time.Sleep(usageInterval)
		b := next(t, again)
		is.Equal(b.IncludesReport, uint64(1))
		is.Equal(len(b.Others), 1)
	})
}

// Guards against gateways that take the same part of a server's limit: their ranks are distinct, and follow
// those that join and leave.
func TestGatewaysKnowTheirRanks(t *testing.T) {
	is := is.New(t)
	control := newTestMesh(t, "10.0.0.5:7")
	join := func(name string) (instance.WatchFeed, *Mesh) {
		return control.NewWatchFeed(&wire.WatchRequest{Name: name, NeedsNoUsage: true, Report: 1}), newTestMesh(t, "")
	}
	feedB, b := join("b")
	feedA, a := join("a")
	control.NewWatchFeed(&wire.WatchRequest{Name: "control-2", ControlAddress: "10.0.0.6:7"})
	for _, want := range []struct{ a, b, gateways int }{{0, 1, 2}, {-1, 0, 1}} {
		a.mergeHeartbeat("10.0.0.5:7", next(t, feedA))
		b.mergeHeartbeat("10.0.0.5:7", next(t, feedB))
		rank, _ := a.Rank()
		is.Equal(rank, want.a)
		rank, gateways := b.Rank()
		is.Equal(rank, want.b)
		is.Equal(gateways, want.gateways)
		feedA.Close()
	}
}

// Guards against a control instance that spends its processor on watchers while nothing happens: watches are kept alive by
// 250 messages a second in each direction, or 5 in 4 s for each watcher, and neither side waits longer than MaxWatchInterval.
func TestCalmWatchersCostFewMessages(t *testing.T) {
	const seconds = 10
	for _, watchers := range []int{8, 100, 195, 360} {
		t.Run(fmt.Sprint(watchers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				control := newTestMesh(t, "10.0.0.5:7")
				var mu sync.Mutex
				reports, oldest, oldestReport := 0, time.Duration(0), time.Duration(0)
				observe := func(isReport bool, silence time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					if isReport {
						reports++
						oldestReport = max(oldestReport, silence)
						return
					}
					oldest = max(oldest, silence)
				}
				for i := range watchers {
					gateway := newTestMesh(t, "")
					gateway.options.Name = fmt.Sprint("g", i)
					gateway.options.DataCentre = string(rune('a' + i%3)) // that of the control instance is "a"
					gateway.SetLocalUsage(func() []Usage { return []Usage{{Server: "y", Drafts: 1}, {Server: "x", Drafts: 2}} })
					time.Sleep(7 * time.Millisecond)
					go watchCalmly(t, ctx, control, gateway.newWatcher("10.0.0.5:7"), observe)
				}
				time.Sleep(3 * time.Second)
				synctest.Wait()
				before := control.FeedWork().Heartbeats
				mu.Lock()
				reports, oldest, oldestReport = 0, 0, 0
				mu.Unlock()
				time.Sleep(seconds * time.Second)
				synctest.Wait()
				heartbeats := control.FeedWork().Heartbeats - before
				mu.Lock()
				defer mu.Unlock()
				perSecond := max(250, watchers*5/4)
				t.Logf("%d watchers, %d s: %d heartbeats, %d reports, longest silence %v and %v", watchers, seconds, heartbeats, reports, oldest, oldestReport)
				is.True(heartbeats <= uint64(seconds*perSecond))
				is.True(reports <= seconds*perSecond)
				is.True(oldest <= instance.MaxWatchInterval)
				is.True(oldestReport <= instance.MaxWatchInterval)
			})
		})
	}
}

// watchCalmly connects a watcher to a control instance as instance.Server and instance.Dialer do. It calls observe for each
// report, and for each heartbeat with the time since the one before.
func watchCalmly(t *testing.T, ctx context.Context, control *Mesh, w *watcher, observe func(isReport bool, silence time.Duration)) {
	feed := control.NewWatchFeed(w.Request())
	go func() {
		last := time.Now()
		for sleep(ctx, w.Interval()); ctx.Err() == nil; sleep(ctx, w.Interval()) {
			if req := w.Request(); req != nil {
				observe(true, time.Since(last))
				last = time.Now()
				feed.HandleRequest(req)
			}
		}
	}()
	for last := time.Now(); ctx.Err() == nil; {
		woken := feed.Wake()
		w.HandleHeartbeat("10.0.0.5:7", next(t, feed))
		observe(false, time.Since(last))
		last = time.Now()
		select {
		case <-woken:
		case <-time.After(feed.Interval()):
		case <-ctx.Done():
		}
	}
}

// Guards against acknowledgements that come late and so make the next ones later: a server that turns from one control
// instance to another wakes no watcher, and all learn of it with their next heartbeat.
func TestServerThatTurnsToAnotherControlInstanceWakesNobody(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	now := time.Now()
	a := discovery.Announcement{ID: "a", Incarnation: 1, Sequence: 1, Address: "1", State: discovery.StateReady}
	is.True(m.Announce(now, a))
	f := m.NewWatchFeed(&wire.WatchRequest{Name: "g"})
	is.Equal(next(t, f).Servers[0].HeardBy, "10.0.0.5:7")
	isWoken := func(wake, changed <-chan struct{}) bool {
		select {
		case <-wake:
			return true
		case <-changed:
			return true
		default:
			return false
		}
	}
	wake, changed := f.Wake(), m.Changed()
	elsewhere := a
	elsewhere.Sequence, elsewhere.HeardBy = 2, "10.0.0.6:7"
	is.True(!m.mergeServers(now, "10.0.0.6:7", []*wire.AnnouncedServer{instance.AnnouncementToWire(elsewhere)}))
	is.True(!isWoken(wake, changed))
	is.Equal(next(t, f).Servers[0].HeardBy, "10.0.0.6:7")
	a.Sequence = 3
	is.True(!m.Announce(now, a)) // back here
	is.True(!isWoken(wake, changed))
	is.Equal(next(t, f).Servers[0].HeardBy, "10.0.0.5:7")
	a.Sequence, a.State = 4, discovery.StateDraining
	is.True(m.Announce(now, a))
	is.True(isWoken(wake, changed))
}

// Guards against control instances that spend their quota on the first heartbeats of new watches: what all of them are
// sent is encoded and put in order once.
func TestFirstHeartbeatsCopyWhatIsEncoded(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	for i := range 200 {
		m.Announce(time.Now(), discovery.Announcement{ID: fmt.Sprintf("s%04d", i), Sequence: 1, Address: fmt.Sprint("10.1.0.", i), State: discovery.StateReady})
	}
	f, ok := m.NewWatchFeed(&wire.WatchRequest{Name: "g", NeedsNoUsage: true}).(*feed)
	is.True(ok)
	buf, err := f.Next(nil)
	is.NoErr(err)
	allocations := testing.AllocsPerRun(100, func() {
		f.sentRevision = 0
		buf, err = f.Next(buf[:0])
	})
	is.NoErr(err)
	b := &wire.WatchBeat{}
	is.NoErr(proto.Unmarshal(buf, b))
	is.Equal(len(b.Servers), 200)
	is.True(allocations <= 4)
}
