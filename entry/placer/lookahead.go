package placer

import (
	"cmp"
	"slices"
)

// lookaheadDepth is the number of jobs of equal rank among which the one with the
// largest tasks is placed first. In the replay in docs/design/lookahead-placement.md, 6
// cost jobs of small tasks less than 12 or no limit.
const lookaheadDepth = 6

// placementOrder returns the indexes of the waiting jobs in the order in which they are
// placed. It addresses a queue of tasks of different sizes at workers that are always
// full: small tasks fit into every gap, and so take those that a larger task behind them
// would fill. Among the first lookaheadDepth jobs of each rank, those with larger tasks
// come first. The order of ranks stays, so that work of a higher priority that fits is
// not placed after other work.
func (s *State) placementOrder() []int {
	order := make([]int, len(s.waiting))
	for i := range order {
		order[i] = i
	}
	if s.WithoutLookahead {
		return order
	}
	for from := 0; from < len(order); {
		to := from + 1
		for to < len(order) && sameRank(s.waiting[from], s.waiting[to]) {
			to++
		}
		slices.SortStableFunc(order[from:min(to, from+lookaheadDepth)], func(a, b int) int {
			return cmp.Compare(s.waiting[b].Resources.CPU, s.waiting[a].Resources.CPU)
		})
		from = to
	}
	return order
}

// sameRank reports whether only the latest start decides which of two jobs comes first.
func sameRank(a, b *job) bool { return a.started == b.started && a.Priority == b.Priority }
