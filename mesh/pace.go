package mesh

import (
	"time"

	"github.com/balsamlb/balsamlb/instance"
)

const (
	// usageInterval is the shortest time between two usage reports that a gateway and a control instance of
	// the same data centre send each other. At 150 new drafts a second in a data centre, a report
	// misses up to 15 of them; at four times the interval, servers were filled to 1.2 times their
	// memory.
	usageInterval = 100 * time.Millisecond
	// remoteUsageInterval is that between a gateway and a control instance of another data centre, which only
	// places layers by it. It is remoteUsageTime for each gateway if that is longer.
	remoteUsageInterval = 250 * time.Millisecond
	remoteUsageTime     = 2500 * time.Microsecond
	// calmTime is the time for each gateway between two messages on a watch in one direction while there is nothing
	// to say. So the messages that keep the watches of a control instance alive are 200 a second in each direction.
	calmTime = 5 * time.Millisecond
	// minWakeInterval is the shortest time between two heartbeats to a watcher that are caused by changes; changes
	// within it are sent in one heartbeat. It is wakeTime for each watcher if that is longer, which bounds these
	// heartbeats to 800 a second, and maxWakeInterval at most: claims of trials must be known everywhere within 0.6 s.
	minWakeInterval = 20 * time.Millisecond
	wakeTime        = 1250 * time.Microsecond
	maxWakeInterval = 300 * time.Millisecond
)

// calmInterval returns the longest time between two messages in one direction on a watch of a control instance that
// serves a number of gateways.
func calmInterval(gateways int) time.Duration {
	return min(max(instance.WatchInterval, time.Duration(gateways)*calmTime), instance.MaxWatchInterval)
}

// remoteInterval returns the shortest time between two usage reports of a gateway to a control instance of another data
// centre that serves a number of gateways.
func remoteInterval(gateways int) time.Duration {
	return min(max(remoteUsageInterval, time.Duration(gateways)*remoteUsageTime), calmInterval(gateways))
}

// wakeInterval returns the shortest time between two heartbeats to one of a number of watchers that are caused by changes.
func wakeInterval(watchers int) time.Duration {
	return min(max(minWakeInterval, time.Duration(watchers)*wakeTime), maxWakeInterval)
}
