package pipeline

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
)

// Guards against a draft that is ended because its only server is silent for 1.2 s and accepts no new
// connection meanwhile. A draft that can't go elsewhere waits for its server until its deadline.
func TestSilentServerWithoutReplacementDoesNotEndTheDraft(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	only := Stage{Server: fleet.BackendServer{Name: "a", Layers: fleet.Range{From: 0, To: 4}}, Layers: fleet.Range{From: 0, To: 4}}
	s := NewStream(StreamSpec{Request: "r", Layers: 4, MaxTokens: 8, Deadline: now.Add(20 * time.Second), Chain: Chain{only}, Limits: DefaultLimits()})
	opened := func(actions []Action) (conn int) {
		for _, a := range actions {
			if o, ok := a.(Open); ok {
				conn = o.Conn
			}
		}
		return conn
	}
	conn := opened(s.Begin(now))
	is.True(conn != 0)
	s.Opened(now, conn, Progress{})
	s.Token(now, conn, Token{Request: "r", Attempt: 1, Index: 0, Text: "t", Passed: []Pass{{Server: "a", Layers: only.Layers}}})
	is.True(!s.IsDone())
	// The server is silent: the connection is given up, and the next one is not answered in time.
	now = now.Add(DefaultLimits().SilenceTimeout)
	conn = opened(s.Tick(now))
	is.True(conn != 0)
	now = now.Add(400 * time.Millisecond) // backend.openHeaderTimeout
	for _, a := range s.Failed(now, conn, ReasonNoAnswer) {
		if r, ok := a.(Replace); ok {
			s.NoReplacement(now, r.Stage)
		}
	}
	is.True(!s.IsDone()) // 18.9 s are left
}
