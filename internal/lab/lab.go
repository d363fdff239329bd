// Package lab runs the system as real processes on loopback addresses, and lets tests and
// benchmarks kill, freeze and cut them.
package lab

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/rotisserie/eris"
)

// DataCentre describes one data centre of a lab.
type DataCentre struct {
	Name      string
	Instances int
	// Control says that the first instance has a data folder.
	Control bool
	// Standby says that the last instance has a data folder and is no voter at first.
	Standby bool
	// Region is empty when all data centres are in one region.
	Region string
}

// Emulator is one process of emulated backend servers.
type Emulator struct {
	Name string
	// Fleet is the file of its servers. $NET stands for the lab's network, and
	// $ANNOUNCE(dc) for the announce addresses of a data centre.
	Fleet string
}

// Layout describes a lab.
type Layout struct {
	// Net is the first two numbers of the lab's addresses, such as 127.10. Empty: two that no
	// other lab uses. Instance i of data centre d is at NET.d.i, both from 1.
	Net string
	// Folder holds settings, logs and data.
	Folder string
	// Bin is the folder of balsamd and balsamctl.
	Bin         string
	DataCentres []DataCentre
	Emulators   []Emulator
	// Base and Overlays are the first configuration.
	Base     string
	Overlays map[string]string
	// Extra returns further settings of an instance; nil for none.
	Extra func(i *Instance) string
	// Env is added to the environment of each instance, such as GOMAXPROCS=1 for one processor.
	Env []string
	// Access is what the lab shows to the operators' interface.
	Access operator.Credentials
	// Relayed sends the traffic between instances through relays that can be cut.
	Relayed bool
}

// Instance is one balsamd.
type Instance struct {
	*Process
	DataCentre string
	Region     string
	IP         string
	DataFolder string // "" when it is not a control instance
	Standby    bool
}

// Callers returns the address for callers.
func (i *Instance) Callers() string { return i.IP + ":8080" }

// Backends returns the address for announcements.
func (i *Instance) Backends() string { return i.IP + ":8081" }

// Operators returns the address for operators.
func (i *Instance) Operators() string { return i.IP + ":8082" }

// Platform returns the address for the platform.
func (i *Instance) Platform() string { return i.IP + ":8083" }

// Lab is a running system.
type Lab struct {
	Layout    Layout
	Instances []*Instance
	Emulators map[string]*Process
	relays    *relays
	claim     net.Listener // holds Layout.Net, nil when it was given
	cancel    context.CancelFunc
}

// Start starts all processes and applies the first configuration.
func Start(ctx context.Context, layout Layout) (*Lab, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &Lab{Layout: layout, Emulators: make(map[string]*Process), relays: newRelays(), cancel: cancel}
	if layout.Net == "" {
		network, claim, err := claimNetwork()
		if err != nil {
			cancel()
			return nil, err
		}
		l.Layout.Net = network
		l.claim = claim
	}
	l.plan()
	if err := l.startAll(ctx); err != nil {
		l.Close()
		return nil, err
	}
	if layout.Base != "" {
		if err := l.Apply(ctx, 0, "lab-first", layout.Base, layout.Overlays); err != nil {
			l.Close()
			return nil, err
		}
	}
	return l, nil
}

// Close kills all processes.
func (l *Lab) Close() {
	for _, i := range l.Instances {
		i.Thaw()
		i.Kill()
	}
	for _, e := range l.Emulators {
		e.Thaw()
		e.Kill()
	}
	l.cancel()
	if l.claim != nil {
		_ = l.claim.Close()
	}
}

