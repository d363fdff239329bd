package lab

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"
)

// The bounds by which the soak judges.
const (
	applyBound = 3 * time.Second
	// touchTime is how long a gateway must be without trouble before the bound holds for it.
	touchTime = 5 * time.Second
	// troubledApplyBound holds for gateways without trouble while the control instances have some.
	troubledApplyBound = applyBound + 8*time.Second
	// rollbackSlack is how long after the effect of a document an older one may still be seen.
	rollbackSlack = 250 * time.Millisecond
	ackBound      = 6 * time.Second
	// recoveryBound is how long after a loss of all control instances documents must be read again.
	recoveryBound = 15 * time.Second
)

// soakDocument is what a document of the operator says about the routes and keys that the soak asks for.
type soakDocument struct {
	version  uint64
	services map[string]string // by the prefix of the route
	tenants  map[string]string // by key
	sent     time.Time
	acked    time.Time // zero: not yet
}

// trouble is a fault that excuses something.
type trouble struct {
	what     string
	from, to time.Time // to is zero while it lasts
	gateway  string    // the gateway that it touches, or ""
	// isCore means that it touches the control instances, around its beginning and its end, and isLasting
	// that it does so meanwhile.
	isCore, isLasting bool
	// isTotal means that most control instances were lost.
	isTotal bool
}

// overlaps reports whether the trouble has taken place within the time before from, or until to.
func (t *trouble) overlaps(from, to time.Time, before time.Duration) bool {
	return t.from.Before(to) && (t.to.IsZero() || t.to.After(from.Add(-before)))
}

// probe is a request of a caller that shows which documents may be in force.
type probe struct {
	gateway, prefix, key string
	boot                 int
	sent, answered       time.Time
	status               int
	service, tenant      string // of the server that has run it
}

// isExplainedBy reports whether a gateway with the document would have answered like that.
func (p *probe) isExplainedBy(d *soakDocument) bool {
	service, hasRoute := d.services[p.prefix]
	tenant, hasKey := d.tenants[p.key]
	switch p.status {
	case 200:
		return hasRoute && hasKey && service == p.service && tenant == p.tenant
	case 404:
		return !hasRoute
	case 401, 403:
		return !hasKey
	}
	return true
}

// sighting is the first answer that shows a version.
type sighting struct {
	version uint64
	at      time.Time
}

// soakJudge keeps what the operator has sent and what callers have seen, and states the broken rules.
type soakJudge struct {
	t        testing.TB
	started  time.Time
	mu       sync.Mutex
	docs     []*soakDocument // by version
	troubles []*trouble
	seen     map[string][]sighting // by gateway and boot
	broken   map[string]int        // by rule
	findings []finding
	statuses map[string]int
	// longest holds the longest time that an acknowledged document was seen not in force: without an excuse
	// (LATE), while control instances had trouble, and excused. slowest says where.
	longest map[string]time.Duration
	slowest map[string]string
}

type finding struct {
	at      time.Time
	gateway string // or ""
	text    string
}

func newSoakJudge(t testing.TB) *soakJudge {
	return &soakJudge{t: t, started: time.Now(), seen: make(map[string][]sighting), broken: make(map[string]int),
		statuses: make(map[string]int), longest: make(map[string]time.Duration), slowest: make(map[string]string)}
}

func (j *soakJudge) second(t time.Time) string {
	return fmt.Sprintf("%.2f", t.Sub(j.started).Seconds())
}

// breaks records a broken rule, with the troubles that a reader has to know. The caller holds the lock.
func (j *soakJudge) breaks(rule, gateway string, at time.Time, format string, args ...any) {
	j.broken[rule]++
	if j.broken[rule] > maxFindings {
		return
	}
	text := fmt.Sprintf("%s %s: %s", j.second(at), rule, fmt.Sprintf(format, args...))
	for _, t := range j.troubles {
		if (t.gateway == gateway || t.gateway == "") && t.overlaps(at, at, troubledApplyBound+touchTime) {
			end := "now"
			if !t.to.IsZero() {
				end = j.second(t.to)
			}
			text += fmt.Sprintf("\n      trouble %s to %s: %s", j.second(t.from), end, t.what)
		}
	}
	j.findings = append(j.findings, finding{at, gateway, text})
	j.t.Log(text)
}

