// Package dispatch runs requests on backend servers. The decisions are made by other packages,
// such as route, retry, quarantine and pipeline; this package carries them out.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/linkcheck"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/route"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Fleet lists the backend servers that accept new work. Implementations must be safe for concurrent
// use; they may also implement LeavingLister and InstanceLister.
type Fleet interface {
	Available() []fleet.BackendServer
}

// Proposer applies commands to the replicated state. If Propose returns an error, the command may
// have been applied, or may still be applied later. Implementations must be safe for concurrent
// use.
type Proposer interface {
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
}

// Credits records the credit for an answered request.
type Credits interface {
	Credit(e credit.Entry)
}

// Dispatcher runs the requests of one instance. It is safe for concurrent use, except for the
// methods that must be called before the first request.
type Dispatcher struct {
	instance   string
	fleet      Fleet
	proposer   Proposer
	credits    Credits
	log        logr.Logger
	once       onceState
	resilience *resilience
	// selfReports is what the backend servers have said about themselves.
	selfReports *selfReports
	served      func(request string)
	links       *linkcheck.Checker
	// working counts the requests in progress.
	working atomic.Int64

	mu     sync.Mutex
	router *route.Router
}

// New returns a dispatcher for the named instance.
func New(instance, dataCentre string, f Fleet, p Proposer, c Credits, log logr.Logger) *Dispatcher {
	seed := xxhash.Sum64String(instance)
	d := &Dispatcher{
		instance:   instance,
		fleet:      f,
		proposer:   p,
		credits:    c,
		log:        log.WithName("route"),
		router:     route.New(route.Options{DataCentre: dataCentre, Seed: seed}),
		resilience: newResilience(seed, log.WithName("retry")),
		served:     func(string) {},

		selfReports: newSelfReports(seed),

		once: onceState{
			self:     ledger.Dispatcher{Instance: instance},
			peers:    noPeers{},
			flights:  newFlightGroup(),
			recorder: newOutcomeRecorder(p, log.WithName("ledger")),
			quorum:   &quorumGate{},
			pauses:   newPauseDetector(),
		},
	}
	d.links = d.newLinkChecker(seed)
	d.resilience.mayBlame = d.mayBlame
	return d
}

// UseNaivePolicy switches to round-robin routing and unlimited retries, for benchmarks. It must
// be called before the first request.
func (d *Dispatcher) UseNaivePolicy() {
	d.router.UseRoundRobin()
	d.resilience.naive = true
}

// OnServed sets the callback that is run when the backend servers have answered a request,
// before the answer and its credit are recorded. It must be set before the first request.
func (d *Dispatcher) OnServed(f func(request string)) { d.served = f }

// Request holds the fields that all kinds of requests share.
type Request struct {
	ID        string
	Service   settings.Service
	Workspace settings.Workspace
	Deadline  time.Time
}

func (d *Dispatcher) credit(r Request, id string) {
	d.credits.Credit(credit.Entry{Request: id, Member: r.Workspace.Member, Kind: r.Service.Name})
}

func errDeadline(o outcome.Outcome) *outcome.Error {
	return &outcome.Error{Outcome: o, Code: outcome.CodeDeadline, Message: "the deadline has passed"}
}
