package ledger

import (
	"encoding/hex"
	"strings"
	"time"
)

// maxKeyTimeAhead is how far the time in a key may be ahead of the leader's wall clock.
const maxKeyTimeAhead = 5 * time.Minute

// trustedKeyTime returns the time in the key, or 0 if it is too far ahead of the leader's wall
// clock. A time in the future would move the horizon of the workspace beyond the times of new
// keys, which would then be refused.
func trustedKeyTime(key string, wall time.Time) uint64 {
	t := keyTime(key)
	if wall.IsZero() || t > uint64(max(0, wall.Add(maxKeyTimeAhead).UnixMilli())) {
		return 0
	}
	return t
}

const (
	uuidLength       = 36
	uuidVersionIndex = 14
	uuidTimeDigits   = 12
)

// keyTime returns the time in a UUID of version 7, in milliseconds of Unix time. It returns 0 for
// any other key.
func keyTime(key string) uint64 {
	if len(key) != uuidLength || key[uuidVersionIndex] != '7' {
		return 0
	}
	if key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return 0
	}
	digits := strings.ReplaceAll(key, "-", "")
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != 16 {
		return 0
	}
	var ms uint64
	for _, b := range raw[:uuidTimeDigits/2] {
		ms = ms<<8 | uint64(b)
	}
	return ms
}