// Instance returns the instance by name, such as kandy-1.
func (l *Lab) Instance(name string) *Instance {
	for _, i := range l.Instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

// Cut stops all traffic between two instances, without closing connections.
func (l *Lab) Cut(a, b string) {
	l.relays.change(func() { l.relays.cut[pair{from: a, to: b}] = true })
}

// Heal ends all cuts.
func (l *Lab) Heal() {
	l.relays.change(func() { l.relays.cut = make(map[pair]bool) })
}

// Silence makes the open connections between two instances silent for good; new ones work.
func (l *Lab) Silence(a, b string) {
	l.relays.change(func() {
		l.relays.epoch[pair{from: a, to: b}]++
		l.relays.epoch[pair{from: b, to: a}]++
	})
}

// CutDataCentre cuts a data centre off from all others.
func (l *Lab) CutDataCentre(dc string) {
	for _, a := range l.Instances {
		for _, b := range l.Instances {
			if a.DataCentre == dc && b.DataCentre != dc {
				l.Cut(a.Name, b.Name)
			}
		}
	}
}

func (l *Lab) plan() {
	for d, dc := range l.Layout.DataCentres {
		for n := range dc.Instances {
			l.addInstance(d, n)
		}
	}
}

func (l *Lab) settingsPath(name string) string {
	return filepath.Join(l.Layout.Folder, name+".ini")
}

const (
	instancePort = 8084
	relayPort    = 9084
)

// advertised returns where other instances reach the instance.
func (l *Lab) advertised(i *Instance) string {
	if l.Layout.Relayed {
		return fmt.Sprintf("%s:%d", i.IP, relayPort)
	}
	return fmt.Sprintf("%s:%d", i.IP, instancePort)
}

func (l *Lab) settings(i *Instance) string {
	var voters []string
	for _, v := range l.Instances {
		if v.DataFolder != "" && !v.Standby {
			voters = append(voters, v.Name+"="+l.advertised(v))
		}
	}
	extra := ""
	if l.Layout.Extra != nil {
		extra = l.Layout.Extra(i)
	}
	return fmt.Sprintf(`[instance]
name = %s
data_centre = %s
region = %s
[listen]
callers = %s
backends = %s
operators = %s
platform = %s
instances = %s:%d
advertise = %s
[control]
data_folder = %s
standby = %t
voters = %s
`, i.Name, i.DataCentre, i.Region, i.Callers(), i.Backends(), i.Operators(), i.Platform(), i.IP, instancePort,
		l.advertised(i), i.DataFolder, i.Standby, strings.Join(voters, ", ")) + extra
}

// Operator returns a client for the instance's operators' interface.
func (l *Lab) Operator(i *Instance) *operator.Client {
	return operator.NewClientWithCredentials(i.Operators(), l.Layout.Access)
}

func (l *Lab) fleetFile(text string) string {
	text = strings.ReplaceAll(text, "$NET", l.Layout.Net)
	for _, dc := range l.Layout.DataCentres {
		var addresses []string
		for _, i := range l.Instances {
			if i.DataCentre == dc.Name {
				addresses = append(addresses, i.Backends())
			}
		}
		text = strings.ReplaceAll(text, "$ANNOUNCE("+dc.Name+")", strings.Join(addresses, ", "))
	}
	return text
}

func (l *Lab) startAll(ctx context.Context) error {
	if err := os.MkdirAll(l.Layout.Folder, 0o755); err != nil {
		return eris.Wrap(err, "lab: create folder")
	}
	for _, i := range l.Instances {
		if err := l.startInstance(ctx, i); err != nil {
			return err
		}
	}
	for _, e := range l.Layout.Emulators {
		if err := l.startEmulator(e); err != nil {
			return err
		}
	}
	return nil
}

func (l *Lab) startInstance(ctx context.Context, i *Instance) error {
	if l.Layout.Relayed {
		ln, err := listen(l.advertised(i))
		if err != nil {
			return err
		}
		go l.relays.serve(ctx, ln, i.Name, fmt.Sprintf("%s:%d", i.IP, instancePort))
	}
	if err := os.WriteFile(l.settingsPath(i.Name), []byte(l.settings(i)), 0o644); err != nil {
		return eris.Wrap(err, "lab: write settings")
	}
	return i.Start()
}

func (l *Lab) startEmulator(e Emulator) error {
	path := filepath.Join(l.Layout.Folder, e.Name+".fleet.ini")
	if err := os.WriteFile(path, []byte(l.fleetFile(e.Fleet)), 0o644); err != nil {
		return eris.Wrap(err, "lab: write fleet")
	}
	log := filepath.Join(l.Layout.Folder, e.Name+".log")
	p := newProcess(e.Name, log, filepath.Join(l.Layout.Bin, "balsamctl"), "emulate", "-fleet", path)
	l.Emulators[e.Name] = p
	return p.Start()
}

const (
	pollInterval = 20 * time.Millisecond
	// waitLimit bounds every wait for something that must come about.
	waitLimit = 30 * time.Second
)

// Apply changes the configuration and waits until it is in force at every instance that runs.
func (l *Lab) Apply(ctx context.Context, expect uint64, id, base string, overlays map[string]string) error {
	var reply operator.ChangeReply
	err := l.Wait(ctx, "the change to be accepted", func() bool {
		var err error
		client := l.Operator(l.Instances[0])
		reply, err = client.Change(config.Change{ID: id, Expect: expect, Base: base, Overlays: overlays, Author: "lab"})
		return err == nil
	})
	if err != nil {
		return err
	}
	if !reply.Accepted {
		return eris.Errorf("lab: change %s was refused: %v", id, reply.Faults)
	}
	return l.WaitVersion(ctx, reply.Version)
}

// WaitVersion waits until every running instance has the configuration version in force.
func (l *Lab) WaitVersion(ctx context.Context, version uint64) error {
	return l.Wait(ctx, fmt.Sprintf("configuration version %d everywhere", version), func() bool {
		for _, i := range l.Instances {
			if i.HasEnded() {
				continue
			}
			s, err := l.Operator(i).Status()
			if err != nil || s.ConfigVersion < version {
				return false
			}
		}
		return true
	})
}

// WaitServers waits until every running instance knows the number of backend servers.
func (l *Lab) WaitServers(ctx context.Context, count int) error {
	return l.Wait(ctx, fmt.Sprintf("%d backend servers everywhere", count), func() bool {
		for _, i := range l.Instances {
			if i.HasEnded() {
				continue
			}
			s, err := l.Operator(i).Status()
			if err != nil || len(s.Servers) != count {
				return false
			}
		}
		return true
	})
}

// Leader returns the control instance that leads, or nil.
func (l *Lab) Leader() *Instance {
	for _, i := range l.Instances {
		if i.DataFolder == "" || i.HasEnded() {
			continue
		}
		s, err := l.Operator(i).Status()
		if err == nil && s.Control != nil && s.Control.Role == "leader" {
			return i
		}
	}
	return nil
}

// Wait polls until done returns true.
func (l *Lab) Wait(ctx context.Context, what string, done func() bool) error {
	limit := time.Now().Add(waitLimit)
	for time.Now().Before(limit) {
		if done() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "lab: wait for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return eris.Errorf("lab: no %s within %s", what, waitLimit)
}

// Build builds both binaries into the folder; root is the folder of the source.
func Build(ctx context.Context, root, folder string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", folder+"/", "./cmd/balsamd", "./cmd/balsamctl")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "lab: build: %s", out)
}
