package bench

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/matryer/is"
)

// sendRecord is a send with its start and end in milliseconds.
type sendRecord struct {
	call, end int
	outcome   outcome.Outcome
	answer    string
}

func TestHistoriesOfOneKey(t *testing.T) {
	for name, c := range map[string]struct {
		sends []sendRecord
		want  porcupine.CheckResult
	}{
		"a duplicate gets the answer":                {[]sendRecord{{0, 1, outcome.Answered, "x"}, {2, 3, outcome.Answered, "x"}}, porcupine.Ok},
		"two answers":                                {[]sendRecord{{0, 1, outcome.Answered, "x"}, {2, 3, outcome.Answered, "y"}}, porcupine.Illegal},
		"refused, then run":                          {[]sendRecord{{0, 1, outcome.NotRun, ""}, {2, 3, outcome.Answered, "x"}}, porcupine.Ok},
		"run, then reported not run":                 {[]sendRecord{{0, 1, outcome.Answered, "x"}, {2, 3, outcome.NotRun, ""}}, porcupine.Illegal},
		"reported not run while the first runs":      {[]sendRecord{{0, 5, outcome.Answered, "x"}, {2, 3, outcome.NotRun, ""}}, porcupine.Ok},
		"an unknown send runs later":                 {[]sendRecord{{0, 1, outcome.Unknown, ""}, {2, 3, outcome.NotRun, ""}, {4, 5, outcome.Answered, "x"}}, porcupine.Ok},
		"a concurrent duplicate is reported not run": {[]sendRecord{{0, 1, outcome.Answered, "x"}, {0, 1, outcome.NotRun, ""}}, porcupine.Ok},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			for i, s := range c.sends {
				h.record(i, "k", h.start.Add(time.Duration(s.call)*time.Millisecond), sendResult{outcome: s.outcome, answer: s.answer})
				if h.ops[i].Return = int64(s.end) * int64(time.Millisecond); s.outcome == outcome.Unknown {
					h.ops[i].Return = int64(time.Hour)
				}
			}
			is.Equal(h.checkLinearizability(), c.want)
		})
	}
}
