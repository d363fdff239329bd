package layers

import "github.com/balsamlb/balsamlb/routing"

// loadBudget shares the concurrent loads that the weight store serves at full speed among the data centres.
type loadBudget struct {
	total, share int
	all          int
	byCentre     map[string]int
}

func newLoadBudget(e *routing.Engine, groups map[string][]Server) *loadBudget {
	b := &loadBudget{total: max(1, e.LoadsAtOnce), byCentre: make(map[string]int)}
	b.share = max(1, b.total/max(1, len(groups)))
	for name, group := range groups {
		for i := range group {
			if group[i].IsLoading {
				b.add(name, 1)
			}
		}
	}
	return b
}

// left returns how many further servers of the data centre may load layers.
func (b *loadBudget) left(name string) int {
	return max(0, min(b.total-b.all, b.share-b.byCentre[name]))
}

// add records the load of a server, unless it loads no layers.
func (b *loadBudget) add(name string, layers int) {
	if layers > 0 {
		b.all++
		b.byCentre[name]++
	}
}
