//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Bounds of the deployments on the sheets.
const (
	contactTime      = 3 * time.Second
	configApplyTime  = 2 * time.Second
	drainTime        = 2 * time.Second
	graceTime        = 8 * time.Second
	announceInterval = 1200 * time.Millisecond
	recoverTime      = 12 * time.Second
)

// machine is one process of the system with its settings.
type machine struct {
	name, role, ip string
	dataFolder     string
	settings       string
	isFounding     bool
	command        *exec.Cmd
	exited         chan struct{} // closed when the process has ended
}

// deployment is a small deployment on loopback addresses: three controllers and some gateways in three data centres.
type deployment struct {
	record *record
	folder string // temporary
	net    string // the first two numbers of all addresses
	// reserved listens at an address that no machine has, to keep the network from other deployments.
	reserved net.Listener
	// Ports are the same on all machines.
	frontPort, readyPort, controlPort, instancesPort int
	controllers, gateways                            []*machine
	client                                           *http.Client
}

var zones = []string{"colombo", "kandy", "galle"}

// newDeployment chooses addresses and writes the settings.
func newDeployment(r *record, gateways int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "balsamlb-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, folder: folder, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	if err := d.chooseAddresses(); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		d.controllers = append(d.controllers, d.newMachine("core-"+zone+"-1", "controller", fmt.Sprintf("%s.%d.1", d.net, i+1)))
	}
	for i := range gateways {
		zone := i % len(zones)
		name := fmt.Sprintf("front-%s-%d", zones[zone], i/len(zones)+1)
		d.gateways = append(d.gateways, d.newMachine(name, "gateway", fmt.Sprintf("%s.%d.%d", d.net, zone+1, 10+i/len(zones))))
	}
	r.mu.Lock()
	r.deployment = d
	r.mu.Unlock()
	return d, nil
}

// chooseAddresses chooses the network 127.N and four free ports in it.
func (d *deployment) chooseAddresses() error {
	for range 20 {
		d.net = fmt.Sprintf("127.%d", 10+rand.IntN(200))
		reserved, err := net.Listen("tcp", d.net+".250.1:9109")
		if err != nil {
			continue
		}
		var ports []int
		for range 4 {
			l, err := net.Listen("tcp", d.net+".1.1:0")
			if err != nil {
				return err
			}
			defer l.Close()
			ports = append(ports, l.Addr().(*net.TCPAddr).Port)
		}
		d.frontPort, d.readyPort, d.controlPort, d.instancesPort = ports[0], ports[1], ports[2], ports[3]
		l, err := net.Listen("tcp", d.net+".1.1:9109") // the port of metrics in the templates
		if err == nil {
			_ = l.Close()
			d.reserved = reserved
			return nil
		}
		_ = reserved.Close()
	}
	return errors.New("no free addresses")
}

func (d *deployment) newMachine(name, role, ip string) *machine {
	m := &machine{name: name, role: role, ip: ip, settings: filepath.Join(d.folder, name+".ini"), isFounding: true}
	if role == "controller" {
		m.dataFolder = filepath.Join(d.folder, name)
	}
	return m
}

// seeds returns the addresses that the settings name as Seeds.
func (d *deployment) seeds() string {
	var out []string
	for _, m := range d.controllers {
		out = append(out, d.control(m))
	}
	return strings.Join(out, ",")
}

func (d *deployment) front(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, d.frontPort) }
func (d *deployment) ready(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, d.readyPort) }
func (d *deployment) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, d.controlPort) }

// writeSettings fills in the template of the deploy file as the platform does.
func (d *deployment) writeSettings(m *machine) error {
	template, err := os.ReadFile("deploy/" + m.role + ".ini")
	if err != nil {
		return err
	}
	zone := strings.Split(m.name, "-")[1]
	values := map[string]string{
		"Node": m.name, "Zone": zone, "Ip": m.ip, "PortRange.0": strconv.Itoa(d.instancesPort), "Seeds": d.seeds(),
		"Listen.Front": d.front(m), "Listen.Ready": d.ready(m), "Listen.Control": d.control(m), "DataDir": m.dataFolder,
		"Bootstrap": strconv.FormatBool(m.isFounding), "Tolerate.Machines": "1", "HeartbeatMs": "1200", "Bounds.RetryRatio": "0.2",
		"Bounds.RetrySlack": "198", "Bounds.RetryWindowS": "10", "Bounds.GraceS": "8", "Limits.MemoryMb": "284",
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("the template %s has other fields", m.role)
	}
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (d *deployment) start(m *machine) error {
	if err := d.writeSettings(m); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.command = exec.Command("target/balsamd", m.role, "-settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.isFounding = false
	m.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(m.command, m.exited)
	d.record.line("started %s", m.name)
	return nil
}

// startAll starts all machines and waits until the controllers answer.
func (d *deployment) startAll() error {
	for _, m := range d.all() {
		if err := d.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) all() []*machine {
	return append(append([]*machine{}, d.controllers...), d.gateways...)
}

// stopAll ends all processes that were started, and removes the temporary folder. KEEP keeps the folder.
func (d *deployment) stopAll() {
	_ = d.reserved.Close()
	for _, m := range d.all() {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println(d.folder)
	}
}

// call makes one call to a controller.
func (d *deployment) call(m *machine, method, path string, body []byte) (status int, answer []byte, err error) {
	req, err := http.NewRequest(method, "http://"+d.control(m)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// configure sends a configuration until it is acknowledged, as an operator does.
func (d *deployment) configure(text []byte, within time.Duration) error {
	deadline := time.Now().Add(within)
	for i := 0; time.Now().Before(deadline); i++ {
		status, answer, err := d.call(d.controllers[i%len(d.controllers)], http.MethodPut, "/-/config", text)
		switch {
		case err == nil && status == http.StatusOK:
			d.record.line("a configuration was acknowledged by %s", d.controllers[i%len(d.controllers)].name)
			return nil
		case err == nil && status >= 400 && status < 500:
			return fmt.Errorf("the configuration was refused: %d %s", status, answer)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no configuration was acknowledged")
}

// awaitReady waits until all gateways say that they are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		ready := 0
		for _, m := range d.gateways {
			if d.isReady(m) {
				ready++
			}
		}
		if ready == len(d.gateways) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the gateways don't become ready")
}

func (d *deployment) isReady(m *machine) bool {
	resp, err := d.client.Get("http://" + d.ready(m) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
