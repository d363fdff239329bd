package fleet

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAvailable lists 667 servers, the number in a region of the size that the design assumes.
func BenchmarkAvailable(b *testing.B) {
	now := time.Unix(0, 0)
	r := NewRegistry()
	for n := range 667 {
		_ = r.Merge(now, BackendServer{Name: fmt.Sprintf("kandy-advice-%d", n), Incarnation: 1, Address: "127.0.0.1:1"}, now.Add(lease))
	}
	for b.Loop() {
		r.Available(now)
	}
}
