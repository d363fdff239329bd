package settings

import (
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
)

// ServiceKind says whether the requests of a service run on a chain of backend servers or on a
// single one.
type ServiceKind string

// The kinds of service.
const (
	// ServiceDraft means that a chain of backend servers streams text.
	ServiceDraft ServiceKind = "draft"
	// ServicePlain means that each request is one call to one backend server.
	ServicePlain ServiceKind = "plain"
)

// sharedConfigSchema lists the keys of the shared configuration.
var sharedConfigSchema = []Key{
	{"limits", "max_body", "65536", "bytes", "Largest body of a caller's request.", wholeNumber(1024, 16<<20)},
	{"limits", "max_tokens", "4096", "tokens", "Most tokens that one draft may ask for.", wholeNumber(1, 1<<20)},
	{"limits", "default_deadline", "30s", "duration", "Deadline of a request that names none.", duration(100*time.Millisecond, time.Hour)},
	{"limits", "server_lease", "2500ms", "duration", "Time after which a backend server that was not heard gets no new work.", duration(200*time.Millisecond, 3*time.Second)},
	{"limits", "weight_loads", "2", "servers", "Servers that may load weights at a time, since they share the rate of the weight store.", wholeNumber(1, 1000)},
	{"service", "kind", "plain", "", "draft: text streamed from a chain; plain: one call to one server.", oneOf(string(ServiceDraft), string(ServicePlain))},
	{"service", "model", "", "", "Model that a draft service runs.", anyText},
	{"service", "layers", "0", "layers", "Number of layers of the model.", wholeNumber(0, fleet.MaxLayers)},
	{"service", "idempotent", "true", "", "false: the service's calls are recorded and run at most once.", oneOf("true", "false")},
	{"service", "enabled", "true", "", "false: the service takes no requests in the data centre.", oneOf("true", "false")},
	{"move", "service", "", "", "Service whose backend servers are retired.", anyText},
	{"move", "data_centre", "", "", "Data centre whose servers of the service are retired. Empty: those that servers names.", anyText},
	{"move", "servers", "", "name, ...", "Servers that are retired. Empty: those of data_centre.", anyText},
	{"move", "start", "", "date", "When the first server is drained. Empty: at once.", dateTime},
	{"move", "date", "", "date", "When the last server must be idle, such as 2027-03-31T18:00:00Z.", dateTime},
	{"workspace", "member", "", "", "Member that answered requests are credited to. Empty: the workspace's name.", anyText},
	{"workspace", "share", "1", "", "Weight of the workspace under load.", wholeNumber(1, 1_000_000)},
	{"workspace", "priority", "0", "", "Rank of the workspace's requests under shortage: 0 is the most urgent, 9 the least.", wholeNumber(0, 9)},
	{"workspace", "max_in_flight", "256", "requests", "Most requests in flight at one instance.", wholeNumber(1, 1_000_000)},
	{"server", "model", "", "", "Model that the backend server is to hold. A server without a section is left as it is.", anyText},
	{"server", "layers", "0-0", "layers", "First layer that it is to hold and the one after the last.", layerRange},
	{"server", "version", "", "", "Version of the model that it is to hold.", anyText},
	{"server", "adapters", "", "name, ...", "Adapters that it is to hold.", anyText},
	{"server", "role", "", "", "Part of the work that it is to do. Empty: all.", oneOf("", "prefill", "decode")},
}

// Limits bound callers' requests, the leases of backend servers and concurrent weight loads.
type Limits struct {
	MaxBodyBytes int
	// MaxTokens bounds the tokens that one draft may ask for.
	MaxTokens int
	// DefaultDeadline applies to requests that state no deadline.
	DefaultDeadline time.Duration
	ServerLease     time.Duration
	// WeightLoads bounds the servers that load weights at the same time.
	WeightLoads int
}

// Service is one service that callers may use.
type Service struct {
	Name       string
	Kind       ServiceKind
	Model      string
	Layers     int
	Idempotent bool
	Enabled    bool
}

// Pool returns the name of the pool of backend servers that run the service: the model of a
// draft service, or the name of a plain service.
func (s Service) Pool() string {
	if s.Kind == ServiceDraft {
		return s.Model
	}
	return s.Name
}

// Workspace is one customer of the system.
type Workspace struct {
	Name string
	// Member is credited with the workspace's answered requests.
	Member string
	// Share is the workspace's weight under load.
	Share int
	// Priority is the rank of the workspace's requests under shortage; 0 is the most urgent.
	Priority int
	// MaxInFlight bounds the workspace's requests in flight at one instance.
	MaxInFlight int
}

