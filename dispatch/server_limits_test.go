package dispatch

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/backend"
)

// Guards against LIMIT in the product's own interface: a server gets more calls than it takes.
func TestServerGetsNoMoreCallsThanItsLimit(t *testing.T) {
	const perSecond, window = 5.0, 4 * time.Second
	var mu sync.Mutex
	var arrivals []time.Time
	limited := startPlainServer(t, "limited", func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		w.Header().Set(backend.HeaderLimit, strconv.FormatFloat(perSecond, 'f', 1, 64))
		_, _ = w.Write([]byte("limited"))
	})
	d := newPlainDispatcher(limited)
	_, _ = d.Call(t.Context(), stockCall("first"))
	var group sync.WaitGroup
	until := time.Now().Add(window)
	for i := range 8 {
		group.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				_, _ = d.Call(t.Context(), stockCall(strconv.Itoa(i)+" "+strconv.Itoa(k)))
			}
		})
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	if n := float64(len(arrivals)); n > 1.5*perSecond*window.Seconds()+5 || n < perSecond*window.Seconds()/2 {
		t.Errorf("%d calls in %v, at a limit of %g a second", len(arrivals), window, perSecond)
	}
}
