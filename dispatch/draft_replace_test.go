package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

func draftStage(name string, from, to int) pipeline.Stage {
	layers := fleet.Range{From: from, To: to}
	return pipeline.Stage{Layers: layers, Server: fleet.BackendServer{
		Name: name, Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "kandy", Model: "m", Layers: layers, Slots: 8,
	}}
}

// Guards against servers that stay reserved for a suspect draft until it ends: a second replacement
// during the probation of the first one made the draft forget the first one's server.
func TestSecondReplacementKeepsTheProbationOfTheFirst(t *testing.T) {
	is := is.New(t)
	chain := pipeline.Chain{draftStage("a0", 0, 4), draftStage("b0", 4, 8)}
	d := New("kandy-1", "kandy", fixedFleet{draftStage("a1", 0, 4).Server, draftStage("b1", 4, 8).Server}, nil, noCredits{}, logr.Discard())
	now := time.Now()
	r := Draft{Prompt: "p", PromptTokens: 1, MaxTokens: 8, Request: Request{
		ID: "r", Service: settings.Service{Name: "draft", Model: "m", Layers: 8}, Deadline: now.Add(time.Minute),
	}}
	d.HandleNotice(now, membership.Notice{
		Kind: membership.NoticeCrash, Fingerprint: uint64(r.fingerprint()), Servers: []string{"a0"}, Expires: now.Add(time.Minute),
	})
	run := newDraftRun(t.Context(), d, r, chain, ring.New[DraftEvent](1))
	defer run.cancel()
	run.tryReplace(pipeline.Replace{Chain: chain, Stage: 0, Layers: chain[0].Layers, Server: "a0"})
	chain = pipeline.Chain{draftStage("a1", 0, 4), chain[1]}
	run.tryReplace(pipeline.Replace{Chain: chain, Stage: 1, Layers: chain[1].Layers, Server: "b0"})
	reserved := d.resilience.tracker.Reserved(now, r.fingerprint()+1)
	is.True(slices.Contains(reserved, "a1") && slices.Contains(reserved, "b1"))
	is.Equal(run.probationEnd, probationTokens)
	run.probationEnd = run.stream.Next() // as if the new servers had run their tokens
	run.endProbation()
	is.Equal(d.resilience.tracker.Reserved(now, r.fingerprint()+1), nil)
}

// Guards against telling callers of a draft whose tokens are missing that a token skipped layers.
func TestMissingTokenIsNamedAsTheReason(t *testing.T) {
	is := is.New(t)
	is.Equal(draftOutcome(&pipeline.OrderError{Request: "r", Missing: 3}, true).Message, "a token of the answer is missing")
	is.Equal(draftOutcome(&pipeline.CoverageError{Request: "r"}, true).Message, "a token did not pass every layer once, in order")
	is.Equal(draftOutcome(&pipeline.OrderError{}, false).Outcome, outcome.Failed) // tokens have arrived
}
