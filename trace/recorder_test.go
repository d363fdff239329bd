package trace

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/logs"
	"github.com/matryer/is"
)

func TestRecorderReturnsLinesOfRequest(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(10, func() time.Time { return time.Unix(5, 0) })
	log := r.Logger(logs.New(io.Discard, "info"))
	log.WithName("route").Info("chose a server", "request", "a", "server", "kandy-1", "cost_us", 7)
	log.WithName("route").Info("chose a server", "request", "b", "server", "kandy-2")
	log.WithName("draft").WithValues("request", "a").Error(errors.New("reset"), "a stage has failed", "stage", 1)
	is.Equal(r.Request("a"), []Line{
		{Sequence: 1, At: time.Unix(5, 0), Part: "route", Message: "chose a server", Fields: "server=kandy-1 cost_us=7", Request: "a"},
		{Sequence: 3, At: time.Unix(5, 0), Part: "draft", Message: "a stage has failed", Fields: "err=reset stage=1", Request: "a"},
	})
	is.Equal(len(r.After(1, 10)), 2)
	is.Equal(len(r.After(3, 10)), 0)
}

func TestRecorderKeepsOnlyTheLatestLines(t *testing.T) {
	is := is.New(t)
	r := NewRecorder(3, time.Now)
	log := r.Logger(logs.New(io.Discard, "info"))
	for i := range 5 {
		log.Info("line", "request", "a", "n", i)
	}
	lines := r.After(0, 10)
	is.Equal(len(lines), 3)
	is.Equal(lines[0].Fields, "n=2")
	is.Equal(lines[2].Sequence, uint64(5))
	is.Equal(len(r.After(0, 2)), 2)
}
