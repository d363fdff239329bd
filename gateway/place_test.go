package gateway

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/matryer/is"
)

func TestTimeWaitedBeforeARequest(t *testing.T) {
	route := &routing.Route{TimeLimit: 20 * time.Second, Objective: 500 * time.Millisecond}
	patience := new(admission.Patience)
	now := time.Unix(1_800_000_000, 0)
	patience.SetCalm(now, true)
	for i := range 20 { // first requests, all of which state the whole limit
		patience.Observe(now.Add(time.Minute+time.Duration(i)*time.Second), route.TimeLimit, route.TimeLimit)
	}
	for _, c := range []struct {
		name   string
		header RequestHeader
		want   time.Duration
	}{
		{"the first request", RequestHeader{TimeLeft: 20 * time.Second}, 0},
		{"no time is stated", RequestHeader{}, 0},
		{"it comes back after a refusal", RequestHeader{TimeLeft: 17 * time.Second}, 3 * time.Second},
		{"a caller with little patience", RequestHeader{TimeLeft: 1500 * time.Millisecond}, 0},
		{"a caller with more patience than the route's", RequestHeader{TimeLeft: time.Minute}, 0},
		{"a stream goes on", RequestHeader{TimeLeft: 20 * time.Second, LastEvent: "7"}, route.Objective},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(waitedBefore(patience, route, &c.header), c.want) })
	}
}
