package daemon

import (
	"testing"

	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
)

// Guards against clients that nothing bounds while the settings state no memory.
func TestClientsAreBoundedWithoutAStatedMemory(t *testing.T) {
	for role, shares := range clientShares {
		m := &member{role: role, settings: settings.Member{CallersMemory: 0.32}, log: logr.Discard()}
		for name, guard := range m.newGuards() {
			if guard.Limits.Bytes <= 0 || guard.Limits.Connections <= 0 {
				t.Errorf("%s, %s: limits %+v", role, name, guard.Limits)
			}
		}
		if len(shares) == 0 {
			t.Errorf("%s: no listeners", role)
		}
	}
}
