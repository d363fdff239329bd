package settings

import (
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// processSchema lists the keys of the settings of one instance.
var processSchema = []Key{
	{"instance", "name", "", "", "Name of the instance, unique over all data centres.", anyText},
	{"instance", "data_centre", "", "", "Data centre that the instance stands in.", anyText},
	{"instance", "region", "", "", "Region of the data centre: its backend servers are used together with those of the region's other data centres. Empty: one region for all.", anyText},
	{"instance", "seed", "1", "", "Seed of the random choices, so that a run can be repeated.", wholeNumber(0, 1<<31-1)},
	{"listen", "callers", "", "IP:port", "Address for callers.", addressPort},
	{"listen", "backends", "", "IP:port", "Address for the announcements of backend servers.", addressPort},
	{"listen", "operators", "", "IP:port", "Address for balsamctl.", addressPort},
	{"listen", "platform", "", "IP:port", "Address for the platform's balancer: liveness, readiness and metrics.", addressPort},
	{"listen", "instances", "", "IP:port", "Address for other instances.", addressPort},
	{"listen", "advertise", "", "IP:port", "Address that other instances reach this one at. Empty: the address for other instances.", addressPort},
	{"control", "data_folder", "", "path", "Folder of the replicated state. Empty: the instance is not a control instance.", anyText},
	{"control", "voters", "", "name=IP:port, ...", "The control instances and their addresses for instances.", namedAddresses},
	{"control", "standby", "false", "", "true: the instance has a data folder, is not one of the first voters, and takes the place of a voter that is lost.", oneOf("true", "false")},
	{"join", "seeds", "", "IP:port, ...", "Instances to ask for the others. Empty: the control instances.", addressPorts},
	{"operators", "key_file", "", "path", "File of operators' keys, a line \"NAME KEY\" for each. Empty: operators' calls need no key.", anyText},
	{"tls", "instances", "false", "", "true: instances use TLS between each other and check each other's certificates.", oneOf("true", "false")},
	{"tls", "operators", "false", "", "true: operators' calls use TLS.", oneOf("true", "false")},
	{"tls", "certificate", "", "path", "PEM file of the instance's certificate, which names its IP number. Read again when it changes.", anyText},
	{"tls", "private_key", "", "path", "PEM file of the certificate's key.", anyText},
	{"tls", "authority", "", "path", "PEM file of the certificates that sign those of instances.", anyText},
	{"limits", "memory_mb", "0", "MB", "Memory that the process may use; 0: not limited, but what clients may take is a part of the memory of the machine.", wholeNumber(0, 1<<20)},
	{"bench", "naive", "false", "", "For benchmarks only. true: round robin, no admission control, no retry budgets.", oneOf("true", "false")},
	{"log", "level", "info", "", "Least severe level that is logged.", oneOf("debug", "info", "error")},
}

// Voter is a control instance that votes in the consensus group.
type Voter struct {
	Name    string
	Address string
}

// TLS configures where TLS is used and which PEM files it needs.
type TLS struct {
	Instances   bool
	Operators   bool
	Certificate string
	PrivateKey  string
	Authority   string
}

// Process holds the settings of a balsamd process that has no Role.
type Process struct {
	Name       string
	DataCentre string
	// Region is empty if all data centres are in one region.
	Region    string
	Seed      uint64
	Callers   string
	Backends  string
	Operators string
	Platform  string
	Instances string
	// Advertise is the address at which other instances reach this one.
	Advertise  string
	DataFolder string
	// Standby means that the instance keeps a replica but is not one of the initial voters.
	Standby bool
	Voters  []Voter
	Seeds   []string
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit.
	MemoryMB int
	LogLevel string
	// Naive is for benchmarks: round robin, no admission control, no retry budgets.
	Naive bool
	// OperatorKeys is the path of the file of operators' keys, "" if calls need no key.
	OperatorKeys string
	TLS          TLS
}

// IsControl reports whether the process keeps a replica of the shared state.
func (p Process) IsControl() bool { return p.DataFolder != "" }

// ReadProcess reads and checks the settings file of an instance.
func ReadProcess(path string) (Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Process{}, eris.Wrapf(err, "settings: read %s", path)
	}
	return ParseProcess(path, data)
}

