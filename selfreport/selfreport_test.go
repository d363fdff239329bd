package selfreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	first = Server{ID: "a", Incarnation: 100}
	again = Server{ID: "a", Incarnation: 200}
	asked = Source{Kind: "answer", Request: "req-1"}
)

func ready(s Server, sequence uint64) Announcement {
	return Announcement{Server: s, Sequence: sequence, IsReady: true}
}

func draining(s Server, sequence uint64) Announcement {
	return Announcement{Server: s, Sequence: sequence, IsDraining: true}
}

func TestLeavingCountsForOneIncarnation(t *testing.T) {
	is := is.New(t)
	r := New()
	is.True(r.AddLeaving(start, first, asked, ready(first, 3)))
	is.Equal(r.Check(start, first), Leaving)
	is.Equal(r.Check(start, again), Free)
	ends := r.Announced(start.Add(time.Second), ready(again, 1))
	is.Equal(ends, []End{{Server: first, Kind: Leaving, Source: asked, Age: time.Second, Why: "was restarted"}})
	is.Equal(r.Len(), 0)
}

func TestLeavingOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddLeaving(start, again, asked, ready(again, 1))
	is.True(!r.AddLeaving(start, first, asked, ready(again, 1)))
	is.Equal(r.Check(start, again), Leaving)
	is.Equal(r.Check(start, first), Free)
}

func TestLeavingIsNewOnce(t *testing.T) {
	is := is.New(t)
	r := New()
	is.True(r.AddLeaving(start, first, asked, Announcement{}))
	is.True(!r.AddLeaving(start.Add(time.Second), first, asked, Announcement{}))
}

// Each case is an order of an answer that says "leaving" and announcements; only a drain that is taken
// back by a later announcement ends the report.
func TestOrderOfAnswerAndAnnouncements(t *testing.T) {
	type step struct {
		announced Announcement
		isAnswer  bool
	}
	answer := step{isAnswer: true}
	ready, draining := func(n uint64) step { return step{announced: ready(first, n)} }, func(n uint64) step { return step{announced: draining(first, n)} }
	for name, c := range map[string]struct {
		steps []step
		want  Verdict
	}{
		"answer, old ready":                                {[]step{ready(5), answer, ready(5)}, Leaving},
		"answer, ready that may have been sent before":     {[]step{ready(5), answer, ready(6)}, Leaving},
		"answer, draining":                                 {[]step{ready(5), answer, draining(6)}, Leaving},
		"answer, draining, ready":                          {[]step{ready(5), answer, draining(6), ready(7)}, Free},
		"answer, draining, old ready":                      {[]step{ready(5), answer, draining(6), ready(5)}, Leaving},
		"draining, answer, ready":                          {[]step{ready(5), draining(6), answer, ready(7)}, Free},
		"draining, ready, answer":                          {[]step{draining(6), ready(7), answer, ready(7)}, Leaving},
		"draining, ready, answer, draining":                {[]step{draining(6), ready(7), answer, draining(8)}, Leaving},
		"answer, draining, ready, answer of a later drain": {[]step{answer, draining(6), ready(7), answer}, Leaving},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			newest := Announcement{}
			for _, s := range c.steps {
				if s.isAnswer {
					r.AddLeaving(start, first, asked, newest)
					continue
				}
				newest = s.announced
				r.Announced(start, newest)
			}
			is.Equal(r.Check(start, first), c.want)
		})
	}
}

func TestReportsAreForgottenAndBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range maxServers + 10 {
		r.AddLeaving(start.Add(time.Duration(i)), Server{ID: fmt.Sprint(i)}, asked, Announcement{})
	}
	is.Equal(r.Len(), maxServers)
	is.Equal(r.Check(start, Server{ID: "9"}), Free)
	is.Equal(r.Check(start, Server{ID: "10"}), Leaving)
	is.Equal(len(r.RemoveExpired(start.Add(forgetAfter-time.Second))), 0)
	is.Equal(len(r.RemoveExpired(start.Add(forgetAfter+time.Second))), maxServers)
	is.Equal(r.Len(), 0)
}
