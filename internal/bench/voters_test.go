package bench

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a measured slope of 0 where the samples don't determine one.
func TestSlopeOfOneSampleIsLeftOut(t *testing.T) {
	is := is.New(t)
	details := make(map[string]float64)
	perSecond := func(s votersSample) float64 { return s.perSecond }
	addVotersSlope(details, "slope", []votersSample{{voters: 3, perSecond: 100}}, perSecond)
	is.Equal(len(details), 0)
	addVotersSlope(details, "slope", []votersSample{{voters: 3, perSecond: 100}, {voters: 5, perSecond: 90}}, perSecond)
	is.True(details["slope"] > -5.001 && details["slope"] < -4.999)
}

// Guards against an error text with a missing cause.
func TestRefusedLeaveNamesTheStatus(t *testing.T) {
	is := is.New(t)
	is.NoErr(leaveError(200, nil))
	err := leaveError(503, nil)
	is.True(strings.Contains(err.Error(), "503"))
	is.True(!strings.Contains(err.Error(), "%!"))
}
