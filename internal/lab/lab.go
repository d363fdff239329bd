// Package lab runs the system as real processes on loopback addresses. Tests and benchmarks use
// it to kill and freeze processes and to partition the network between instances.
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
	// Control makes the first instance a control instance with a data folder.
	Control bool
	// Standby gives the last instance a data folder and starts it as a non-voting standby.
	Standby bool
	// Region may be empty when all data centres are in the same region.
	Region string
}

// Emulator describes a process that emulates one or more backend servers.
type Emulator struct {
	Name string
	// Fleet is the content of the fleet file. $NET is replaced by Layout.Network, and
	// $ANNOUNCE(dc) by the announce addresses of the data centre dc.
	Fleet string
}

// Layout describes the processes and the configuration of a lab.
type Layout struct {
	// Network is the first two octets of the lab's addresses, such as 127.10. If it is empty, a
	// network that no other lab on the machine uses is chosen. Instance i of data centre d has
	// the address Network.d.i, with both numbers starting at 1.
	Network string
	// Folder holds the settings, logs and data of all processes.
	Folder string
	// BinFolder holds the binaries balsamd and balsamctl.
	BinFolder   string
	DataCentres []DataCentre
	Emulators   []Emulator
	// Base and Overlays are the initial configuration.
	Base     string
	Overlays map[string]string
	// ExtraSettings returns settings to append to an instance's settings file. It may be nil.
	ExtraSettings func(i *Instance) string
	// Env is added to the environment of each instance; GOMAXPROCS=1, for example, limits it to
	// one processor.
	Env []string
	// Credentials are used for calls of the operators' interface.
	Credentials operator.Credentials
	// Relayed routes the traffic between instances through relays, which the network faults
	// need.
	Relayed bool
}

// Instance is one balsamd process.
type Instance struct {
	*Process
	DataCentre string
	Region     string
	IP         string
	DataFolder string // empty unless it is a voter or a standby
	Standby    bool
}

// CallerAddress returns the address that callers connect to.
func (i *Instance) CallerAddress() string { return i.IP + ":8080" }

// BackendAddress returns the address that backend servers announce themselves to.
func (i *Instance) BackendAddress() string { return i.IP + ":8081" }

// OperatorAddress returns the address of the operators' interface.
func (i *Instance) OperatorAddress() string { return i.IP + ":8082" }

// PlatformAddress returns the address of the platform's interface, such as the health checks.
func (i *Instance) PlatformAddress() string { return i.IP + ":8083" }

// Lab is a running system of instances and emulated backend servers.
type Lab struct {
	Layout    Layout
	Instances []*Instance
	Emulators map[string]*Process
	*relays
	networkClaim net.Listener // reserves Layout.Network; nil if the caller chose the network
	cancel       context.CancelFunc
}

// Start starts all processes and applies the initial configuration.
func Start(ctx context.Context, layout Layout) (*Lab, error) {
	ctx, cancel := context.WithCancel(ctx)
	l := &Lab{Layout: layout, Emulators: make(map[string]*Process), relays: newRelays(), cancel: cancel}
	if layout.Network == "" {
		network, claim, err := ClaimNetwork()
		if err != nil {
			cancel()
			return nil, err
		}
		l.Layout.Network = network
		l.networkClaim = claim
	}
	l.planInstances()
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
	if l.networkClaim != nil {
		_ = l.networkClaim.Close()
	}
}