// maxFindings is how many findings of a rule are described.
const maxFindings = 4

func (j *soakJudge) report(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.breaks(rule, "", time.Now(), format, args...)
}

// begin records a trouble, and end that it is over.
func (j *soakJudge) begin(t trouble) *trouble {
	j.mu.Lock()
	defer j.mu.Unlock()
	t.from = time.Now()
	j.troubles = append(j.troubles, &t)
	return &t
}

func (j *soakJudge) end(t *trouble) {
	j.mu.Lock()
	defer j.mu.Unlock()
	t.to = time.Now()
}

// isInTouch reports whether no trouble touches the gateway in the time that counts for a request.
func (j *soakJudge) isInTouch(gateway string, from, to time.Time) bool {
	for _, t := range j.troubles {
		if t.gateway == gateway && t.overlaps(from, to, touchTime) || t.isTotal && t.overlaps(from, to, 2*touchTime) {
			return false
		}
	}
	return true
}

// isCoreCalm reports whether the control instances were without trouble in the time that counts.
func (j *soakJudge) isCoreCalm(from, to time.Time) bool {
	for _, t := range j.troubles {
		if !t.isCore || !t.overlaps(from, to, touchTime) {
			continue
		}
		hasBegun := t.from.After(from.Add(-touchTime))
		if hasBegun || t.isLasting || !t.to.IsZero() {
			return false
		}
	}
	return true
}

// newestAcked returns the newest document that was acknowledged at t or before, or nil.
func (j *soakJudge) newestAcked(t time.Time) *soakDocument {
	for _, d := range slices.Backward(j.docs) {
		if !d.acked.IsZero() && !d.acked.After(t) {
			return d
		}
	}
	return nil
}

func (j *soakJudge) sent(d *soakDocument) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d.sent = time.Now()
	j.docs = append(j.docs, d)
}

func (j *soakJudge) acked(d *soakDocument) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d.acked = time.Now()
}

func (j *soakJudge) newest() *soakDocument {
	j.mu.Lock()
	defer j.mu.Unlock()
	if d := j.newestAcked(time.Now()); d != nil {
		return d
	}
	return &soakDocument{}
}

// handle judges the answer to a request.
func (j *soakJudge) handle(p probe) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses[fmt.Sprint(p.status)]++
	if p.status != 200 && p.status != 404 && p.status != 401 && p.status != 403 {
		if j.isInTouch(p.gateway, p.sent, p.answered) && j.isCoreCalm(p.sent, p.answered) {
			j.statuses[unserved]++
		}
		return
	}
	var explains *soakDocument // the newest document that explains the answer
	for _, d := range slices.Backward(j.docs) {
		if p.isExplainedBy(d) {
			explains = d
			break
		}
	}
	if explains == nil {
		j.breaks("UNKNOWN", p.gateway, p.answered, "%s answers %d (service %q, tenant %q) to %s with key %q, as no document that was sent allows", p.gateway, p.status, p.service, p.tenant, p.prefix, p.key)
		return
	}
	j.judgeAge(p, explains)
	j.judgeRegress(p, explains)
}

