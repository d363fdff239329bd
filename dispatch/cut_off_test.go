package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/matryer/is"
)

// startCutServers starts plain servers. A call to one of them cuts the instance off from all: their connections
// are reset, and new ones are refused.
func startCutServers(t *testing.T, count int) []fleet.BackendServer {
	t.Helper()
	var all []*httptest.Server
	var out []fleet.BackendServer
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		for _, s := range all {
			_ = s.Listener.Close()
		}
		for _, s := range all {
			s.CloseClientConnections()
		}
	})
	for i := range count {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		all = append(all, s)
		out = append(out, fleet.BackendServer{
			Name: fmt.Sprint("s", i), Incarnation: 1, Sequence: 1, Address: s.Listener.Addr().String(), DataCentre: "kandy",
			Services: []string{"stock"}, Slots: 8,
		})
	}
	return out
}

// Guards against the incident RECOVER in dispatch: an instance that is cut off from all servers blames them,
// and the calls that they were running.
func TestInstanceThatIsCutOffBlamesNoServer(t *testing.T) {
	is := is.New(t)
	d := newPlainDispatcher(startCutServers(t, 6)...)
	r := stockCall("sound")
	r.Deadline = time.Now().Add(time.Second)
	_, refusal := d.Call(t.Context(), r)
	is.True(refusal != nil)
	is.Equal(len(d.Quarantined()), 0)
	is.True(d.IsCutOff())

}
