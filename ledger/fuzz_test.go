package ledger

import (
	"testing"
	"time"
)

func FuzzKeyTime(f *testing.F) {
	f.Add("019ae5c8-0000-7000-8000-000000000001", int64(1_764_800_000))
	f.Fuzz(func(t *testing.T, key string, wall int64) {
		const limit = 1 << 48 // a UUID of version 7 contains 48 bits of time
		if ms := keyTime(key); ms >= limit {
			t.Fatalf("time %d of key %q exceeds 48 bits", ms, key)
		}
		if trusted := trustedKeyTime(key, time.Unix(wall%limit, 0)); trusted != 0 && trusted != keyTime(key) {
			t.Fatalf("trusted time %d differs from the time in key %q", trusted, key)
		}
	})
}
