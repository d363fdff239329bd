package mesh

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/bootclock"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// Guards against a document that becomes outdated without a log line, and against a line for each check.
func TestAgeOverTheBoundIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	lines := 0
	a := AgeMonitor{Bound: time.Second, Log: funcr.New(func(string, string) { lines++ }, funcr.Options{})}
	observe := func(c Confirmation) int {
		before := lines
		a.Observe(c)
		a.Observe(c)
		return lines - before
	}
	now := bootclock.Now()
	fresh := Confirmation{At: now, Version: 3, InForce: 3, IsExpected: true, By: "10.0.0.1:7"}
	old := fresh
	old.At -= 2 * time.Second
	is.Equal(observe(Confirmation{}), 0) // no document
	is.Equal(observe(fresh), 0)
	is.Equal(observe(old), 1)
	is.Equal(observe(fresh), 1)
	is.Equal(observe(Confirmation{InForce: 3}), 1) // an older build
	is.Equal(observe(Confirmation{InForce: 3, IsExpected: true}), 2)
}
