package mesh

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/balsamlb/balsamlb/internal/bootclock"
	"golang.org/x/sync/errgroup"
)

const (
	// maxWatches bounds the control instances that are watched at the same time.
	maxWatches = 32
	// maxSubtractableReports is the number of own reports that are remembered to subtract them from
	// the usage of all watchers. At usageInterval, they cover 1.6 s. A sum that includes an older one is left out.
	maxSubtractableReports = 16
)

// errWatchEnded is logged for a watch that ended without an error.
var errWatchEnded = errors.New("mesh: the watch has ended")

// Run watches all known control instances until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return m.runFetches(ctx) })
	watches := make(map[string]context.CancelFunc)
	for ctx.Err() == nil {
		changed := m.Changed()
		m.updateWatches(ctx, g, watches)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return g.Wait()
}

// updateWatches starts a watch for each new control instance and cancels the watches of removed
// control instances.
func (m *Mesh) updateWatches(ctx context.Context, g *errgroup.Group, watches map[string]context.CancelFunc) {
	known := make(map[string]bool)
	for _, address := range m.Controls() {
		known[address] = true
		if _, ok := watches[address]; ok || len(watches) >= maxWatches {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		watches[address] = cancel
		g.Go(func() error {
			m.watch(watchCtx, address)
			return nil
		})
	}
	for address, cancel := range watches {
		if !known[address] {
			cancel()
			delete(watches, address)
		}
	}
}

// watch keeps one control instance watched until ctx ends, and reconnects with backoff.
func (m *Mesh) watch(ctx context.Context, address string) {
	var retry time.Duration
	wasConnected := false
	for ctx.Err() == nil {
		w := m.newWatcher(address)
		err := m.options.Dialer.Watch(ctx, address, w)
		m.forgetReports(address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errWatchEnded
		}
		if w.heartbeats > 0 || wasConnected {
			m.options.Log.Info("disconnected from a control instance", "address", address, "beats", w.heartbeats, "reason", err.Error())
		}
		wasConnected = w.heartbeats > 0
		if wasConnected {
			retry = 0
		}
		retry = redialDelay(retry, m.describeFailure(err))
		sleep(ctx, retry)
	}
}

// watcher is one connection that watches a control instance.
type watcher struct {
	mesh       *Mesh
	address    string
	heartbeats int
	crashes    crashReporter
	// reports is the number of reports sent, and reported holds the usage in the last of them, at the
	// index report%len(reported). The mesh's lock guards both.
	reports  uint64
	reported [maxSubtractableReports]ownReport
	// reportedAt is when the last report was sent, urgentReports the mesh's count then, and neededNoUsage and relaying are
	// what it said.
	reportedAt    time.Time
	urgentReports uint64
	neededNoUsage bool
	relaying      relayReport
}

// ownReport is what this instance has reported of its own work, and when, as bootclock.Now counts.
type ownReport struct {
	sent   time.Duration
	usage  []Usage
	demand []RankDemand
}

func (m *Mesh) newWatcher(address string) *watcher {
	return &watcher{mesh: m, address: address, crashes: crashReporter{evidence: m.crashes, ownOnly: true}}
}

// Request returns a message that describes this instance and its usage, or nil while there is nothing new to say.
func (w *watcher) Request() *wire.WatchRequest {
	m := w.mesh
	own := ownReport{sent: bootclock.Now(), usage: m.localUsage(), demand: m.localDemand()}
	slices.SortFunc(own.usage, func(a, b Usage) int { return cmp.Compare(a.Server, b.Server) })
	slices.SortFunc(own.demand, func(a, b RankDemand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.total(), b.total()))
	})
	if !w.takeNews(own) {
		return nil
	}
	crashes, partCrashes := w.crashes.next(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	w.reportedAt = time.Now()
	w.neededNoUsage, w.relaying = !m.acceptsUsageFrom(w.address), m.relaying
	w.reports++
	w.reported[w.reports%maxSubtractableReports] = own
	return &wire.WatchRequest{
		Report:         w.reports,
		Name:           m.options.Name,
		ControlAddress: m.options.ControlAddress,
		DataCentre:     m.options.DataCentre,
		Running:        usageListToWire(own.usage),
		Demand:         demandListToWire(own.demand),
		Faulty:         m.reachability.Unresponsive,
		Unreached:      m.reachability.Unreached,
		Answering:      m.reachability.Answering,
		IsCutOff:       m.reachability.IsCutOff,
		RelayAddress:   m.relaying.address,
		NeedsRelays:    m.relaying.isNeeded,
		NeedsNoUsage:   w.neededNoUsage,
		Crashes:        crashes,
		PartCrashes:    partCrashes,
	}
}

// takeNews reports whether this instance has something to report to the control instance, if only that it still runs. What
// becomes urgent from then on is news for the next report.
func (w *watcher) takeNews(own ownReport) bool {
	m := w.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	last := &w.reported[w.reports%maxSubtractableReports]
	isUrgent := m.urgentReports != w.urgentReports
	w.urgentReports = m.urgentReports
	return w.reports == 0 || time.Since(w.reportedAt) >= w.calmInterval() || isUrgent ||
		w.neededNoUsage == m.acceptsUsageFrom(w.address) || w.relaying != m.relaying ||
		!slices.Equal(own.usage, last.usage) || !slices.Equal(own.demand, last.demand)
}

// calmInterval returns the longest time between two reports. The caller holds the lock.
func (w *watcher) calmInterval() time.Duration {
	if w.mesh.options.ControlAddress != "" || !w.mesh.crashes.IsEmpty() {
		return instance.WatchInterval
	}
	return calmInterval(w.mesh.gatewayCount.reports[w.address].gateways)
}

// Interval returns the time after which Request is called again.
func (w *watcher) Interval() time.Duration {
	m := w.mesh
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := usageInterval
	if m.dataCentres[w.address] != m.options.DataCentre {
		interval = remoteInterval(m.gatewayCount.reports[w.address].gateways)
	}
	return min(interval, max(time.Millisecond, w.calmInterval()-time.Since(w.reportedAt)))
}

// Wake returns a channel that is closed when this instance has something to report at once.
func (w *watcher) Wake() <-chan struct{} {
	w.mesh.mu.Lock()
	defer w.mesh.mu.Unlock()
	return w.mesh.reportChanged
}

// HandleHeartbeat merges a heartbeat.
func (w *watcher) HandleHeartbeat(address string, b *wire.WatchBeat) {
	if w.heartbeats == 0 {
		w.mesh.options.Log.Info("connected to a control instance", "address", address, "servers", len(b.Servers), "routing", b.RoutingVersion)
	}
	w.heartbeats++
	w.subtractOwnUsage(b)
	w.mergeConfirmation(b)
	w.mesh.mergeHeartbeat(address, b)
}

// subtractOwnUsage removes the usage of this instance from the usage of all watchers.
func (w *watcher) subtractOwnUsage(b *wire.WatchBeat) {
	if b.LeavesOutUsage || b.IncludesReport == 0 {
		return
	}
	w.mesh.mu.Lock()
	defer w.mesh.mu.Unlock()
	if b.IncludesReport > w.reports || w.reports-b.IncludesReport >= maxSubtractableReports {
		b.LeavesOutUsage = true
		return
	}
	own := w.reported[b.IncludesReport%maxSubtractableReports]
	b.Others = subtractUsage(b.Others, own.usage)
	b.Demand = subtractDemand(b.Demand, own.demand)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
