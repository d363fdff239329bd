package gateway

import (
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/balsamlb/balsamlb/routing"
	"github.com/balsamlb/balsamlb/selfreport"
)

// job is the state of one request while the gateway handles it.
type job struct {
	header  RequestHeader
	request *http.Request
	body    []byte
	hasBody bool
	// conn is the caller's connection; nil if it isn't guarded.
	conn      *connguard.Conn
	route     *routing.Route
	service   *routing.Service
	workspace string
	priority  int
	// rank orders the request among those of its service; 0 is the most urgent.
	rank int
	// routing is the version of the routing document by which the request was admitted.
	routing  uint64
	arrived  time.Time
	deadline time.Time
	// origin is set if another gateway has passed the request on.
	origin *relayOrigin
	// attempts counts the sends in which the request may have run, including those in progress.
	attempts atomic.Int32
	// sends counts all sends, including those in which the request was not run.
	sends atomic.Int32
	// mayHaveRun means that some server may have run the request. The response must then not claim
	// that the request was not run.
	mayHaveRun atomic.Bool
	// borrowsRetry means that the next send needs a retry of the gateway to which the request is passed on.
	borrowsRetry atomic.Bool
	// heldBack holds the reasons for which the request was kept from a server, so that each is
	// counted once.
	heldBack [selfreport.Verdicts]atomic.Bool

	// runsMu guards the fields below. endedRuns are the crashes that would end the servers of the runs that have
	// broken off.
	runsMu    sync.Mutex
	endedRuns []quarantine.Crash
	// relaysTried are the instances to which the request was passed on, and relaysWithoutRetry the number of
	// them that only had no retry to lend.
	relaysTried        []string
	relaysWithoutRetry int

	fingerprintOnce sync.Once
	content         quarantine.Fingerprint // valid once fingerprint has returned
	crashes         requestCrashes
	// sharedParts are the parts of the prompt that other requests may have, too.
	sharedParts  []quarantine.Part
	trial        trial
	contentTrial contentTrial
}

// addEndedRun records the server of a run that has broken off.
func (j *job) addEndedRun(end quarantine.Crash) {
	j.contentTrial.endRun()
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	j.endedRuns = append(j.endedRuns, end)
}

// hasAttempt reports whether the route's limit allows a further attempt. Attempts on servers that have
// crashed for certain don't count against it, but no more runs than that may break off.
func (g *Gateway) hasAttempt(j *job) bool {
	limit := max(1, j.route.MaxAttempts)
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	crashed := 0
	for _, end := range j.endedRuns {
		if g.lost.isConfirmed(end) {
			crashed++
		}
	}
	return len(j.endedRuns) < limit && int(j.attempts.Load())-crashed < limit
}

// addAttempts changes the number of sends in which the request may have run.
func (j *job) addAttempts(n int32) {
	attempts := j.attempts.Add(n)
	if j.origin != nil {
		j.origin.SetAttempts(int(attempts) - j.origin.Attempts)
	}
}

// addTriedRelay records an instance to which the request was passed on.
func (j *job) addTriedRelay(name string) {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	j.relaysTried = append(j.relaysTried, name)
}

// triedRelays returns the instances to which the request was passed on, and how many of them count against the
// limit of tries.
func (j *job) triedRelays() (names []string, count int) {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	return slices.Clone(j.relaysTried), len(j.relaysTried) - j.relaysWithoutRetry
}

func (j *job) hasTriedRelays() bool {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	return len(j.relaysTried) > 0
}

// addRelayWithoutRetry records that the instance that was tried last had no retry to lend.
func (j *job) addRelayWithoutRetry() {
	j.runsMu.Lock()
	defer j.runsMu.Unlock()
	j.relaysWithoutRetry++
}