// Instance returns the instance with the name, such as kandy-1, or nil.
func (l *Lab) Instance(name string) *Instance {
	for _, i := range l.Instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

// PartitionDataCentre stops all traffic between a data centre and all others.
func (l *Lab) PartitionDataCentre(dc string) {
	for _, a := range l.Instances {
		for _, b := range l.Instances {
			if a.DataCentre == dc && b.DataCentre != dc {
				l.Partition(a.Name, b.Name)
			}
		}
	}
}

func (l *Lab) planInstances() {
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

// advertisedAddress returns the address at which peers reach the instance: that of its relay if the
// lab has relays.
func (l *Lab) advertisedAddress(i *Instance) string {
	if l.Layout.Relayed {
		return fmt.Sprintf("%s:%d", i.IP, relayPort)
	}
	return fmt.Sprintf("%s:%d", i.IP, instancePort)
}

func (l *Lab) settingsText(i *Instance) string {
	var voters []string
	for _, v := range l.Instances {
		if v.DataFolder != "" && !v.Standby {
			voters = append(voters, v.Name+"="+l.advertisedAddress(v))
		}
	}
	extra := ""
	if l.Layout.ExtraSettings != nil {
		extra = l.Layout.ExtraSettings(i)
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
`, i.Name, i.DataCentre, i.Region, i.CallerAddress(), i.BackendAddress(), i.OperatorAddress(), i.PlatformAddress(), i.IP, instancePort,
		l.advertisedAddress(i), i.DataFolder, i.Standby, strings.Join(voters, ", ")) + extra
}

// Operator returns a client for the instance's operators' interface.
func (l *Lab) Operator(i *Instance) *operator.Client {
	return operator.NewClientWithCredentials(i.OperatorAddress(), l.Layout.Credentials)
}

func (l *Lab) expandFleet(text string) string {
	text = strings.ReplaceAll(text, "$NET", l.Layout.Network)
	for _, dc := range l.Layout.DataCentres {
		var addresses []string
		for _, i := range l.Instances {
			if i.DataCentre == dc.Name {
				addresses = append(addresses, i.BackendAddress())
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
		ln, err := listen(l.advertisedAddress(i))
		if err != nil {
			return err
		}
		go l.relays.serve(ctx, ln, i.Name, fmt.Sprintf("%s:%d", i.IP, instancePort))
	}
	if err := os.WriteFile(l.settingsPath(i.Name), []byte(l.settingsText(i)), 0o644); err != nil {
		return eris.Wrap(err, "lab: write settings")
	}
	return i.Start()
}

func (l *Lab) startEmulator(e Emulator) error {
	path := filepath.Join(l.Layout.Folder, e.Name+".fleet.ini")
	if err := os.WriteFile(path, []byte(l.expandFleet(e.Fleet)), 0o644); err != nil {
		return eris.Wrap(err, "lab: write fleet")
	}
	log := filepath.Join(l.Layout.Folder, e.Name+".log")
	p := newProcess(e.Name, log, filepath.Join(l.Layout.BinFolder, "balsamctl"), "emulate", "-fleet", path)
	l.Emulators[e.Name] = p
	return p.Start()
}

const (
	pollInterval = 20 * time.Millisecond
	// waitTimeout is the timeout of Lab.Wait.
	waitTimeout = 30 * time.Second
)

// Apply changes the configuration and waits until the change is in force at every running
// instance.
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

// WaitVersion waits until every running instance uses the configuration version or a newer one.
func (l *Lab) WaitVersion(ctx context.Context, version uint64) error {
	return l.Wait(ctx, fmt.Sprintf("configuration version %d everywhere", version), func() bool {
		for _, i := range l.Instances {
			if i.HasExited() {
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

// WaitServers waits until every running instance knows exactly count backend servers.
func (l *Lab) WaitServers(ctx context.Context, count int) error {
	return l.Wait(ctx, fmt.Sprintf("%d backend servers everywhere", count), func() bool {
		for _, i := range l.Instances {
			if i.HasExited() {
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

// Leader returns a control instance that reports the role of leader, or nil if there is none.
func (l *Lab) Leader() *Instance {
	for _, i := range l.Instances {
		if i.DataFolder == "" || i.HasExited() {
			continue
		}
		s, err := l.Operator(i).Status()
		if err == nil && s.Control != nil && s.Control.Role == "leader" {
			return i
		}
	}
	return nil
}

// Wait polls until done returns true, and fails after waitTimeout. The error names what it
// waited for.
func (l *Lab) Wait(ctx context.Context, what string, done func() bool) error {
	limit := time.Now().Add(waitTimeout)
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
	return eris.Errorf("lab: wait for %s: timed out after %s", what, waitTimeout)
}

// Build builds balsamd and balsamctl into the folder. root is the root of the source tree.
func Build(ctx context.Context, root, folder string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", folder+"/", "./cmd/balsamd", "./cmd/balsamctl")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return eris.Wrapf(err, "lab: build: %s", out)
}
