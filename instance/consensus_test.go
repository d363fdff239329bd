package instance

import (
	"testing"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/matryer/is"
)

// Guards against a field of a consensus message that is lost on the way, which would leave followers without
// confirmation.
func TestAppendsCarryRoundsBetweenInstances(t *testing.T) {
	is := is.New(t)
	for _, m := range []consensus.Message{
		{Kind: consensus.KindAppend, From: "a", To: "b", Term: 3, Round: 9, AckedRound: 8, AckedEpoch: 1 << 60, ConfirmedRound: 7},
		{Kind: consensus.KindAppendReply, From: "b", To: "a", Term: 3, Round: 9, Hint: 5},
	} {
		got, ok := fromWire(toWire(m))
		is.True(ok)
		is.Equal(got, m)
	}
}
