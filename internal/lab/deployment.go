package lab

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/settings"
	"github.com/rotisserie/eris"
)

// DeploymentLayout describes a deployment.
type DeploymentLayout struct {
	// Folder holds the settings, logs and data of all processes.
	Folder string
	// Binary is the path of balsamd.
	Binary   string
	Controls int
	Gateways int
	// Tolerate is how many control instances may be lost at once.
	Tolerate int
	// ControlBytesPerSecond and GatewayBytesPerSecond limit the link of each machine in each direction; 0:
	// unlimited.
	ControlBytesPerSecond int
	GatewayBytesPerSecond int
	// AnnounceInterval is the time between two announcements of a backend server.
	AnnounceInterval time.Duration
	// ControlMemoryMB and GatewayMemoryMB are the memory that a process may use; 0: not limited.
	ControlMemoryMB int
	GatewayMemoryMB int
	// HasMetrics makes all processes serve metrics.
	HasMetrics bool
	// Env is added to the environment of each process.
	Env []string
}

// Member is a control instance or a gateway.
type Member struct {
	*Process
	Role       settings.Role
	IP         string
	DataCentre string
	DataFolder string // of a control instance
	isFounding bool
}

// ControlAddress returns the address for backend servers and operators.
func (m *Member) ControlAddress() string { return m.IP + ":8082" }

// CallerAddress returns the address that callers connect to.
func (m *Member) CallerAddress() string { return m.IP + ":8080" }

// ReadyAddress returns the address of a gateway at which readiness is asked.
func (m *Member) ReadyAddress() string { return m.IP + ":8083" }

// MetricsAddress returns the address of metrics, if they are served.
func (m *Member) MetricsAddress() string { return m.IP + ":8089" }

// InstanceAddress returns the address for other instances.
func (m *Member) InstanceAddress() string { return fmt.Sprintf("%s:%d", m.IP, instancePort) }

// Deployment runs gateways and control instances on loopback addresses, each in its own process. The
// traffic between them passes relays.
type Deployment struct {
	*relays
	Layout  DeploymentLayout
	Network string // the first two octets of all addresses
	// Controls and Gateways hold the members that were started and not removed.
	Controls []*Member
	Gateways []*Member
	seeds    []string
	// controlsStarted and gatewaysStarted count all members ever, for new names and addresses.
	controlsStarted int
	gatewaysStarted int
	ctx             context.Context // ends the relays
	cancel          context.CancelFunc
	networkClaim    net.Listener
}

const seedCount = 3

