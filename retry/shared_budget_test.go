package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// gatewayGroup is a group of instances that share a shared budget and retry as often as they may.
type gatewayGroup struct {
	shared   SharedBudget
	budgets  []*Budgets
	shares   []*Shares
	requests []float64 // of all instances, by tick
	retries  []float64
}

const (
	groupTick = 100 * time.Millisecond
	// requestTicks is the number of ticks between two requests at an instance.
	requestTicks = 10
)

var groupKey = Key{Workspace: "s", Service: "s"}

func newGatewayGroup(a SharedBudget, size int) *gatewayGroup {
	g := &gatewayGroup{shared: a}
	for range size {
		g.budgets = append(g.budgets, NewBudgets())
		g.shares = append(g.shares, &Shares{})
	}
	return g
}

func (g *gatewayGroup) now() time.Time {
	return epoch.Add(time.Duration(len(g.retries)) * groupTick)
}

// tick lets each instance retry as often as its budget allows. reported is the number of instances that
// each of them knows.
func (g *gatewayGroup) tick(reported func(instance int) int) {
	now, n := g.now(), len(g.retries)
	requests, retries := 0.0, 0.0
	for i, b := range g.budgets {
		count, isSettled := g.shares[i].Update(now, reported(i))
		b.SetShare(g.shared, count, isSettled)
		if n%requestTicks == 0 {
			b.RecordRequest(now, groupKey)
			requests++
		}
		for b.Allow(now, groupKey) {
			retries++
		}
	}
	g.requests = append(g.requests, requests)
	g.retries = append(g.retries, retries)
}

// restart gives an instance a new process.
func (g *gatewayGroup) restart(i int) {
	g.budgets[i], g.shares[i] = NewBudgets(), &Shares{}
}

// checkWindows checks the retries in each window.
func (g *gatewayGroup) checkWindows(t *testing.T) {
	t.Helper()
	size := int(g.shared.Window / groupTick)
	for i := 0; i+size <= len(g.retries); i++ {
		retries, requests := 0.0, 0.0
		for j := i; j < i+size; j++ {
			retries += g.retries[j]
			requests += g.requests[j]
		}
		// The windows of this test begin on any tick; a request may fall one tick outside.
		if allowed := g.shared.Reserve + g.shared.Ratio*(requests+float64(len(g.budgets))); retries > allowed {
			t.Fatalf("%v retries in the window from tick %d on, allowed %v", retries, i, allowed)
		}
	}
}

var testBudget = SharedBudget{Ratio: 0.2, Reserve: 354, Window: 10 * time.Second}

const groupSize = 85

// Guards against budgets that are refilled beside the reserve: together they exceed the shared budget when
// everything fails.
func TestRetriesOfAllInstancesStayWithinSharedBudget(t *testing.T) {
	g := newGatewayGroup(testBudget, groupSize)
	for range 600 {
		g.tick(func(int) int { return groupSize })
	}
	g.checkWindows(t)
	is.New(t).True(g.retries[len(g.retries)-1] < g.shared.Reserve)
}

// Guards against budgets that are full after a restart, and against shares computed from the few
// instances that are known right after it.
func TestRestartsDoNotMultiplyTheSharedBudget(t *testing.T) {
	g := newGatewayGroup(testBudget, groupSize)
	for n := range 900 {
		if n > 0 && n%150 == 0 {
			for i := range groupSize {
				g.restart(i)
			}
		}
		known := min(groupSize, 1+(n%150)*groupSize/10) // all are known after a second
		g.tick(func(int) int { return known })
	}
	g.checkWindows(t)
}

// Guards against an instance that takes the others' shares while it is cut off from them.
func TestCutOffInstancesKeepTheirShares(t *testing.T) {
	g := newGatewayGroup(testBudget, groupSize)
	for n := range 900 {
		g.tick(func(i int) int {
			if isCut := n > 200 && n < 200+int(shareHoldTime/groupTick); isCut && i%3 == 0 {
				return 1
			}
			return groupSize
		})
	}
	g.checkWindows(t)
}

func TestSharesFollowTheNumberOfInstances(t *testing.T) {
	is := is.New(t)
	s := &Shares{}
	now := epoch
	at := func(d time.Duration, reported int) (int, bool) { return s.Update(now.Add(d), reported) }
	count, isSettled := at(0, 2)
	is.Equal(count, 2)
	is.True(!isSettled)
	count, isSettled = at(time.Second, 5) // grows at once
	is.Equal(count, 5)
	is.True(!isSettled)
	_, isSettled = at(time.Second+shareSettleTime, 5)
	is.True(isSettled)
	count, _ = at(10*time.Second, 3)
	is.Equal(count, 5)
	count, _ = at(11*time.Second, 4)
	is.Equal(count, 5)
	count, isSettled = at(10*time.Second+shareHoldTime, 3)
	is.Equal(count, 4) // the largest of the numbers reported in the meantime
	is.True(isSettled)
}

// Guards against shares below one retry: if the reserve is small for the number of instances, none of
// them may ever retry, however many requests it has served.
func TestSmallSharesStillAllowRetries(t *testing.T) {
	g := newGatewayGroup(SharedBudget{Ratio: 0.2, Reserve: 100, Window: 10 * time.Second}, groupSize)
	retries := 0.0
	for range 1200 {
		g.tick(func(int) int { return groupSize })
		retries += g.retries[len(g.retries)-1]
	}
	g.checkWindows(t)
	// 10,200 requests in two minutes allow 2,040 retries besides the reserve.
	is.New(t).True(retries > 0)
}
