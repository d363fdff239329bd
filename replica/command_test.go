package replica

import (
	"github.com/balsamlb/balsamlb/config"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/ledger"
	"github.com/matryer/is"
)

// Guards against a command that brings a timestamp of its own: fields that are zero in the leader's
// timestamp kept its values, so a proposer could advance the replicated time.
func TestTimestampOfTheLeaderReplacesAnEarlierOne(t *testing.T) {
	is := is.New(t)
	c := Command{
		Abandon:   &ledger.Abandon{Key: ledger.Key{Workspace: "w"}, Attempt: "a"},
		Timestamp: Timestamp{Source: "proposer", Monotonic: 99 * time.Hour, Wall: time.Unix(9, 0)},
	}
	data, err := c.Encode()
	is.NoErr(err)
	stamp := Timestamp{Source: "leader", Wall: time.Unix(5, 0)}
	for range 2 {
		data, err = AddTimestamp(data, stamp)
		is.NoErr(err)
		got, err := Decode(data)
		is.NoErr(err)
		is.Equal(got.Timestamp.Source, "leader")
		is.Equal(got.Timestamp.Monotonic, time.Duration(0))
		is.True(got.Timestamp.Wall.Equal(stamp.Wall))
		is.Equal(got.Abandon, c.Abandon)
	}
	_, err = AddTimestamp([]byte{0xff}, stamp)
	is.True(err != nil)
}

// Guards against a read, or a drain, that takes the result of an earlier entry: another command may have followed that one.
func TestCommandsThatNameWhatTheyDoAreRepeatable(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		command      Command
		isRepeatable bool
	}{
		{Command{Publish: &Publish{}}, false},
		{Command{Begin: &ledger.Begin{LookupOnly: true}}, false},
		{Command{Publish: &Publish{Version: 1}}, true},
		{Command{Begin: &ledger.Begin{}}, true},
		{Command{Change: &config.Change{ID: "c"}}, true},
		{Command{Drain: &Drain{Server: "s"}}, false},
		{Command{}, false},
	} {
		data, err := c.command.Encode()
		is.NoErr(err)
		is.Equal(IsRepeatable(data), c.isRepeatable)
	}
	is.True(!IsRepeatable([]byte{0xff}))
}
