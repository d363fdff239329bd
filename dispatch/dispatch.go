// Package dispatch carries requests out: it asks the decision packages what to do and does
// it on the backend servers.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/route"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
)

// Fleet tells which backend servers may be given new work.
type Fleet interface {
	Available() []fleet.BackendServer
}

// Proposer runs commands through the replicated state.
type Proposer interface {
	Propose(ctx context.Context, c replica.Command) (replica.Result, error)
}

// Credits takes the credit for an answered request.
type Credits interface {
	Credit(e credit.Entry)
}

// Dispatcher carries requests out for one instance.
type Dispatcher struct {
	instance string
	fleet    Fleet
	proposer Proposer
	credits  Credits
	log      logr.Logger
	once     onceCaller
	guard    *guard
	served   func(request string)

	mu     sync.Mutex
	router *route.Router
}

// New returns a dispatcher for the named instance.
func New(instance, dataCentre string, f Fleet, p Proposer, c Credits, log logr.Logger) *Dispatcher {
	seed := xxhash.Sum64String(instance)
	return &Dispatcher{
		instance: instance,
		fleet:    f,
		proposer: p,
		credits:  c,
		log:      log.WithName("route"),
		router:   route.New(route.Options{DataCentre: dataCentre, Seed: seed}),
		guard:    newGuard(seed, log.WithName("retry")),
		served:   func(string) {},
		once: onceCaller{
			self:    ledger.Dispatcher{Instance: instance},
			peers:   noPeers{},
			flights: newFlights(),
			settler: newSettler(p, log.WithName("ledger")),
			quorum:  &quorumGate{},
			stall:   newStallWatch(),
		},
	}
}

// UseNaivePolicy is for benchmarks: servers are chosen in turn, and retries have no budget. It
// must be called before the first request.
func (d *Dispatcher) UseNaivePolicy() {
	d.router.UseRoundRobin()
	d.guard.naive = true
}

// OnServed sets what is told that the backend servers have answered a request, before the
// answer and its credit are recorded. It must be set before the first request.
func (d *Dispatcher) OnServed(f func(request string)) { d.served = f }

// Request is what all kinds of request have in common.
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