// SharedConfig is the shared configuration with the overlay of one data centre applied.
type SharedConfig struct {
	Limits     Limits
	Services   map[string]Service
	Workspaces map[string]Workspace
	Moves      map[string]Move
	// Engines are the desired states of the engines that receive orders, by server name.
	Engines map[string]Engine
}

// File is the text of a file, with its name for errors.
type File struct {
	Name string
	Text string
}

// SharedConfigReader reads successive versions of the configuration and parses only the sections
// that have changed. It is not safe for concurrent use.
type SharedConfigReader struct {
	cache *sectionCache
}

// NewSharedConfigReader returns a reader with an empty cache.
func NewSharedConfigReader() *SharedConfigReader {
	return &SharedConfigReader{cache: newSectionCache()}
}

// Read does what ParseSharedConfig does, but reuses the sections that the previous call parsed.
func (sr *SharedConfigReader) Read(base, overlay File) (SharedConfig, error) {
	sr.cache.startPass()
	return (&reader{schema: sharedConfigSchema, cache: sr.cache}).sharedConfig(base, overlay)
}

// ParseSharedConfig parses and checks the base file with one overlay applied on top. An overlay
// without text is ignored.
func ParseSharedConfig(base, overlay File) (SharedConfig, error) {
	return (&reader{schema: sharedConfigSchema}).sharedConfig(base, overlay)
}

func (r *reader) sharedConfig(base, overlay File) (SharedConfig, error) {
	var sources []source
	for _, f := range []File{base, overlay} {
		if f.Text == "" {
			continue
		}
		if src, ok := r.load(f.Name, []byte(f.Text)); ok {
			sources = append(sources, src)
		}
	}
	cfg := SharedConfig{Services: make(map[string]Service), Workspaces: make(map[string]Workspace), Engines: make(map[string]Engine)}
	if len(r.faults) > 0 {
		return cfg, r.err()
	}
	cfg.Limits = r.limits(sources)
	for _, name := range r.sectionNames(sources, "service") {
		cfg.Services[name] = r.service(sources, name, base.Name)
	}
	for _, name := range r.sectionNames(sources, "workspace") {
		cfg.Workspaces[name] = r.workspace(sources, name)
	}
	cfg.Moves = make(map[string]Move)
	for _, name := range r.sectionNames(sources, "move") {
		cfg.Moves[name] = r.move(sources, name, base.Name, cfg.Services)
	}
	for _, name := range r.sectionNames(sources, "server") {
		cfg.Engines[name] = r.engine(sources, name, base.Name)
	}
	return cfg, r.err()
}

func (r *reader) limits(sources []source) Limits {
	return Limits{
		MaxBodyBytes:    r.intValue(sources, "limits", "max_body"),
		MaxTokens:       r.intValue(sources, "limits", "max_tokens"),
		DefaultDeadline: r.durationValue(sources, "limits", "default_deadline"),
		ServerLease:     r.durationValue(sources, "limits", "server_lease"),
		WeightLoads:     r.intValue(sources, "limits", "weight_loads"),
	}
}

func (r *reader) service(sources []source, name, file string) Service {
	section := "service " + name
	s := Service{
		Name:       name,
		Kind:       ServiceKind(r.value(sources, section, "kind")),
		Model:      r.value(sources, section, "model"),
		Layers:     r.intValue(sources, section, "layers"),
		Idempotent: r.value(sources, section, "idempotent") == "true",
		Enabled:    r.value(sources, section, "enabled") == "true",
	}
	if s.Kind == ServiceDraft && s.Model == "" {
		r.addFault(file, section, "model", "", "is required for a draft service")
	}
	if s.Kind == ServiceDraft && s.Layers == 0 {
		r.addFault(file, section, "layers", "0", "must be at least 1 for a draft service")
	}
	return s
}

func (r *reader) workspace(sources []source, name string) Workspace {
	section := "workspace " + name
	w := Workspace{
		Name:        name,
		Member:      r.value(sources, section, "member"),
		Share:       r.intValue(sources, section, "share"),
		Priority:    r.intValue(sources, section, "priority"),
		MaxInFlight: r.intValue(sources, section, "max_in_flight"),
	}
	if w.Member == "" {
		w.Member = name
	}
	return w
}

func (r *reader) intValue(sources []source, section, key string) int {
	n, _ := strconv.Atoi(r.value(sources, section, key))
	return n
}

func (r *reader) durationValue(sources []source, section, key string) time.Duration {
	d, _ := time.ParseDuration(r.value(sources, section, key))
	return d
}
