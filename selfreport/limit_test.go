package selfreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseLimit(t *testing.T) {
	is := is.New(t)
	for stated, want := range map[string]float64{"10.6": 10.6, " 1 ": 1, "0": 0, "17": 17} {
		got, ok := ParseLimit(stated)
		is.True(ok)
		is.Equal(got, want)
	}
	for _, stated := range []string{"", "-1", "NaN", "Inf", "1e999", "many"} {
		_, ok := ParseLimit(stated)
		is.True(!ok)
	}
}

// Guards against LIMIT: instances that each keep to a limit send more than it together. However many there
// are, with whatever usage, and after whatever idle time, they stay within one and a half times the
// limit and 5 requests in any 4 s.
func TestAllInstancesKeepALimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 20 * time.Millisecond
		n := rapid.SampledFrom([]int{1, 2, 7, 30, 195}).Draw(t, "instances")
		perSecond := rapid.SampledFrom([]float64{0, 0.3, 1, 2.5, 10.6, 60}).Draw(t, "limit")
		server := Server{ID: fmt.Sprint("s", rapid.IntRange(0, 99).Draw(t, "server")), Incarnation: 1}
		reports := make([]*Reports, n)
		inFlight := make([]int, n)
		for i := range reports {
			reports[i] = New()
			reports[i].AddLimit(start, server, asked, perSecond, Division{Instances: n, Rank: -1})
			inFlight[i] = rapid.IntRange(0, 20).Draw(t, "in flight")
		}
		idle := time.Duration(rapid.IntRange(0, 60).Draw(t, "idle seconds")) * time.Second
		var sent []time.Time
		for step := range 500 {
			now := start.Add(time.Duration(step) * tick)
			if step > 0 {
				now = now.Add(idle)
			}
			all := 0
			for _, k := range inFlight {
				all += k
			}
			for i, r := range reports {
				r.Divide(now, map[string]Division{server.ID: {Instances: n, Rank: i, Own: inFlight[i], All: all}})
				for r.Check(now, server) == Free {
					r.TakeRequest(now, server)
					sent = append(sent, now)
				}
			}
		}
		for i, at := range sent {
			count := 0
			for _, other := range sent[i:] {
				if other.Sub(at) <= 4*time.Second {
					count++
				}
			}
			if float64(count) > 1.5*4*perSecond+5 {
				t.Fatalf("%d requests in 4 s", count)
			}
		}
	})
}

// A limit is used, not only kept: the instances that have the requests send nearly all that the server takes.
func TestLimitIsUsedByThoseThatHaveRequests(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 7, 30} {
		sent := 0
		for i := range min(n, 2) { // the others have none
			r := New()
			d := Division{Instances: n, Rank: i, Own: 10, All: 10 * min(n, 2)}
			r.AddLimit(start, first, asked, 40, d)
			for step := range 1000 {
				now := start.Add(time.Duration(step) * 10 * time.Millisecond)
				for r.Check(now, first) == Free {
					r.TakeRequest(now, first)
					sent++
				}
			}
		}
		is.True(sent > 300) // of 400
	}
}

func TestLimitEndsWithAnAnswerThatNamesNone(t *testing.T) {
	is := is.New(t)
	r := New()
	is.True(r.AddLimit(start, first, asked, 1, Division{Instances: 1}))
	is.Equal(r.Check(start, first), Limited)
	is.True(!r.AddLimit(start.Add(time.Second), first, asked, 2, Division{Instances: 1}))
	is.Equal(len(r.EndLimit(start.Add(time.Second), start.Add(-time.Second), first)), 0) // an older answer
	is.Equal(len(r.EndLimit(start.Add(2*time.Second), start.Add(time.Second), first)), 1)
	is.Equal(r.Check(start.Add(2*time.Second), first), Free)
	is.Equal(r.Len(), 0)
}

func TestInstanceWithoutAKnownRankSendsNothing(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddLimit(start, first, asked, 100, Division{Instances: 3, Rank: -1})
	is.Equal(r.Check(start.Add(time.Hour), first), Limited)
}
