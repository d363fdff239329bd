package settings

import (
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// memberSchema lists the keys of the settings of a gateway or a controller.
var memberSchema = []Key{
	{"instance", "name", "", "", "Name of the instance, unique over all data centres.", anyText},
	{"instance", "data_centre", "", "", "Data centre that the instance stands in.", anyText},
	{"listen", "callers", "", "IP:port", "Gateway: address for callers.", addressPort},
	{"listen", "ready", "", "IP:port", "Gateway: address at which readiness is asked.", addressPort},
	{"listen", "control", "", "IP:port", "Controller: address for backend servers and operators.", addressPort},
	{"listen", "instances", "", "IP:port", "Address for other instances. All instances of a deployment use the same port.", addressPort},
	{"listen", "advertise", "", "IP:port", "Address that other instances reach this one at. Empty: the address for other instances. All instances of a deployment use the same port.", addressPort},
	{"listen", "metrics", "", "IP:port", "Address of metrics. Empty: none are served.", addressPort},
	{"control", "data_folder", "", "path", "Controller: folder of the replicated state.", anyText},
	{"control", "founding", "false", "", "true: the deployment starts for the first time, and the seeds found the group of control instances.", oneOf("true", "false")},
	{"control", "tolerate", "1", "control instances", "How many control instances may be lost at once; twice as many and one vote.", wholeNumber(0, 15)},
	{"join", "seeds", "", "IP:port, ...", "Control instances to ask for the others. The port is replaced by that for instances. Read again when the file changes.", addressPorts},
	{"fleet", "announce_interval_ms", "1200", "ms", "Time between two announcements of a backend server.", decimal(10, 600000)},
	{"retry", "ratio", "0.2", "", "Gateway: how many requests may be sent once more, for each request of a service.", fraction},
	{"retry", "reserve", "100", "requests", "Gateways together: how many requests of a service may be sent once more besides, in each window.", decimal(0, 1<<20)},
	{"retry", "window_s", "10", "s", "Length of the windows in which the reserve holds.", decimal(1, 3600)},
	{"routing", "apply_ms", "2000", "ms", "Time within which an acknowledged routing document is in force. A gateway whose document was not confirmed within it answers 503 in place of 404 and 401, as the route or key may be new.", decimal(100, 600000)},
	{"limits", "grace_s", "10", "s", "Time between the signal to stop and the end of the process.", decimal(1, 3600)},
	{"limits", "cores", "0", "", "Processors that the process uses at once, rounded up. 0: one for a controller, whose work is small and mostly in sequence; all for a gateway.", decimal(0, 1<<10)},
	{"limits", "memory_mb", "0", "MB", "Memory that the process may use; 0: not limited, but what clients may take is a part of the memory of the machine.", decimal(0, 1<<20)},
	{"limits", "callers_memory", "0.32", "", "Gateway: part of memory_mb that the connections and requests of callers may take.", fraction},
	{"limits", "callers_connections", "0", "connections", "Gateway: most connections of callers at a time; 0: half of the files that the process may open.", wholeNumber(0, 1<<20)},
	{"limits", "answer_mb", "64", "MB", "Gateway: largest answer of a backend server that is forwarded.", wholeNumber(1, 1<<16)},
	{"log", "level", "info", "", "Least severe level that is logged.", oneOf("debug", "info", "error")},
	{"log", "lines_per_second", "400", "lines/s", "Most lines that are logged in a second; how many were left out is told.", wholeNumber(1, 1<<20)},
}

// Member holds the settings of one process that is a member of a deployment: a gateway or a
// controller.
type Member struct {
	Name       string
	DataCentre string
	Callers    string
	Ready      string
	Control    string
	Instances  string
	// Advertise is the address at which other instances reach this one.
	Advertise  string
	Metrics    string
	DataFolder string
	// IsFounding means that the deployment starts for the first time, and that the seeds found the
	// group of control instances.
	IsFounding bool
	// Tolerate is how many control instances may fail at the same time.
	Tolerate int
	// Seeds are the addresses of control instances, with the port that is used between instances.
	Seeds            []string
	AnnounceInterval time.Duration
	// RetryRatio is the number of retries that each request adds to the budget of its service.
	// RetryReserve is the number of further retries that all gateways together may send in each
	// RetryWindow.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	// RoutingApplyTime is the time within which an acknowledged routing document is in force at all gateways.
	RoutingApplyTime time.Duration
	// Grace is the time between the signal to stop and the end of a gateway's process.
	Grace time.Duration
	// Cores is the number of processors that the process uses at once; 0 means the role's default.
	Cores int
	// MemoryMB is the memory that the process may use, in MiB; 0 means no limit.
	MemoryMB int
	// CallersMemory is the part of MemoryMB that the connections and requests of callers may take.
	CallersMemory float64
	// CallersConnections bounds the connections of callers; 0 means half of the files that the process may open.
	CallersConnections int
	// MaxAnswerMB is the largest answer that a gateway forwards, in MiB.
	MaxAnswerMB int
	LogLevel    string
	// LogLinesPerSecond is the rate limit of log lines.
	LogLinesPerSecond int
}

// Role is the role of a balsamd process, given as its first argument.
type Role string

// The roles.
const (
	RoleGateway    Role = "gateway"
	RoleController Role = "controller"
)

// requiredKeys are the sections and keys that must be set for each role.
var requiredKeys = map[Role][][2]string{
	RoleGateway: {{"instance", "name"}, {"instance", "data_centre"}, {"listen", "callers"}, {"listen", "ready"},
		{"listen", "instances"}, {"join", "seeds"}},
	RoleController: {{"instance", "name"}, {"instance", "data_centre"}, {"listen", "control"}, {"listen", "instances"},
		{"control", "data_folder"}, {"join", "seeds"}},
}

// ReadMember reads, parses and checks the settings file of a gateway or a controller.
func ReadMember(path string, role Role) (Member, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Member{}, eris.Wrapf(err, "settings: read %s", path)
	}
	return ParseMember(path, data, role)
}

