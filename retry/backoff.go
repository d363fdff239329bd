package retry

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff returns how long to wait before retry number try, which counts from 1. Half of the
// delay is random jitter, so that requests that failed together are not retried together.
func Backoff(try int, random *rand.Rand) time.Duration {
	d := minBackoff
	for i := 1; i < try && d < maxBackoff; i++ {
		d *= 2
	}
	d = min(d, maxBackoff)
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}