// StartDeployment starts the processes of a new deployment.
func StartDeployment(ctx context.Context, layout DeploymentLayout) (*Deployment, error) {
	network, claim, err := ClaimNetwork()
	if err != nil {
		return nil, err
	}
	d := &Deployment{relays: newRelays(), Layout: layout, Network: network, networkClaim: claim}
	d.ctx, d.cancel = context.WithCancel(ctx)
	for n := range layout.Controls {
		if n < seedCount {
			d.seeds = append(d.seeds, fmt.Sprintf("%s.1.%d:%d", network, n+1, relayPort))
		}
	}
	for range layout.Controls {
		if _, err := d.AddControl(true); err != nil {
			d.Close()
			return nil, err
		}
	}
	for range layout.Gateways {
		if _, err := d.AddGateway(); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close kills all processes.
func (d *Deployment) Close() {
	for _, m := range d.Members() {
		m.Thaw()
		m.Kill()
	}
	d.cancel()
	_ = d.networkClaim.Close()
}

// Members returns all members.
func (d *Deployment) Members() []*Member {
	return slices.Concat(d.Controls, d.Gateways)
}

// AddControl starts a new control instance. It founds the deployment if isFounding is true.
func (d *Deployment) AddControl(isFounding bool) (*Member, error) {
	d.controlsStarted++
	n := d.controlsStarted
	m := d.newMember(settings.RoleController, fmt.Sprintf("control-%d", n), fmt.Sprintf("%s.1.%d", d.Network, n), d.Layout.ControlBytesPerSecond)
	m.DataFolder = filepath.Join(d.Layout.Folder, "data", m.Name)
	m.isFounding = isFounding
	d.Controls = append(d.Controls, m)
	return m, d.startMember(m)
}

// gatewaysPerSubnet bounds the last octet of the gateways' addresses.
const gatewaysPerSubnet = 200

// AddGateway starts a new gateway.
func (d *Deployment) AddGateway() (*Member, error) {
	n := d.gatewaysStarted
	d.gatewaysStarted++
	ip := fmt.Sprintf("%s.%d.%d", d.Network, 2+n/gatewaysPerSubnet, n%gatewaysPerSubnet+1)
	m := d.newMember(settings.RoleGateway, fmt.Sprintf("gateway-%d", n+1), ip, d.Layout.GatewayBytesPerSecond)
	d.Gateways = append(d.Gateways, m)
	return m, d.startMember(m)
}

// RemoveControl kills a control instance for good.
func (d *Deployment) RemoveControl(m *Member) {
	m.Thaw()
	m.Kill()
	d.Controls = slices.DeleteFunc(d.Controls, func(o *Member) bool { return o == m })
}

func (d *Deployment) newMember(role settings.Role, name, ip string, bytesPerSecond int) *Member {
	m := &Member{Role: role, IP: ip, DataCentre: fmt.Sprintf("z%d", (len(d.Controls)+len(d.Gateways))%max(1, d.Layout.Controls)+1)}
	m.Process = newProcess(name, filepath.Join(d.Layout.Folder, name+".log"), d.Layout.Binary, string(role), "-settings", d.settingsPath(name))
	m.env = d.Layout.Env
	d.update(func() {
		d.nameByIP[ip] = name
		d.lineRate[name] = bytesPerSecond
	})
	return m
}

func (d *Deployment) startMember(m *Member) error {
	l, err := listen(fmt.Sprintf("%s:%d", m.IP, relayPort))
	if err != nil {
		return err
	}
	go d.serve(d.ctx, l, m.Name, fmt.Sprintf("%s:%d", m.IP, instancePort))
	if err := d.writeSettings(m); err != nil {
		return err
	}
	return m.Start()
}

// Seeds returns the addresses of the control instances that new processes ask first.
func (d *Deployment) Seeds() []string { return d.seeds }

// SeedAt returns the address by which a control instance is named in the seeds.
func (d *Deployment) SeedAt(m *Member) string { return fmt.Sprintf("%s:%d", m.IP, relayPort) }

// SetSeeds changes the seeds in the settings of all members, which read them again.
func (d *Deployment) SetSeeds(seeds []string) error {
	d.seeds = seeds
	for _, m := range d.Members() {
		if err := d.writeSettings(m); err != nil {
			return err
		}
	}
	return nil
}

// LoseData deletes the data folder of a control instance that isn't running. The instance joins the group
// again when it starts.
func (d *Deployment) LoseData(m *Member) error {
	m.isFounding = false
	if err := d.writeSettings(m); err != nil {
		return err
	}
	return eris.Wrapf(os.RemoveAll(m.DataFolder), "lab: lose the data of %s", m.Name)
}

func (d *Deployment) settingsPath(name string) string {
	return filepath.Join(d.Layout.Folder, name+".ini")
}

func (d *Deployment) writeSettings(m *Member) error {
	text := fmt.Sprintf(`[instance]
name = %s
data_centre = %s
[listen]
instances = %s:%d
advertise = %s:%d
%s[join]
seeds = %s
[fleet]
announce_interval_ms = %d
`, m.Name, m.DataCentre, m.IP, instancePort, m.IP, relayPort, d.roleSettings(m), strings.Join(d.seeds, ", "), d.Layout.AnnounceInterval.Milliseconds())
	// A process may read the file at any moment.
	path := d.settingsPath(m.Name)
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		return eris.Wrap(err, "lab: write settings")
	}
	return eris.Wrap(os.Rename(path+".new", path), "lab: write settings")
}

func (d *Deployment) roleSettings(m *Member) string {
	metrics := ""
	if d.Layout.HasMetrics {
		metrics = fmt.Sprintf("metrics = %s\n", m.MetricsAddress())
	}
	if m.Role == settings.RoleGateway {
		return fmt.Sprintf("%scallers = %s\nready = %s\n[limits]\nmemory_mb = %d\n", metrics, m.CallerAddress(), m.ReadyAddress(), d.Layout.GatewayMemoryMB)
	}
	return metrics + fmt.Sprintf("control = %s\n[control]\ndata_folder = %s\nfounding = %t\ntolerate = %d\n[limits]\nmemory_mb = %d\n",
		m.ControlAddress(), m.DataFolder, m.isFounding, d.Layout.Tolerate, d.Layout.ControlMemoryMB)
}
