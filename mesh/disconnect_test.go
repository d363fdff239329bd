package mesh

import (
	"testing"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

// isClosed reports whether the channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against a gateway that avoids a server long after the only control instance that called it
// unresponsive is gone: what such an instance had reported was dropped without a word.
func TestForgottenReportsAreAChange(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	m.mergeHeartbeat("10.0.0.1:7", &wire.WatchBeat{Suspects: []string{"s1"}})
	changed := m.Changed()
	m.forgetReports("10.0.0.1:7")
	is.Equal(len(m.Snapshot().Unresponsive), 0)
	is.True(isClosed(changed))
	changed = m.Changed()
	m.forgetReports("10.0.0.1:7") // it could not be reached again
	is.True(!isClosed(changed))
}
