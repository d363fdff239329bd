package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestSuspectIsIsolatedOnlyUntilServerSurvivesIt(t *testing.T) {
	is := is.New(t)
	tr := NewTracker()
	tr.Started(at(0), newRun("r", 1, "s-0"))
	crash(tr, at(1), "s-0", "r")
	is.Equal(tr.Check(at(2), 1), Suspect)
	tr.Started(at(2), newRun("r", 1, "s-1"))
	is.Equal(tr.Reserved(at(3), 2), []string{"s-1"})
	tr.Survived("r", "s-1")
	is.Equal(len(tr.Reserved(at(3), 2)), 0)
	is.Equal(tr.Check(at(3), 1), Suspect) // another crash still counts
}
