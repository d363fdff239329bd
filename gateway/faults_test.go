package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDeadServerIsLeftOutUntilItIsHeardOrRestarted(t *testing.T) {
	is := is.New(t)
	f := newFaults()
	now := time.Unix(1000, 0)
	known := func(string) bool { return true }
	silent := func(string) bool { return true }
	heard := func(string) bool { return false }
	is.True(f.died(now, "a"))
	is.True(!f.died(now, "a")) // already known
	is.True(f.avoids(now, "a"))
	is.Equal(f.listDead(now, heard, known), []string{"a"})

	later := now.Add(deadFor)
	is.True(!f.avoids(later, "a"))
	is.Equal(f.listDead(later, heard, known), nil)
	is.Equal(f.listDead(later, silent, known), []string{"a"}) // silent, so it stays excluded
	is.True(f.isCondemned("a"))
	f.lives("a")
	is.True(!f.isCondemned("a"))

	f.died(now, "b")
	f.restarted("b")
	is.True(!f.avoids(now, "b"))
	is.True(!f.isCondemned("b"))
}

func TestRefusingServerIsLeftOutForAMoment(t *testing.T) {
	is := is.New(t)
	f := newFaults()
	now := time.Unix(1000, 0)
	f.refused(now, "a", shortFor)
	is.True(f.avoids(now, "a"))
	is.True(!f.isDead(now, "a"))
	is.True(!f.avoids(now.Add(shortFor), "a"))
}

func TestForgottenServersAreForgottenHereToo(t *testing.T) {
	is := is.New(t)
	f := newFaults()
	now := time.Unix(1000, 0)
	f.died(now, "a")
	gone := func(string) bool { return false }
	is.Equal(f.listDead(now.Add(deadFor), gone, gone), nil)
	is.True(!f.isCondemned("a"))
}
