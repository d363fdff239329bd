package quarantine

import (
	"slices"
	"time"
)

// partDecision is the verdict on all parts.
type partDecision struct {
	isStale bool
	madeAt  time.Time
	// validUntil is when the verdict has to be made anew though nothing has changed.
	validUntil time.Time
	// held holds the groups that are in quarantine, by each of their parts.
	held map[Part]*partGroup
	// explained holds the crashes that parts in quarantine have caused.
	explained map[Crash]bool
}

// partGroup is a set of parts that were part of the same crashes. Requests with all of them are held
// back.
type partGroup struct {
	parts   []Part
	crashes []*partCrash // by time
	expires time.Time
	// from is when the quarantine begins, unless a run proves sound before.
	from time.Time
	// rivalCrashes is the largest number of crashes of a part outside of the group, if such parts may
	// have caused all crashes of the group, and else 0.
	rivalCrashes int
}

// partCandidate is a part with enough crashes that count.
type partCandidate struct {
	part Part
	// open are all crashes that aren't cleared for the part, and counted those that count, by time.
	open, counted []*partCrash
	cleared       int
}

// HeldPart returns the part for which a request with the given parts of its prompt is held back, and
// when its quarantine ends.
func (e *Evidence) HeldPart(now time.Time, parts []Part) (held Part, expires time.Time, ok bool) {
	if len(e.parts.crashes) == 0 {
		return 0, time.Time{}, false
	}
	d := e.parts.decide(now)
	for _, p := range parts {
		g := d.held[p]
		if g != nil && now.Before(g.expires) && g.isIn(parts) {
			return p, g.expires, true
		}
	}
	return 0, time.Time{}, false
}

// isIn reports whether a prompt has all parts of the group.
func (g *partGroup) isIn(parts []Part) bool {
	for _, p := range g.parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

const (
	// manyPartCrashes is the number of crashes from which on decisions are decisionInterval apart.
	manyPartCrashes  = 32
	decisionInterval = 20 * time.Millisecond
)

// decide returns the current decision.
func (e *partEvidence) decide(now time.Time) *partDecision {
	age := now.Sub(e.decision.madeAt)
	if len(e.crashes) >= manyPartCrashes && age >= 0 && age < decisionInterval {
		return &e.decision
	}
	if e.decision.isStale || !now.Before(e.decision.validUntil) {
		e.decision = e.newDecision(now)
	}
	return &e.decision
}

func (e *partEvidence) newDecision(now time.Time) partDecision {
	d := partDecision{madeAt: now, validUntil: now.Add(TTL), held: make(map[Part]*partGroup), explained: make(map[Crash]bool)}
	candidates := e.candidates(now, &d)
	var groups []*partGroup
	for len(candidates) > 0 {
		g := newPartGroup(candidates)
		for _, x := range g.crashes {
			d.explained[x.Crash] = true
		}
		groups = append(groups, g)
		candidates = slices.DeleteFunc(candidates, func(c *partCandidate) bool { return !c.removeExplained(d.explained) })
	}
	for _, g := range e.withoutCovered(groups) {
		g.rivalCrashes = e.rivalCrashes(g)
		d.hold(now, g)
	}
	return d
}

// newPartGroup returns the likeliest of the candidates, with all others that were part of the same
// crashes.
func newPartGroup(candidates []*partCandidate) *partGroup {
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.isLikelier(best) {
			best = c
		}
	}
	decisive := best.counted[partCrashes-1].at
	g := &partGroup{crashes: slices.Clone(best.open), expires: best.open[len(best.open)-1].at.Add(TTL), from: decisive}
	if sound := best.counted[0].at.Add(soundRunDelay); sound.After(g.from) {
		g.from = sound
	}
	for _, c := range candidates {
		if slices.Equal(c.open, best.open) {
			g.parts = append(g.parts, c.part)
		}
	}
	return g
}

// withoutCovered returns the groups without those of which the other groups were part of all crashes.
func (e *partEvidence) withoutCovered(groups []*partGroup) []*partGroup {
	for i := 0; i < len(groups); {
		others := slices.Delete(slices.Clone(groups), i, i+1)
		isCovered := !slices.ContainsFunc(groups[i].crashes, func(x *partCrash) bool {
			return !slices.ContainsFunc(others, func(g *partGroup) bool { return x.counts(g.parts[0]) })
		})
		if isCovered {
			groups = others
			continue
		}
		i++
	}
	return groups
}

// rivalCrashes returns the largest number of crashes of a suspect outside of the group, or 0 if there is
// a crash without such a suspect.
func (e *partEvidence) rivalCrashes(g *partGroup) int {
	most := 0
	for _, x := range g.crashes {
		here := 0
		for p, use := range x.parts {
			if !use.isCleared && !slices.Contains(g.parts, p) {
				here = max(here, e.parts[p].open)
			}
		}
		if here < suspectCrashes {
			return 0
		}
		most = max(most, here)
	}
	return most
}

// maxClearedWeight bounds the weight of cleared crashes: a part that was sound may crash servers now.
const maxClearedWeight = 2