// ParseProcess parses and checks the settings of an instance. name is used in errors.
func ParseProcess(name string, data []byte) (Process, error) {
	r := &reader{schema: processSchema}
	src, ok := r.load(name, data)
	if !ok {
		return Process{}, r.err()
	}
	get := func(section, key string) string { return r.value([]source{src}, section, key) }
	for _, k := range processSchema {
		required := k.Section == "listen" || k.Section == "instance" || k.Name == "voters"
		if k.Name == "advertise" || k.Name == "region" {
			required = false
		}
		if required && get(k.Section, k.Name) == "" {
			r.addFault(name, k.Section, k.Name, "", "is required")
		}
	}
	seed, _ := strconv.ParseUint(get("instance", "seed"), 10, 64)
	memoryMB, _ := strconv.Atoi(get("limits", "memory_mb"))
	p := Process{
		Name:       get("instance", "name"),
		DataCentre: get("instance", "data_centre"),
		Region:     get("instance", "region"),
		Seed:       seed,
		Callers:    get("listen", "callers"),
		Backends:   get("listen", "backends"),
		Operators:  get("listen", "operators"),
		Platform:   get("listen", "platform"),
		Instances:  get("listen", "instances"),
		Advertise:  get("listen", "advertise"),
		DataFolder: get("control", "data_folder"),
		Standby:    get("control", "standby") == "true",
		Voters:     parseVoters(get("control", "voters")),
		Seeds:      splitList(get("join", "seeds")),
		MemoryMB:   memoryMB,
		LogLevel:   get("log", "level"),
		Naive:      get("bench", "naive") == "true",

		OperatorKeys: get("operators", "key_file"),
		TLS: TLS{
			Instances:   get("tls", "instances") == "true",
			Operators:   get("tls", "operators") == "true",
			Certificate: get("tls", "certificate"),
			PrivateKey:  get("tls", "private_key"),
			Authority:   get("tls", "authority"),
		},
	}
	r.checkTLS(name, p.TLS)
	r.checkStandby(name, p)
	if p.Advertise == "" {
		p.Advertise = p.Instances
	}
	if len(p.Seeds) == 0 {
		for _, v := range p.Voters {
			p.Seeds = append(p.Seeds, v.Address)
		}
	}
	return p, r.err()
}

// checkStandby reports a replica that is neither a voter nor a standby, or that is both, and a
// standby without a data folder.
func (r *reader) checkStandby(file string, p Process) {
	isVoter := slices.ContainsFunc(p.Voters, func(v Voter) bool { return v.Name == p.Name })
	switch {
	case p.Standby && !p.IsControl():
		r.addFault(file, "control", "standby", "true", "needs a data_folder")
	case p.Standby && isVoter:
		r.addFault(file, "control", "standby", "true", "the instance is one of the voters")
	case p.IsControl() && !p.Standby && !isVoter:
		r.addFault(file, "control", "data_folder", p.DataFolder, "the instance is not one of the voters; a standby needs standby = true")
	}
}

// checkTLS reports missing PEM files if TLS is used anywhere.
func (r *reader) checkTLS(file string, t TLS) {
	if !t.Instances && !t.Operators {
		return
	}
	for _, f := range []struct{ key, value string }{
		{"certificate", t.Certificate}, {"private_key", t.PrivateKey}, {"authority", t.Authority},
	} {
		if f.value == "" {
			r.addFault(file, "tls", f.key, "", "is required where TLS is used")
		}
	}
}

func parseVoters(v string) []Voter {
	var voters []Voter
	for _, part := range splitList(v) {
		name, address, _ := strings.Cut(part, "=")
		voters = append(voters, Voter{Name: name, Address: address})
	}
	return voters
}