// ParseMember parses and checks the settings of a gateway or a controller. name is the name of the
// settings file in errors.
func ParseMember(name string, data []byte, role Role) (Member, error) {
	r := &reader{schema: memberSchema}
	src, ok := r.load(name, data)
	if !ok {
		return Member{}, r.err()
	}
	get := func(section, key string) string { return r.value([]source{src}, section, key) }
	for _, k := range requiredKeys[role] {
		if get(k[0], k[1]) == "" {
			r.addFault(name, k[0], k[1], "", "is required")
		}
	}
	// The schema has already checked that these are numbers.
	intValue := func(section, key string) int {
		n, _ := strconv.Atoi(get(section, key))
		return n
	}
	decimalValue := func(section, key string) float64 {
		n, _ := strconv.ParseFloat(get(section, key), 64)
		return n
	}
	m := Member{
		Name:             get("instance", "name"),
		DataCentre:       get("instance", "data_centre"),
		Callers:          get("listen", "callers"),
		Ready:            get("listen", "ready"),
		Control:          get("listen", "control"),
		Instances:        get("listen", "instances"),
		Advertise:        get("listen", "advertise"),
		Metrics:          get("listen", "metrics"),
		DataFolder:       get("control", "data_folder"),
		IsFounding:       get("control", "founding") == "true",
		Tolerate:         intValue("control", "tolerate"),
		AnnounceInterval: time.Duration(decimalValue("fleet", "announce_interval_ms") * float64(time.Millisecond)),
		RetryRatio:       decimalValue("retry", "ratio"),
		RetryReserve:     decimalValue("retry", "reserve"),
		RetryWindow:      time.Duration(decimalValue("retry", "window_s") * float64(time.Second)),
		RoutingApplyTime: time.Duration(decimalValue("routing", "apply_ms") * float64(time.Millisecond)),
		Grace:            time.Duration(decimalValue("limits", "grace_s") * float64(time.Second)),
		Cores:            int(math.Ceil(decimalValue("limits", "cores"))),
		MemoryMB:         int(decimalValue("limits", "memory_mb")),
		CallersMemory:    decimalValue("limits", "callers_memory"),
		MaxAnswerMB:      intValue("limits", "answer_mb"),
		LogLevel:         get("log", "level"),

		CallersConnections: intValue("limits", "callers_connections"),
		LogLinesPerSecond:  intValue("log", "lines_per_second"),
	}
	if m.Advertise == "" {
		m.Advertise = m.Instances
	}
	m.Seeds = replacePorts(splitList(get("join", "seeds")), m.Advertise)
	return m, r.err()
}

// replacePorts replaces the port of each address with that of portSource. Addresses that are equal then
// are returned once.
func replacePorts(addresses []string, portSource string) []string {
	_, port, err := net.SplitHostPort(portSource)
	if err != nil {
		return nil // already reported as a fault of the key that holds portSource
	}
	var out []string
	for _, a := range addresses {
		host, _, err := net.SplitHostPort(a)
		if err != nil {
			continue // already reported
		}
		if a = net.JoinHostPort(host, port); !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// fraction checks that the value is a number from 0 to 1.
// decimal returns a check for a number that may have a fraction, as the platform states some bounds.
func decimal(low, high float64) func(string) string {
	return func(v string) string {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= low && f <= high) { // NaN is in no range
			return fmt.Sprintf("must be a number from %g to %g", low, high)
		}
		return ""
	}
}

func fraction(v string) string {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		return "must be a number from 0 to 1"
	}
	return ""
}