// isLikelier reports whether a part is likelier than another one to be the cause of its crashes: it
// was part of more of them, and of fewer that sound runs have cleared.
func (c *partCandidate) isLikelier(than *partCandidate) bool {
	return len(c.open)-min(c.cleared, maxClearedWeight) > len(than.open)-min(than.cleared, maxClearedWeight)
}

// removeExplained removes the explained crashes and reports whether enough are left.
func (c *partCandidate) removeExplained(explained map[Crash]bool) bool {
	isExplained := func(x *partCrash) bool { return explained[x.Crash] }
	c.open = slices.DeleteFunc(c.open, isExplained)
	c.counted = slices.DeleteFunc(c.counted, isExplained)
	return len(c.counted) >= partCrashes
}

// hold puts a group in quarantine, or has the decision made again when its quarantine begins.
func (d *partDecision) hold(now time.Time, g *partGroup) {
	if now.Before(g.from) {
		d.recheckAt(g.from)
		return
	}
	for _, p := range g.parts {
		d.held[p] = g
	}
}

func (d *partDecision) recheckAt(t time.Time) {
	if t.Before(d.validUntil) {
		d.validUntil = t
	}
}

// candidates returns the parts with enough crashes that count, in the order of their IDs.
func (e *partEvidence) candidates(now time.Time, d *partDecision) []*partCandidate {
	parts := e.sortedParts(partCrashes)
	if len(parts) == 0 {
		return nil
	}
	others := &otherCrashes{history: e.history, suspected: e.suspectedCrashes(), simultaneous: make(map[Crash][]Crash)}
	var out []*partCandidate
	for _, p := range parts {
		r := e.parts[p]
		open := e.openCrashes(p, r)
		counted := e.counted(now, d, p, open, others)
		if len(counted) < partCrashes || e.isOneContent(crashIDs(counted)) {
			continue
		}
		out = append(out, &partCandidate{part: p, open: open, counted: counted, cleared: len(r.crashes) - r.open})
	}
	return out
}

func crashIDs(crashes []*partCrash) []Crash {
	out := make([]Crash, len(crashes))
	for i, x := range crashes {
		out[i] = x.Crash
	}
	return out
}

// suspectedCrashes returns the crashes of all parts that have almost enough of them. They are no sign
// of a common cause.
func (e *partEvidence) suspectedCrashes() map[Crash]bool {
	out := make(map[Crash]bool)
	for p, r := range e.parts {
		if r.open < partCrashes-1 {
			continue
		}
		for _, x := range r.crashes {
			if x.counts(p) {
				out[x.Crash] = true
			}
		}
	}
	return out
}

// counted returns those of the open crashes of a part that count: without those that are not
// confirmed, and without further ones of several servers that crashed at once.
func (e *partEvidence) counted(now time.Time, d *partDecision, p Part, open []*partCrash, others *otherCrashes) []*partCrash {
	isKnown := func(c Crash) bool { return others.suspected[c] || e.ranPart(c, p) }
	var out []*partCrash
	for _, x := range open {
		n := len(out)
		switch age := now.Sub(x.at); {
		case age >= TTL:
			continue
		case !x.isConfirmed && age < presumedDelay:
			d.recheckAt(x.at.Add(presumedDelay))
			continue
		case !x.isConfirmed && e.history.coincides(x.at, commonCauseWindow, isKnown, 1):
			continue
		case n >= maxSimultaneous && x.at.Sub(out[n-maxSimultaneous].at) < simultaneousWindow && others.coincide(x, isKnown):
			continue
		}
		d.recheckAt(x.at.Add(TTL))
		out = append(out, x)
	}
	return out
}

// otherCrashes finds the crashes that no suspected part explains.
type otherCrashes struct {
	history   *history
	suspected map[Crash]bool
	// simultaneous holds the other crashes at about the time of each crash, once they are needed.
	simultaneous map[Crash][]Crash
}

// coincide reports whether several servers that a part didn't run on crashed at the time of a crash.
func (o *otherCrashes) coincide(x *partCrash, ranOn func(Crash) bool) bool {
	found, ok := o.simultaneous[x.Crash]
	if !ok {
		for _, s := range o.history.around(x.at, simultaneousWindow) {
			if !o.suspected[s.Crash] {
				found = append(found, s.Crash)
			}
		}
		o.simultaneous[x.Crash] = found
	}
	count := 0
	for _, c := range found {
		if !ranOn(c) {
			if count++; count >= commonCauseServers {
				return true
			}
		}
	}
	return false
}

// ranPart reports whether the part was running on the server when it crashed.
func (e *partEvidence) ranPart(c Crash, p Part) bool {
	x, ok := e.crashes[c]
	if !ok {
		return false
	}
	_, ok = x.parts[p]
	return ok
}

// explains reports whether a part in quarantine has caused the crash.
func (e *partEvidence) explains(now time.Time, c Crash) bool {
	return len(e.crashes) > 0 && e.decide(now).explained[c]
}
