// Package session passes sequences of announcements, drafts, bookings and configuration changes
// through the decision packages and compares the decisions with golden files.
package session

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/balsamlb/balsamlb/route"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// session holds the state of the decision packages and a log of their decisions.
type session struct {
	out      strings.Builder
	now      time.Time
	registry *fleet.Registry
	router   *route.Router
	state    *replica.State
	index    uint64
}

func (s *session) logLine(format string, args ...any) {
	fmt.Fprintf(&s.out, "%6s  ", s.now.Sub(time.Unix(0, 0)))
	fmt.Fprintf(&s.out, format+"\n", args...)
}

func (s *session) announce(name string, layers fleet.Range, services ...string) {
	b := fleet.BackendServer{
		Name: name, Incarnation: 1, Sequence: 1, Address: "127.0.2.100:9000", DataCentre: "kandy",
		Services: services, Slots: 8, StepMicros: 4000, PrefillMicros: 50, Layers: layers,
	}
	if layers.Len() > 0 {
		b.Model = "icing-7b"
	}
	s.registry.Announce(s.now, b, 2*time.Second)
	s.logLine("announced %s layers %d-%d services %v", name, layers.From, layers.To, services)
}

func (s *session) available() []fleet.BackendServer {
	var out []fleet.BackendServer
	for _, b := range s.registry.Available(s.now) {
		if _, draining := s.state.View().Drains[b.Name]; !draining {
			out = append(out, b)
		}
	}
	return out
}

func (s *session) apply(c replica.Command) replica.Result {
	s.index++
	return s.state.Apply(s.index, c)
}

func (s *session) draft(id string, tokens int) {
	choice, err := s.router.Chain(s.now, route.Draft{Model: "icing-7b", Layers: 32, PromptTokens: 10, MaxTokens: tokens}, s.available())
	if err != nil {
		s.logLine("draft %s: %v", id, err)
		return
	}
	var passed []pipeline.Pass
	for _, st := range choice.Chain {
		passed = append(passed, pipeline.Pass{Server: st.Server.Name, Layers: st.Layers})
		s.logLine("draft %s: stage %s layers %d-%d", id, st.Server.Name, st.Layers.From, st.Layers.To)
	}
	stream := pipeline.NewReassembler(id, 32)
	for i := tokens - 1; i >= 0; i-- {
		out, err := stream.Add(pipeline.Token{Request: id, Attempt: 1, Index: i, Passed: passed})
		s.logLine("draft %s: token %d arrived, %d emitted, err %v", id, i, len(out), err)
	}
	s.logLine("draft %s: complete %t", id, stream.IsComplete(tokens))
}

func (s *session) book(attempt, idempotency string, digest byte) {
	key := ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: idempotency}
	r := s.apply(replica.Command{Begin: &ledger.Begin{Key: key, Digest: ledger.Digest{digest}, Attempt: attempt, Dispatcher: ledger.Dispatcher{Instance: "kandy-1"}}})
	s.logLine("booking %s key %s: verdict %d", attempt, idempotency, r.Ledger.Verdict)
	if r.Ledger.Verdict != ledger.VerdictGranted {
		return
	}
	c, err := s.router.Call(s.now, "booking", s.available(), nil)
	s.logLine("booking %s: dispatched to %s, err %v", attempt, c.Chosen.Name, err)
	r = s.apply(replica.Command{Finish: &replica.Finish{Finish: ledger.Finish{
		Key: key, Attempt: attempt, Phase: ledger.PhaseFinished, Answer: ledger.Answer{Status: 200},
	}}})
	s.logLine("booking %s: recorded, verdict %d", attempt, r.Ledger.Verdict)
}

func (s *session) change(id string, expect uint64) {
	r := s.apply(replica.Command{Change: &config.Change{ID: id, Expect: expect, Base: "[service draft]\n"}})
	s.logLine("change %s against version %d: accepted %t, version %d", id, expect, r.Config.Accepted, r.Config.Version)
}

func TestWholeSession(t *testing.T) {
	is := is.New(t)
	s := &session{
		now:      time.Unix(0, 0),
		registry: fleet.NewRegistry(),
		router:   route.New(route.Options{DataCentre: "kandy", Seed: 1}),
		state:    replica.NewState(),
	}
	s.announce("kandy-advice-0", fleet.Range{From: 0, To: 16})
	s.announce("kandy-advice-1", fleet.Range{From: 16, To: 32})
	s.announce("kandy-advice-2", fleet.Range{From: 0, To: 16})
	s.announce("kandy-ordering", fleet.Range{}, "booking")
	s.change("c1", 0)
	s.draft("d1", 3)
	s.book("b1", "key-1", 7)
	s.book("b2", "key-1", 7)
	s.book("b3", "key-1", 8)
	s.change("c2", 0)
	s.change("c2", 1)
	s.change("c2", 1)
	s.apply(replica.Command{Drain: &replica.Drain{Server: "kandy-advice-0", On: true, At: s.now}})
	s.logLine("drain kandy-advice-0")
	s.draft("d2", 1)
	s.now = s.now.Add(3 * time.Second)
	s.logLine("all leases have run out")
	s.draft("d3", 1)

	path := filepath.Join("testdata", "session.golden")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(s.out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(s.out.String(), string(want))
}
