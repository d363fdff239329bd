package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/rotisserie/eris"
)

// fleetSchema lists the keys of a file that defines emulated backend servers.
var fleetSchema = []Key{
	{"data_centre", "announce", "", "IP:port, ...", "Instances that the data centre's servers announce themselves to.", addressPorts},
	{"server", "address", "", "IP:port", "Address of the server.", addressPort},
	{"server", "data_centre", "", "", "Data centre of the server.", anyText},
	{"server", "accelerator", "", "", "Kind of accelerator.", anyText},
	{"server", "model", "", "", "Model that the server holds. Empty: none.", anyText},
	{"server", "layers", "0-0", "layers", "First layer and the one after the last.", layerRange},
	{"server", "partial_range", "false", "", "true: the server can run a part of its layers.", oneOf("true", "false")},
	{"server", "slots", "16", "requests", "Requests that the server batches.", wholeNumber(1, 4096)},
	{"server", "step", "4000", "µs", "Time of one decoding step with one request.", wholeNumber(0, 10_000_000)},
	{"server", "prefill", "50", "µs", "Time to prefill one token.", wholeNumber(0, 1_000_000)},
	{"server", "services", "", "name, ...", "Plain services that the server runs.", anyText},
	{"engine", "layer_load", "0s", "duration", "Time to load one layer from the weight store, which all servers share.", duration(0, time.Minute)},
	{"server", "resolves_requests", "false", "", "true: the server can tell what became of a request.", oneOf("true", "false")},
	{"server", "call_time", "0s", "duration", "Time that a plain call takes beside the usual.", duration(0, time.Minute)},
	{"server", "refuse_every", "0", "calls", "Every nth plain call is refused before it runs. 0: none.", wholeNumber(0, 1_000_000)},
	{"server", "lose_every", "0", "calls", "Every nth plain call runs and gets no answer. 0: none.", wholeNumber(0, 1_000_000)},
	{"link", "delay", "500", "µs", "One-way delay between two data centres: [link A B].", wholeNumber(0, 10_000_000)},
	{"link", "bandwidth", "0", "Mbit/s", "Bandwidth between two data centres; 0: unlimited.", wholeNumber(0, 10_000_000)},
	{"accelerator", "delay", "0", "µs", "What a kind of accelerator adds to the delay of a hop.", wholeNumber(0, 10_000_000)},
	{"accelerator", "bandwidth", "0", "Mbit/s", "Bandwidth of a kind of accelerator; 0: unlimited.", wholeNumber(0, 10_000_000)},
	{"engine", "activation_bytes", "8192", "bytes", "Activations of a token between two stages.", wholeNumber(1, 1<<30)},
	{"engine", "kv_bytes", "4096", "bytes", "KV cache of a token in one layer.", wholeNumber(1, 1<<30)},
	{"engine", "prefix_tokens", "16384", "tokens", "Size of each server's prefix cache.", wholeNumber(1, 1<<30)},
	{"server", "peer", "false", "", "true: another process emulates the server.", oneOf("true", "false")},
	{"server", "checks_fences", "true", "", "false: the server ignores fencing numbers.", oneOf("true", "false")},
}

// EmulatedFleet is a set of emulated backend servers.
type EmulatedFleet struct {
	Servers []fleet.BackendServer
	// Peers are servers that another process emulates.
	Peers []fleet.BackendServer
	// Announce lists, for each data centre, the addresses to which its servers send announcements.
	Announce map[string][]string
	// CallFaults are the injected faults of plain calls, by server name.
	CallFaults map[string]CallFaults
	// Links are the network links between data centres. Accelerators hold, for each kind of
	// accelerator, the delay that it adds to a hop and the bandwidth to which it limits the hop.
	Links        []EmulatedLink
	Accelerators []EmulatedLink
	// ActivationBytes, KVBytes, PrefixTokens and LayerLoad apply to all engines.
	ActivationBytes int
	KVBytes         int
	PrefixTokens    int
	LayerLoad       time.Duration
}

// CallFaults are faults injected into plain calls to an emulated server. A field that is zero
// injects no fault.
type CallFaults struct {
	// CallTime is added to the time of each call.
	CallTime time.Duration
	// Every RefuseEvery-th call is refused; every LoseEvery-th call runs but gets no response.
	RefuseEvery int
	LoseEvery   int
}

