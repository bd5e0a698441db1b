package scheduler

import (
	"cmp"
	"math"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// forever is the assumed end of work that may not be reclaimed.
const forever = math.MaxInt64

// placementRequest is one search for a place.
type placementRequest struct {
	job *job
	// end is when the work is expected to end; it decides whether reserved resources may be used before their reservation.
	end int64
	// available returns the resources that the search may use on a worker.
	available func(w *worker) vector
	// skip reports whether nothing below a rack or failure domain can help; nil for none.
	skip func(n *node) bool
	// limit lowers the number of tasks that may go to a worker or rack; nil for no limit.
	limit func(n *node, fit int) int
}

// freeRequest looks for a place on free resources only.
func (c *Core) freeRequest(j *job, end int64) placementRequest {
	need := j.need
	return placementRequest{
		job: j, end: end,
		available: func(w *worker) vector { return c.unreservedFree(w, j, end) },
		skip: func(n *node) bool {
			return n.free.accelerators < need.accelerators || n.free.millicores < need.millicores || n.free.memory < need.memory
		},
	}
}

// unreservedFree returns the free resources of w that j may use until end.
func (c *Core) unreservedFree(w *worker, j *job, end int64) vector {
	v := w.free
	if len(w.reservations) > 0 {
		v = c.freeBesideReservations(w, j, end, v)
	}
	return v
}

// accepts reports whether w takes new tasks of j at all.
func (c *Core) accepts(w *worker, j *job) bool {
	if !w.usable || w.blockedUntil > c.now {
		return false
	}
	if w.health.probing && (j.Tasks > 1 || j.NonIdempotent || w.health.probe != nil) {
		return false
	}
	return len(j.failures) == 0 || !j.avoids(w, c.now)
}

// allowsRegion reports whether j may run in the region.
func (j *job) allowsRegion(region descriptor.RegionID) bool {
	return j.Region == "" || region == "" || j.Region == region
}

// findPlacement returns the best place for the gang below nodes, in the tightest unit that holds it:
// one worker, else one rack, else one failure domain.
func (c *Core) findPlacement(r placementRequest, nodes []*node) []span {
	loosest := r.job.Adjacency
	if r.job.need.accelerators == 0 {
		loosest = descriptor.LevelFailureDomain
	}
	s := placementSearch{core: c, request: r, loosest: loosest}
	s.scan(nodes)
	switch {
	case s.bestWorker != nil:
		return []span{{worker: s.bestWorker.worker, count: r.job.Tasks}}
	case s.bestRack != nil:
		return numberTasks(s.packRack(nil, s.bestRack, r.job.Tasks))
	case s.bestDomain != nil:
		return numberTasks(s.packDomain(nil, s.bestDomain, r.job.Tasks))
	case r.job.need.accelerators == 0 && s.totalFit >= r.job.Tasks:
		return numberTasks(s.packAnywhere(nodes, r.job.Tasks))
	}
	return nil
}

// placementSearch is the state of one scan. The best unit of each level is the one with the least left over.
type placementSearch struct {
	core            *Core
	request         placementRequest
	loosest         descriptor.Level
	bestWorker      *node
	bestRack        *node
	bestDomain      *node
	bestWorkerScore [3]int64
	totalFit        int
	// done is set when looking further would not give a better place that is worth the time.
	done bool
	// exhaustive searches visit all nodes, so that every fit is set that a parent counts.
	exhaustive bool
}

func (s *placementSearch) scan(nodes []*node) {
	for _, n := range nodes {
		if !s.done {
			s.totalFit += s.visit(n)
		}
	}
}

// visit sets the fit of n and of the nodes below it.
func (s *placementSearch) visit(n *node) int {
	n.fit = 0
	if !s.request.job.allowsRegion(n.region) {
		return 0
	}
	if n.worker != nil {
		s.visitWorker(n)
		return n.fit
	}
	if s.request.skip != nil && s.request.skip(n) {
		return 0
	}
	for _, k := range n.children {
		if s.done {
			return n.fit
		}
		n.fit += s.visit(k)
	}
	if s.request.limit != nil {
		n.fit = s.request.limit(n, n.fit)
	}
	s.done = !s.exhaustive && n.level == descriptor.LevelRack && s.bestWorker != nil && s.perfectFit()
	if n.fit >= s.request.job.Tasks && n.level >= s.loosest {
		s.offerUnit(n)
	}
	return n.fit
}

func (s *placementSearch) visitWorker(n *node) {
	w := n.worker
	if !s.core.accepts(w, s.request.job) {
		return
	}
	v := s.request.available(w)
	n.fit = v.count(s.request.job.need)
	if s.request.limit != nil {
		n.fit = s.request.limit(n, n.fit)
	}
	if w.health.probing {
		n.fit = min(n.fit, 1)
	}
	if n.fit < s.request.job.Tasks {
		return
	}
	score := s.scoreWorker(w, v)
	if s.bestWorker == nil || lessScore(score, s.bestWorkerScore) {
		s.bestWorker, s.bestWorkerScore = n, score
	}
}

// scoreWorker prefers the least accelerators left, then a broken rack, then the least cores left.
// Work without accelerators prefers workers without accelerators.
func (s *placementSearch) scoreWorker(w *worker, v vector) [3]int64 {
	need := s.request.job.need.times(s.request.job.Tasks)
	if w.health.probing {
		return [3]int64{-1}
	}
	if need.accelerators == 0 {
		return [3]int64{w.capacity.accelerators, v.millicores - need.millicores, v.memory - need.memory}
	}
	return [3]int64{v.accelerators - need.accelerators, w.node.parent.free.accelerators, v.millicores - need.millicores}
}

// perfectFit reports whether the best worker leaves no accelerator behind, or has none for work without accelerators.
func (s *placementSearch) perfectFit() bool { return s.bestWorkerScore[0] == 0 }

func lessScore(a, b [3]int64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// offerUnit takes n when it is a better rack or failure domain than the one found so far.
func (s *placementSearch) offerUnit(n *node) {
	best := &s.bestRack
	if n.level == descriptor.LevelFailureDomain {
		best = &s.bestDomain
	}
	if *best == nil || s.leftover(n) < s.leftover(*best) {
		*best = n
	}
}

// leftover is what stays free in n.
func (s *placementSearch) leftover(n *node) int64 {
	if s.request.job.need.accelerators == 0 {
		return int64(n.fit)
	}
	return n.free.accelerators
}

// packRack places tasks on few workers of n: the fullest fits first, and the tightest fit for the rest.
func (s *placementSearch) packRack(out []span, n *node, tasks int) []span {
	for _, k := range chooseNodes(n.children, tasks) {
		take := min(tasks, k.fit)
		out = append(out, span{worker: k.worker, count: take})
		tasks -= take
	}
	return out
}

// packDomain places tasks on few racks of n.
func (s *placementSearch) packDomain(out []span, n *node, tasks int) []span {
	for _, k := range chooseNodes(n.children, tasks) {
		take := min(tasks, k.fit)
		out = s.packRack(out, k, take)
		tasks -= take
	}
	return out
}

// packAnywhere spreads work without accelerators over failure domains.
func (s *placementSearch) packAnywhere(nodes []*node, tasks int) []span {
	var out []span
	for _, k := range chooseNodes(nodes, tasks) {
		take := min(tasks, k.fit)
		if k.level == descriptor.LevelFailureDomain {
			out = s.packDomain(out, k, take)
		} else {
			out = s.packRack(out, k, take)
		}
		tasks -= take
	}
	return out
}

// chooseNodes returns the nodes to use for tasks: the largest fits, then the smallest that holds the rest.
func chooseNodes(list []*node, tasks int) []*node {
	sorted := make([]*node, 0, len(list))
	for _, n := range list {
		if n.fit > 0 {
			sorted = append(sorted, n)
		}
	}
	slices.SortStableFunc(sorted, func(a, b *node) int { return cmp.Compare(b.fit, a.fit) })
	var out []*node
	for i, n := range sorted {
		if n.fit < tasks {
			out = append(out, n)
			tasks -= n.fit
			continue
		}
		last := n
		for _, m := range sorted[i:] {
			if m.fit < tasks {
				break
			}
			if m.fit < last.fit || m.free.accelerators < last.free.accelerators && m.fit == last.fit {
				last = m
			}
		}
		return append(out, last)
	}
	return out
}

// numberTasks gives the tasks of the gang their indexes in the order of spans.
func numberTasks(spans []span) []span {
	next := 0
	for i := range spans {
		spans[i].first = next
		next += spans[i].count
	}
	return spans
}

// firstFit is the placement of PolicyBaseline: the first unit in the order of names that holds the gang.
func (c *Core) firstFit(j *job) []span {
	s := placementSearch{core: c, request: c.freeRequest(j, 0), loosest: j.Adjacency, exhaustive: true}
	s.scan(c.view.domains)
	if j.need.accelerators == 0 && s.totalFit >= j.Tasks {
		return numberTasks(takeInOrder(c.view.domains, j.Tasks))
	}
	if n := firstUnit(c.view.domains, j.Adjacency, j.Tasks); n != nil {
		return numberTasks(takeInOrder([]*node{n}, j.Tasks))
	}
	return nil
}

// firstUnit returns the first node of level l that holds tasks. It does not look below nodes without
// fit, because the search has skipped those and their fits are of an earlier one.
func firstUnit(list []*node, l descriptor.Level, tasks int) *node {
	for _, n := range list {
		if n.fit < tasks {
			continue
		}
		if n.level == l {
			return n
		}
		if m := firstUnit(n.children, l, tasks); m != nil {
			return m
		}
	}
	return nil
}

// unitsBelow returns the nodes of level l at or below n.
func unitsBelow(n *node, l descriptor.Level) []*node {
	if n.level == l {
		return []*node{n}
	}
	var out []*node
	for _, k := range n.children {
		out = append(out, unitsBelow(k, l)...)
	}
	return out
}

func takeInOrder(list []*node, tasks int) []span {
	var out []span
	for _, n := range list {
		if tasks == 0 || n.fit == 0 {
			continue
		}
		take := min(tasks, n.fit)
		tasks -= take
		if n.worker != nil {
			out = append(out, span{worker: n.worker, count: take})
			continue
		}
		out = append(out, takeInOrder(n.children, take)...)
	}
	return out
}
