package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/mesh"
)

const (
	// maxQueued bounds the requests of one service that wait at this instance.
	maxQueued = 64
	// admissionInterval is the time between two looks at the waiting requests.
	admissionInterval = 20 * time.Millisecond
	// demandLag is the time until other gateways hear of a change of demand: a report to a control instance
	// and its next heartbeat.
	demandLag = 250 * time.Millisecond
	// demandTTL is how long the others' demand is used after it was heard last. Then each of them is taken
	// to have this instance's.
	demandTTL = instance.MaxWatchInterval + 500*time.Millisecond
	// othersName is the name under which the other gateways' demand is kept.
	othersName = "others"
	// refusedWindow is how long a refused caller counts as demand: most come back within that time.
	refusedWindow = 2 * time.Second
	// typicalFirstAnswer and typicalGap are the times of an answer before any was observed.
	typicalFirstAnswer = 100 * time.Millisecond
	typicalGap         = 10 * time.Millisecond
)

// admitter decides which requests of ranked services start, wait or are refused, and counts what callers ask
// for. It is safe for concurrent use.
type admitter struct {
	// firstForecast is held while the first room of a service is worked out.
	firstForecast sync.Mutex

	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[string]chan admission.Action
	nextID     uint64
	// running counts the drafts of services that are not ranked, and refused holds when requests were
	// refused for lack of room.
	running map[string]int
	refused map[refusedKey][]time.Time
	// services holds the ranked services that had requests.
	services map[string]bool
	// patience recognizes retries, by service, and toldToReturn is when a Retry-After was last sent.
	patience     map[string]*admission.Patience
	toldToReturn time.Time
	// levels holds the last logged level of each service.
	levels map[string]admission.Level
}

type refusedKey struct {
	service string
	rank    int
}

func newAdmitter(seed uint64) *admitter {
	return &admitter{
		controller: admission.New(admission.Options{MaxQueued: maxQueued, Seed: seed, ReportLag: demandLag}),
		waiting:    make(map[string]chan admission.Action),
		running:    make(map[string]int),
		refused:    make(map[refusedKey][]time.Time),
		services:   make(map[string]bool),
		patience:   make(map[string]*admission.Patience),
		levels:     make(map[string]admission.Level),
	}
}

// deliver passes decisions on to the requests that wait for them. The caller holds mu.
func (a *admitter) deliver(actions []admission.Action) {
	for _, action := range actions {
		decisions, ok := a.waiting[action.ID]
		if !ok || action.Verdict == admission.Wait {
			continue
		}
		delete(a.waiting, action.ID)
		decisions <- action
	}
}

// recordRefusal counts a request that was refused for lack of room as demand for a while.
func (a *admitter) recordRefusal(now time.Time, service string, rank int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := refusedKey{service, rank}
	a.refused[k] = append(recent(a.refused[k], now), now)
}

// patienceOf returns what is known of the callers of a service. The caller holds mu.
func (a *admitter) patienceOf(service string) *admission.Patience {
	p := a.patience[service]
	if p == nil {
		p = new(admission.Patience)
		a.patience[service] = p
	}
	return p
}

// recordToldToReturn records that a caller was refused and asked to come back.
func (a *admitter) recordToldToReturn(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.toldToReturn = now
}

// setCalm records for each known service whether requests are refused, here or at other instances of this data centre.
// That is unknown without a report of theirs.
func (a *admitter) setCalm(now time.Time, others []mesh.RankDemand, isHeard bool) {
	refused := make(map[string]bool)
	for _, d := range others {
		refused[d.Service] = refused[d.Service] || d.Refused > 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	isCalmHere := isHeard && (a.toldToReturn.IsZero() || now.Sub(a.toldToReturn) > refusedWindow)
	for service, p := range a.patience {
		p.SetCalm(now, isCalmHere && !refused[service])
	}
}

// recent returns the times that are not older than refusedWindow.
func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) > refusedWindow {
		times = times[1:]
	}
	return times
}

// demand returns what callers ask of this instance, by service and rank.
func (a *admitter) demand() []mesh.RankDemand {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []mesh.RankDemand
	for pool := range a.services {
		for _, u := range a.controller.RankUsage(pool) {
			out = append(out, mesh.RankDemand{Service: pool, Rank: u.Rank, Running: u.Running, Waiting: u.Waiting, Arriving: u.Arriving})
		}
	}
	for service, n := range a.running {
		out = append(out, mesh.RankDemand{Service: service, Running: n})
	}
	for k, times := range a.refused {
		if times = recent(times, now); len(times) == 0 {
			delete(a.refused, k)
			continue
		}
		a.refused[k] = times
		out = append(out, mesh.RankDemand{Service: k.service, Rank: k.rank, Refused: len(times)})
	}
	return out
}

// runAdmission decides about the waiting requests as time passes, until ctx ends.
func (g *Gateway) runAdmission(ctx context.Context) error {
	ticker := time.NewTicker(admissionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			a := g.admitter
			a.mu.Lock()
			if len(a.waiting) > 0 {
				a.deliver(a.controller.Tick(now))
			}
			a.mu.Unlock()
		}
	}
}
