package lab

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

const placementFleet = `
[engine]
layer_load = 20ms
[data_centre colombo]
announce = $ANNOUNCE(colombo)
[server checks]
address = $NET.1.110:9000
data_centre = colombo
[server ignores]
address = $NET.1.111:9000
data_centre = colombo
checks_fences = false
`

// appliedOrders returns the orders that an emulated server has executed. host is the last octet
// of its address.
func appliedOrders(t *testing.T, l *Lab, host string) []backend.OrderRequest {
	_, body, err := fasthttp.Get(nil, fmt.Sprintf("http://%s.1.%s:9000%s", l.Layout.Network, host, emulate.PathOrders))
	if err != nil {
		t.Fatal(err)
	}
	var out []backend.OrderRequest
	if err := json.Unmarshal(body, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// TestOrdersExecuteOnceAcrossLeaderChange freezes the leader while engines load and thaws it
// once both have loaded. The old leader must not cause an order to be executed again, not even on a
// server that does not check fencing tokens.
func TestOrdersExecuteOnceAcrossLeaderChange(t *testing.T) {
	is := is.New(t)
	layout := testLayout(t)
	layout.Emulators = []Emulator{{Name: "emulator", Fleet: placementFleet}}
	l := startLayout(t, layout)
	wanted := baseConfig + "[limits]\nweight_loads = 1\n[server checks]\nmodel = icing-7b\nlayers = 0-16\nversion = v1\n" +
		"[server ignores]\nmodel = icing-7b\nlayers = 16-32\nversion = v1\n"
	is.NoErr(l.Apply(t.Context(), 1, "place-1", wanted, nil))
	is.NoErr(l.Wait(t.Context(), "the first order to be executed", func() bool { return len(appliedOrders(t, l, "110")) > 0 }))
	leader := l.Leader()
	is.True(leader != nil)
	leader.Freeze()
	is.NoErr(l.Wait(t.Context(), "both engines to be loaded", func() bool {
		return len(appliedOrders(t, l, "110")) > 0 && len(appliedOrders(t, l, "111")) > 0
	}))
	leader.Thaw()
	is.NoErr(l.Wait(t.Context(), "a leader", func() bool { return l.Leader() != nil }))
	for _, host := range []string{"110", "111"} {
		applied := appliedOrders(t, l, host)
		is.Equal(len(applied), 1) // executed once, whichever leader sent it
		is.Equal(applied[0].Engine.Version, "v1")
	}
	is.True(appliedOrders(t, l, "110")[0].Fence.Number > 0)
}
