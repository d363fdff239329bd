package selfreport

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxStatedBytes bounds a value that is kept as it stands.
	maxStatedBytes = 64
	// maxSeconds bounds times in seconds, so that they fit into a time.Duration.
	maxSeconds = 1e9
)

// ParsePause parses a time in seconds, maybe with a fraction, for which a server wants nothing. Anything
// else, such as a date, is returned as not readable.
func ParsePause(text string) PauseRequest {
	p := PauseRequest{Stated: text}
	if len(text) > maxStatedBytes {
		p.Stated = text[:maxStatedBytes]
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(seconds) {
		return p
	}
	p.IsReadable = true
	p.Duration = time.Duration(max(-maxSeconds, min(maxSeconds, seconds)) * float64(time.Second))
	return p
}
