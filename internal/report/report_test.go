package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/bench"
	"github.com/matryer/is"
)

func TestPageComparesFiguresWithEarlierRun(t *testing.T) {
	is := is.New(t)
	base := 0.4
	now := Run{
		Version: "v2", At: time.Unix(0, 0).UTC(),
		Figures: []bench.Figure{
			{Bench: "throughput", Value: 0.961, Unit: "ratio", Bound: 1, Ratio: 0.961, Baseline: &base, Seed: 7, Details: map[string]float64{"tokens_per_s": 1234}},
			{Bench: "config", Value: 0.5, Unit: "s"},
		},
		Failures: []Failure{{Bench: "overload", Reason: "<no servers>"}},
	}
	earlier := Run{Version: "v1", Figures: []bench.Figure{{Bench: "throughput", Value: 0.9, Details: map[string]float64{"tokens_per_s": 1111}}}}
	var saved, out bytes.Buffer
	is.NoErr(Save(&saved, earlier))
	read, err := Read(&saved)
	is.NoErr(err)
	is.NoErr(Write(&out, now, &read))
	text := out.String()
	for _, want := range []string{"0.961", "0.9<", "1234", "1111", "naive baseline", "&lt;no servers&gt;", "Beside v1"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	is.Equal(strings.Count(text, "<svg"), 2)
	is.Equal(strings.Count(text, "<?xml"), 0)
	is.True(!strings.Contains(text, "http://127.")) // no addresses of the machine that ran it
}
