package emulate

import "slices"

// Sum merges the counts of several processes.
func Sum(parts ...Summary) Summary {
	total := Summary{Violations: []string{}, Runs: []RequestRun{}}
	merged := make(map[string]*RequestRun)
	calls := make(map[CallKey]int)
	for _, p := range parts {
		total.LayerRuns += p.LayerRuns
		for _, rr := range p.Runs {
			mergeRequestRun(merged, rr)
		}
		for _, c := range p.Calls {
			calls[CallKey{Service: c.Service, IdempotencyKey: c.Key}] += c.Ran
		}
	}
	for _, p := range parts {
		for _, v := range p.Violations {
			if !slices.Contains(total.Violations, v) {
				total.Violations = append(total.Violations, v)
			}
		}
	}
	for _, rr := range merged {
		total.Violations = append(total.Violations, rr.repeatedRuns()...)
		total.Runs = append(total.Runs, *rr)
	}
	for k, n := range calls {
		total.Calls = append(total.Calls, CallCount{Service: k.Service, Key: k.IdempotencyKey, Ran: n})
	}
	total.Requests = len(merged)
	return total
}

// mergeRequestRun adds the run of a request in one process to the merged runs.
func mergeRequestRun(merged map[string]*RequestRun, rr RequestRun) {
	have, ok := merged[rr.Request]
	if !ok {
		c := rr.clone()
		merged[rr.Request] = &c
		return
	}
	have.Rebuilt += rr.Rebuilt
	have.Imported += rr.Imported
	for _, run := range rr.Runs {
		i := slices.IndexFunc(have.Runs, func(l LayerRun) bool { return l.Layers == run.Layers })
		if i < 0 {
			have.Runs = append(have.Runs, LayerRun{Layers: run.Layers, Spans: slices.Clone(run.Spans)})
			continue
		}
		have.Runs[i].Spans = append(have.Runs[i].Spans, run.Spans...)
	}
}

// RanExactlyOnce reports whether each of the request's tokens passed every layer exactly once.
func (s Summary) RanExactlyOnce(request string, layers, tokens int) bool {
	i := slices.IndexFunc(s.Runs, func(rr RequestRun) bool { return rr.Request == request })
	if i < 0 || len(s.Runs[i].repeatedRuns()) > 0 {
		return false
	}
	total := 0
	for _, run := range s.Runs[i].Runs {
		for _, sp := range run.Spans {
			total += run.Layers.Len() * (sp.To - sp.From)
		}
	}
	return total == layers*tokens
}