// EmulatedLink is the delay and bandwidth of a link or of a kind of accelerator.
type EmulatedLink struct {
	Name        string // the name in the section header
	DelayMicros int
	// Megabits is the bandwidth in Mbit/s; 0 means unlimited.
	Megabits int
}

// ParseFleet parses and checks a file of emulated backend servers. name is used in errors.
func ParseFleet(name string, data []byte) (EmulatedFleet, error) {
	r := &reader{schema: fleetSchema}
	out := EmulatedFleet{Announce: make(map[string][]string), CallFaults: make(map[string]CallFaults)}
	src, ok := r.load(name, data)
	if !ok || len(r.faults) > 0 {
		return out, r.err()
	}
	sources := []source{src}
	for _, dc := range r.sectionNames(sources, "data_centre") {
		out.Announce[dc] = splitList(r.value(sources, "data_centre "+dc, "announce"))
	}
	for _, server := range r.sectionNames(sources, "server") {
		if r.value(sources, "server "+server, "peer") == "true" {
			out.Peers = append(out.Peers, r.emulatedServer(sources, server, name))
			continue
		}
		out.Servers = append(out.Servers, r.emulatedServer(sources, server, name))
		section := "server " + server
		out.CallFaults[server] = CallFaults{
			CallTime:    r.durationValue(sources, section, "call_time"),
			RefuseEvery: r.intValue(sources, section, "refuse_every"),
			LoseEvery:   r.intValue(sources, section, "lose_every"),
		}
	}
	out.Links = r.emulatedLinks(sources, "link")
	out.Accelerators = r.emulatedLinks(sources, "accelerator")
	out.ActivationBytes = r.intValue(sources, "engine", "activation_bytes")
	out.KVBytes = r.intValue(sources, "engine", "kv_bytes")
	out.LayerLoad = r.durationValue(sources, "engine", "layer_load")
	out.PrefixTokens = r.intValue(sources, "engine", "prefix_tokens")
	return out, r.err()
}

func (r *reader) emulatedLinks(sources []source, kind string) []EmulatedLink {
	var out []EmulatedLink
	for _, name := range r.sectionNames(sources, kind) {
		out = append(out, EmulatedLink{
			Name:        name,
			DelayMicros: r.intValue(sources, kind+" "+name, "delay"),
			Megabits:    r.intValue(sources, kind+" "+name, "bandwidth"),
		})
	}
	return out
}

func (r *reader) emulatedServer(sources []source, name, file string) fleet.BackendServer {
	section := "server " + name
	for _, key := range []string{"address", "data_centre"} {
		if r.value(sources, section, key) == "" {
			r.addFault(file, section, key, "", "is required")
		}
	}
	layers, _ := parseLayers(r.value(sources, section, "layers"))
	return fleet.BackendServer{
		Name:          name,
		Incarnation:   uint64(time.Now().UnixNano()),
		Address:       r.value(sources, section, "address"),
		DataCentre:    r.value(sources, section, "data_centre"),
		Accelerator:   r.value(sources, section, "accelerator"),
		Services:      splitList(r.value(sources, section, "services")),
		Model:         r.value(sources, section, "model"),
		Layers:        layers,
		PartialRange:  r.value(sources, section, "partial_range") == "true",
		Slots:         r.intValue(sources, section, "slots"),
		StepMicros:    r.intValue(sources, section, "step"),
		PrefillMicros: r.intValue(sources, section, "prefill"),
		ChecksFences:  r.value(sources, section, "checks_fences") == "true",

		ResolvesRequests: r.value(sources, section, "resolves_requests") == "true",
	}
}

func layerRange(v string) string {
	if _, err := parseLayers(v); err != nil {
		return fmt.Sprintf("must be a range such as 0-16, up to %d", fleet.MaxLayers)
	}
	return ""
}

func parseLayers(v string) (fleet.Range, error) {
	from, to, ok := strings.Cut(v, "-")
	if !ok {
		return fleet.Range{}, eris.New("settings: a range needs a dash")
	}
	low, err := strconv.Atoi(strings.TrimSpace(from))
	if err != nil {
		return fleet.Range{}, err
	}
	high, err := strconv.Atoi(strings.TrimSpace(to))
	if err != nil {
		return fleet.Range{}, err
	}
	if low < 0 || high < low {
		return fleet.Range{}, eris.New("settings: a range must not run backwards")
	}
	if high > fleet.MaxLayers {
		return fleet.Range{}, eris.Errorf("settings: a model has at most %d layers", fleet.MaxLayers)
	}
	return fleet.Range{From: low, To: high}, nil
}
