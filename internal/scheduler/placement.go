package scheduler

import (
	"cmp"
	"math"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// forever is a time that is never reached. As the expected end of work that may not be reclaimed, it keeps a search
// from using resources that are reserved for a later time.
const forever = math.MaxInt64

// placementRequest describes a search for a placement.
type placementRequest struct {
	job *job
	// end is the expected end of the work. It determines whether resources reserved for later may be used
	// until then.
	end int64
	// available returns the resources of a worker that the search may use.
	available func(w *worker) vector
	// skip reports whether the search can ignore the rack or failure domain n. It may be nil.
	skip func(n *node) bool
	// limit caps fit, the number of tasks that fit below n. It may be nil.
	limit func(n *node, fit int) int
}

// freeRequest returns a request for a placement of j until end on free resources, without delaying a reservation.
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

// unreservedFree returns the free resources of w that j may use until end without delaying a reservation.
func (c *Core) unreservedFree(w *worker, j *job, end int64) vector {
	v := w.free
	if len(w.reservations) > 0 {
		v = c.freeBesideReservations(w, j, end, v)
	}
	return v
}

// accepts reports whether w currently accepts tasks of j, regardless of its free resources.
func (c *Core) accepts(w *worker, j *job) bool {
	if !w.usable || w.blockedUntil > c.now {
		return false
	}
	if w.health.probing && (j.Tasks > 1 || j.NonIdempotent || w.health.probe != nil) {
		return false
	}
	return len(j.failures) == 0 || !j.avoids(w, c.now)
}

// allowsRegion reports whether j may run in the region. A job without a region may run in all of them, and a unit
// without a region accepts all jobs.
func (j *job) allowsRegion(region descriptor.RegionID) bool {
	return j.Region == "" || region == "" || j.Region == region
}

// findPlacement returns the best placement of the gang below nodes, or nil. It prefers the tightest unit that
// holds the gang: one worker, then one rack, then one failure domain. Work without accelerators may also spread over
// several failure domains, since its adjacency is ignored.
func (c *Core) findPlacement(r placementRequest, nodes []*node) []span {
	loosestLevel := r.job.Adjacency
	if r.job.need.accelerators == 0 {
		loosestLevel = descriptor.LevelFailureDomain
	}
	s := placementSearch{core: c, request: r, loosestLevel: loosestLevel}
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

// placementSearch is the state of one search. At each level, the best unit is the one with the least capacity
// left over.
type placementSearch struct {
	core            *Core
	request         placementRequest
	loosestLevel    descriptor.Level
	bestWorker      *node
	bestRack        *node
	bestDomain      *node
	bestWorkerScore [3]int64
	totalFit        int
	// stopEarly is set when the best worker found so far is good enough to end the search.
	stopEarly bool
	// exhaustive searches do not stop early, so that the fit of every visited node is complete. They still leave out
	// nodes for which request.skip is true.
	exhaustive bool
}

func (s *placementSearch) scan(nodes []*node) {
	for _, n := range nodes {
		if !s.stopEarly {
			s.totalFit += s.visit(n)
		}
	}
}

// visit computes the fit of n and of the nodes below it, records the best units among them and returns the fit of n.
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
		if s.stopEarly {
			return n.fit
		}
		n.fit += s.visit(k)
	}
	if s.request.limit != nil {
		n.fit = s.request.limit(n, n.fit)
	}
	s.stopEarly = !s.exhaustive && n.level == descriptor.LevelRack && s.bestWorker != nil && s.perfectFit()
	if n.fit >= s.request.job.Tasks && n.level >= s.loosestLevel {
		s.offerUnit(n)
	}
	return n.fit
}

// visitWorker computes the fit of worker node n and records n if it is the best worker so far.
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

// scoreWorker returns the score of w, of which v is available; lower is better. It prefers the fewest accelerators
// left over, then the rack with the fewest free accelerators, then the fewest cores left over. Work without
// accelerators prefers workers with the fewest accelerators, then the fewest cores and the least memory left over. A
// worker that is being probed comes first.
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