// judgeAge checks that acknowledged documents are in force in time.
func (j *soakJudge) judgeAge(p probe, explains *soakDocument) {
	bound, rule := applyBound, "LATE"
	switch {
	case !j.isInTouch(p.gateway, p.sent, p.answered):
		bound, rule = 24*time.Hour, "excused"
	case !j.isCoreCalm(p.sent, p.answered):
		bound, rule = troubledApplyBound, "LATE-BESIDE-TROUBLE"
	}
	j.statuses[rule]++
	i, _ := slices.BinarySearchFunc(j.docs, explains.version+1, func(d *soakDocument, v uint64) int { return int(int64(d.version) - int64(v)) })
	for _, d := range j.docs[i:] {
		if d.acked.IsZero() || d.acked.After(p.sent) {
			continue
		}
		age := p.sent.Sub(d.acked)
		if age > j.longest[rule] {
			j.longest[rule] = age
			j.slowest[rule] = fmt.Sprintf("%s at %s, version %d", p.gateway, j.second(p.sent), d.version)
		}
		if age > bound {
			j.breaks(rule, p.gateway, p.sent, "%s answers %d to %s with key %q by version %d or older; version %d was acknowledged %.2f s before", p.gateway, p.status, p.prefix, p.key, explains.version, d.version, age.Seconds())
		}
		return
	}
}

// judgeRegress checks that no gateway goes back within one start.
func (j *soakJudge) judgeRegress(p probe, explains *soakDocument) {
	id := fmt.Sprint(p.gateway, " ", p.boot)
	for _, s := range slices.Backward(j.seen[id]) {
		if s.at.Before(p.sent.Add(-rollbackSlack)) {
			if explains.version < s.version {
				j.breaks("REGRESS", p.gateway, p.sent, "%s answers %d to %s with key %q by version %d or older; it had version %d at %s", p.gateway, p.status, p.prefix, p.key, explains.version, s.version, j.second(s.at))
			}
			break
		}
	}
	if p.status != 200 || p.key != versionKey {
		return
	}
	if last := len(j.seen[id]) - 1; last < 0 || j.seen[id][last].version < explains.version {
		j.seen[id] = append(j.seen[id], sighting{explains.version, p.answered})
	}
}

// handleRead judges a version that a control instance has named as the newest.
func (j *soakJudge) handleRead(control string, sent time.Time, version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.statuses["read"]++
	if d := j.newestAcked(sent.Add(-applyBound)); d != nil && version < d.version {
		j.breaks("READ", "", sent, "%s reads back version %d; version %d was acknowledged %.2f s before", control, version, d.version, sent.Sub(d.acked).Seconds())
	}
}

// unserved counts answers by gateways without an excuse that aren't the answer of a server or of the document.
const unserved = "unserved"

// checkServed breaks a rule if callers of gateways without an excuse were served less than three times in four.
func (j *soakJudge) checkServed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := j.statuses[unserved]; 3*n > j.statuses["LATE"] {
		j.breaks("UNSERVED", "", time.Now(), "%d of %d requests were not served by gateways without trouble", n, n+j.statuses["LATE"])
	}
}

// summary describes the run in one line.
func (j *soakJudge) summary() string {
	j.mu.Lock()
	defer j.mu.Unlock()
	acked := 0
	for _, d := range j.docs {
		if !d.acked.IsZero() {
			acked++
		}
	}
	out := fmt.Sprintf("%d of %d documents acknowledged, %d troubles, answers", acked, len(j.docs), len(j.troubles))
	for _, s := range slices.Sorted(maps.Keys(j.statuses)) {
		out += fmt.Sprintf(" %s:%d", s, j.statuses[s])
	}
	for _, rule := range slices.Sorted(maps.Keys(j.longest)) {
		out += fmt.Sprintf("; longest %s %.2f s (%s)", rule, j.longest[rule].Seconds(), j.slowest[rule])
	}
	return out + fmt.Sprintf("; broken %v", j.broken)
}

// latest returns the document that was sent last.
func (j *soakJudge) latest() *soakDocument {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.docs) == 0 {
		return &soakDocument{}
	}
	return j.docs[len(j.docs)-1]
}

func (j *soakJudge) wasCoreCalm(from, to time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.isCoreCalm(from, to)
}
