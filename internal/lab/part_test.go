package lab

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

const (
	partServers = 16
	// toleratedPartCrashes is how many servers unlike drafts that share a part of their prompt may
	// crash, and partCrashesAfter how many more later than partContact after that.
	toleratedPartCrashes = 5
	partCrashesAfter     = 3
	partContact          = 3 * time.Second
)

// Guards against a protection that only gateways have (found beside the incident BUDGET of issue 24):
// drafts that share a part of their prompt, no two alike, crash server after server in dispatch.
func TestDraftsWithCrashingPartAreHeldBack(t *testing.T) {
	is := is.New(t)
	var fleet strings.Builder
	fleet.WriteString("[data_centre colombo]\nannounce = $ANNOUNCE(colombo)\n")
	for i := range partServers {
		fmt.Fprintf(&fleet, "[server whole-%d]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nmodel = icing-7b\nlayers = 0-32\nstep = 2000\nslots = 4\n", i, 100+i)
	}
	l, err := Start(t.Context(), Layout{
		Folder:      t.TempDir(),
		BinFolder:   binFolder,
		DataCentres: []DataCentre{{Name: "colombo", Instances: 2, Control: true}},
		Emulators:   []Emulator{{Name: "emulator", Fleet: fleet.String()}},
		Base:        baseConfig,
	})
	is.NoErr(err)
	t.Cleanup(l.Close)
	is.NoErr(l.WaitServers(t.Context(), partServers))
	for i := range partServers {
		address := fmt.Sprintf("%s.1.%d:9000", l.Layout.Network, 100+i)
		is.NoErr(emulate.SetFault(address, emulate.Fault{Kind: emulate.FaultCrashOn, Content: "poison"}))
	}
	send := func(i int) {
		load.Do(t.Context(), load.Request{
			Instance: l.Instances[i%2].CallerAddress(), Workspace: "kandy", Service: "draft",
			Prompt: fmt.Sprintf("You advise bakers. poison Question %d", i), MaxTokens: 20, Deadline: 5 * time.Second,
		})
	}
	left := func() int {
		s, err := operator.NewClient(l.Instances[0].OperatorAddress()).Status()
		if err != nil {
			return partServers
		}
		return len(s.Servers)
	}
	for i := 0; i < 12 && left() > partServers-toleratedPartCrashes; i++ {
		send(i)
		time.Sleep(partContact) // until the lease of a crashed server has ended
	}
	before := left()
	is.True(before <= partServers-toleratedPartCrashes) // the part crashes servers
	for i := range 12 {
		send(100 + i)
	}
	time.Sleep(partContact) // until the leases of crashed servers have ended
	if crashed := before - left(); crashed > partCrashesAfter {
		t.Errorf("%d servers crashed later than %v after the fifth crash, %d are left; at most %d are allowed", crashed, partContact, left(), partCrashesAfter)
	}
}
