package lab

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/rotisserie/eris"
)

// errNoDataCentre means that the lab has no data centre with the name that Join was given.
var errNoDataCentre = eris.New("lab: join: the layout has no data centre with the given name")

// Join adds an instance to a data centre and starts it.
func (l *Lab) Join(ctx context.Context, dataCentre string) (*Instance, error) {
	for d, dc := range l.Layout.DataCentres {
		if dc.Name != dataCentre {
			continue
		}
		l.Layout.DataCentres[d].Instances++
		i := l.addInstance(d, dc.Instances)
		return i, l.startInstance(ctx, i)
	}
	return nil, errNoDataCentre
}

// addInstance adds instance n of data centre d to the lab without starting it. Both numbers
// start at 0.
func (l *Lab) addInstance(d, n int) *Instance {
	dc := l.Layout.DataCentres[d]
	name := fmt.Sprintf("%s-%d", dc.Name, n+1)
	i := &Instance{DataCentre: dc.Name, Region: dc.Region, IP: fmt.Sprintf("%s.%d.%d", l.Layout.Network, d+1, n+1)}
	if dc.Control && n == 0 {
		i.DataFolder = filepath.Join(l.Layout.Folder, "data", name)
	}
	if dc.Standby && n == dc.Instances-1 {
		i.DataFolder = filepath.Join(l.Layout.Folder, "data", name)
		i.Standby = true
	}
	log := filepath.Join(l.Layout.Folder, name+".log")
	i.Process = newProcess(name, log, filepath.Join(l.Layout.BinFolder, "balsamd"), "-settings", l.settingsPath(name))
	i.env = l.Layout.Env
	l.Instances = append(l.Instances, i)
	l.relays.update(func() { l.relays.nameByIP[i.IP] = name })
	return i
}