// perfectFit reports whether the best worker will have no accelerators left over or, for work without accelerators,
// has none at all.
func (s *placementSearch) perfectFit() bool { return s.bestWorkerScore[0] == 0 }

func lessScore(a, b [3]int64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// offerUnit records n if it is a better rack or failure domain than the best one found so far.
func (s *placementSearch) offerUnit(n *node) {
	best := &s.bestRack
	if n.level == descriptor.LevelFailureDomain {
		best = &s.bestDomain
	}
	if *best == nil || s.leftover(n) < s.leftover(*best) {
		*best = n
	}
}

// leftover returns the free capacity of n by which units are compared: accelerators or, for work without
// accelerators, the number of tasks that fit.
func (s *placementSearch) leftover(n *node) int64 {
	if s.request.job.need.accelerators == 0 {
		return int64(n.fit)
	}
	return n.free.accelerators
}

// packRack places tasks on as few workers of n as possible; see chooseNodes.
func (s *placementSearch) packRack(out []span, n *node, tasks int) []span {
	for _, k := range chooseNodes(n.children, tasks) {
		take := min(tasks, k.fit)
		out = append(out, span{worker: k.worker, count: take})
		tasks -= take
	}
	return out
}

// packDomain places tasks on as few racks of n as possible; see chooseNodes.
func (s *placementSearch) packDomain(out []span, n *node, tasks int) []span {
	for _, k := range chooseNodes(n.children, tasks) {
		take := min(tasks, k.fit)
		out = s.packRack(out, k, take)
		tasks -= take
	}
	return out
}

// packAnywhere places work without accelerators on nodes, which may be in several failure domains.
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

// chooseNodes returns the nodes to use for tasks: those with the largest fit first, and for the rest the node
// with the smallest sufficient fit.
func chooseNodes(nodes []*node, tasks int) []*node {
	sorted := make([]*node, 0, len(nodes))
	for _, n := range nodes {
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
		tightest := n
		for _, m := range sorted[i:] {
			if m.fit < tasks {
				break
			}
			if m.fit < tightest.fit || m.free.accelerators < tightest.free.accelerators && m.fit == tightest.fit {
				tightest = m
			}
		}
		return append(out, tightest)
	}
	return out
}

// numberTasks assigns consecutive task indexes to the spans.
func numberTasks(spans []span) []span {
	next := 0
	for i := range spans {
		spans[i].first = next
		next += spans[i].count
	}
	return spans
}

// firstFit returns the placement for PolicyBaseline, or nil: the first unit by name that holds the gang or, for work
// without accelerators, the first workers by name.
func (c *Core) firstFit(j *job) []span {
	s := placementSearch{core: c, request: c.freeRequest(j, 0), loosestLevel: j.Adjacency, exhaustive: true}
	s.scan(c.fleet.domains)
	if j.need.accelerators == 0 && s.totalFit >= j.Tasks {
		return numberTasks(takeInOrder(c.fleet.domains, j.Tasks))
	}
	if n := firstUnit(c.fleet.domains, j.Adjacency, j.Tasks); n != nil {
		return numberTasks(takeInOrder([]*node{n}, j.Tasks))
	}
	return nil
}

// firstUnit returns the first node of level l that holds the given number of tasks, or nil. It does not descend into
// nodes that hold fewer: the search may have skipped them, so that the fits below them are stale.
func firstUnit(nodes []*node, l descriptor.Level, tasks int) *node {
	for _, n := range nodes {
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

// unitsBelow returns the nodes of level l at or below n, in the order of names. There are none if n is tighter than l.
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

// takeInOrder places tasks on the workers below nodes in the order of names.
func takeInOrder(nodes []*node, tasks int) []span {
	var out []span
	for _, n := range nodes {
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
