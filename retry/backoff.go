package retry

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff returns how long to wait before a try, counted from 1 for the first retry. Half of
// it is random, so that requests that failed together don't come back together.
func Backoff(try int, random *rand.Rand) time.Duration {
	d := minBackoff
	for i := 1; i < try && d < maxBackoff; i++ {
		d *= 2
	}
	d = min(d, maxBackoff)
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}
