// Package replica implements the state that control instances replicate: the ledger of
// non-idempotent requests, the configuration, the routing document, the drains and the credits.
package replica

import (
	"maps"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/routing"
)

// Command is one entry of the replicated log. At most one field besides Level and Timestamp is set. A
// command with none set changes nothing.
type Command struct {
	Begin   *ledger.Begin
	Finish  *Finish
	Abandon *ledger.Abandon
	Change  *config.Change
	Drain   *Drain
	Credits *credit.Batch
	Publish *Publish
	// RaiseLevel raises the level in force to it.
	RaiseLevel formlevel.Level
	// Level is the level that a replica must know to apply the command; 0: formlevel.Base.
	Level formlevel.Level
	// Timestamp is set by the leader.
	Timestamp Timestamp
}

// Finish records the outcome of a non-idempotent request and counts its credit atomically.
type Finish struct {
	ledger.Finish
	// Credit is counted when the phase becomes finished. Credit.Request is not used.
	Credit credit.Entry
}

// Publish offers a routing document. A command with version 0 only reads the current document.
type Publish struct {
	Version uint64
	// Document is compressed with zstd.
	Document []byte
}

// PublishResult is the result of a Publish command. Document is set only for a read.
type PublishResult struct {
	Verdict  routing.Verdict
	Version  uint64
	Document []byte
}

// Drain is the order of an operator or a move to start or end the drain of a backend server.
type Drain struct {
	Server string    `json:"server"`
	On     bool      `json:"on"`
	At     time.Time `json:"at"`
	// Move is the name of the move that the drain belongs to, "" for a drain by an operator.
	Move string `json:"move,omitempty"`
}

// Result is the result of applying a command.
type Result struct {
	Ledger  *ledger.Result
	Config  *config.Result
	Publish *PublishResult
}

// View is the part of the state that is distributed to every instance. Views are ordered by
// Index, and an instance never replaces its view with an older one.
type View struct {
	// Index is the log index of the last command that changed the view.
	Index  uint64           `json:"index"`
	Config config.Document  `json:"config"`
	Drains map[string]Drain `json:"drains,omitempty"`
}

// State is the replicated state. It is not safe for concurrent use.
type State struct {
	Ledger  *ledger.Ledger
	Config  *config.History
	Credits *credit.Counter
	Drains  map[string]Drain
	Routing routing.Publication

	clock Clock
	// raised is the level in force; 0: formlevel.Base.
	raised formlevel.Level
	// viewIndex is the log index of the last command that changed the view.
	viewIndex uint64
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		Ledger:  ledger.New(),
		Config:  config.NewHistory(),
		Credits: credit.NewCounter(),
		Drains:  make(map[string]Drain),
	}
}

// ViewIndex returns the log index of the last command that changed the view.
func (s *State) ViewIndex() uint64 { return s.viewIndex }

// Level returns the level in force: the highest level of commands that may be proposed.
func (s *State) Level() formlevel.Level { return max(s.raised, formlevel.Base) }

// View returns a copy of the part of the state that is distributed to every instance.
func (s *State) View() View {
	return View{Index: s.viewIndex, Config: s.Config.Current(), Drains: maps.Clone(s.Drains)}
}

// Apply applies the command at the given log index. It is deterministic.
func (s *State) Apply(index uint64, c Command) Result {
	now := s.clock.advance(c.Timestamp)
	switch {
	case c.Begin != nil:
		r := s.Ledger.Begin(now, *c.Begin)
		return Result{Ledger: &r}
	case c.Finish != nil:
		r := s.finish(now, *c.Finish)
		return Result{Ledger: &r}
	case c.Abandon != nil:
		r := s.Ledger.Abandon(now, *c.Abandon)
		return Result{Ledger: &r}
	case c.Change != nil:
		r := s.Config.Apply(*c.Change)
		if r.Accepted && s.Config.Current().ChangeID == c.Change.ID {
			s.viewIndex = index
		}
		return Result{Config: &r}
	case c.Drain != nil:
		s.applyDrain(*c.Drain)
		s.viewIndex = index
	case c.Credits != nil:
		s.Credits.Add(*c.Credits)
	case c.Publish != nil:
		r := s.publish(*c.Publish)
		return Result{Publish: &r}
	case c.RaiseLevel != 0:
		s.raised = max(s.raised, c.RaiseLevel)
	}
	return Result{}
}

// finish records the outcome and counts the credit if this command changed the phase to
// finished, so that repeated commands are credited once.
func (s *State) finish(now ledger.CommandTime, f Finish) ledger.Result {
	before, _ := s.Ledger.Lookup(f.Key)
	r := s.Ledger.Finish(now, f.Finish)
	if r.Verdict == ledger.VerdictFinished && before.Phase != ledger.PhaseFinished && f.Credit.Member != "" {
		s.Credits.Count(f.Credit)
	}
	return r
}

// publish returns the document itself only for a read. A publisher has the document already.
func (s *State) publish(p Publish) PublishResult {
	r := PublishResult{Verdict: s.Routing.Offer(p.Version, p.Document), Version: s.Routing.Version}
	if p.Version == 0 {
		r.Document = s.Routing.Bytes
	}
	return r
}

func (s *State) applyDrain(d Drain) {
	if d.On {
		s.Drains[d.Server] = d
		return
	}
	delete(s.Drains, d.Server)
}
