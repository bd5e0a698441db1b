package scheduler

import (
	"cmp"
	"math"
	"slices"

	"persimmontrail/pkg/descriptor"
)

// forever is the assumed end of work that may not be reclaimed.
const forever = math.MaxInt64

// request is one search for a place.
type request struct {
	job *job
	// end is when the work is expected to end; it decides whether reserved resources may be used before their reservation.
	end int64
	// spare returns the resources that the search may use on a worker.
	spare func(w *worker) vector
	// skip reports whether nothing below a rack or failure domain can help; nil for none.
	skip func(n *node) bool
	// limit lowers the number of tasks that may go to a worker or rack; nil for no limit.
	limit func(n *node, fit int) int
}

// free looks for a place on free resources only.
func (c *Core) free(j *job, end int64) request {
	need := j.need
	return request{
		job: j, end: end,
		spare: func(w *worker) vector { return c.unreserved(w, j, end) },
		skip: func(n *node) bool {
			return n.free.accelerators < need.accelerators || n.free.millicores < need.millicores || n.free.memory < need.memory
		},
	}
}

// unreserved returns the free resources of w that j may use until end.
func (c *Core) unreserved(w *worker, j *job, end int64) vector {
	v := w.free
	if len(w.reservations) > 0 {
		v = c.besideReservations(w, j, end, v)
	}
	return v
}

// admits reports whether w takes new tasks of j at all.
func (c *Core) admits(w *worker, j *job) bool {
	if !w.usable || w.blockedUntil > c.now {
		return false
	}
	if w.health.probing && (j.Tasks > 1 || j.NonIdempotent || w.health.probe != nil) {
		return false
	}
	return len(j.failures) == 0 || !j.avoids(w, c.now)
}

// allows reports whether j may run in the region.
func (j *job) allows(region descriptor.RegionID) bool {
	return j.Region == "" || region == "" || j.Region == region
}

// find returns the best place for the gang below nodes, in the tightest unit that holds it:
// one worker, else one rack, else one failure domain.
func (c *Core) find(r request, nodes []*node) []span {
	loosest := r.job.Adjacency
	if r.job.need.accelerators == 0 {
		loosest = descriptor.LevelFailureDomain
	}
	s := search{core: c, request: r, loosest: loosest}
	s.scan(nodes)
	switch {
	case s.worker != nil:
		return []span{{worker: s.worker.worker, count: r.job.Tasks}}
	case s.rack != nil:
		return number(s.packRack(nil, s.rack, r.job.Tasks))
	case s.domain != nil:
		return number(s.packDomain(nil, s.domain, r.job.Tasks))
	case r.job.need.accelerators == 0 && s.total >= r.job.Tasks:
		return number(s.packAnywhere(nodes, r.job.Tasks))
	}
	return nil
}

// search is the state of one scan. The best unit of each level is the one with the least left over.
type search struct {
	core    *Core
	request request
	loosest descriptor.Level
	worker  *node
	rack    *node
	domain  *node
	score   [3]int64
	total   int
	// enough is set when looking further would not give a better place that is worth the time.
	enough bool
	// exhaustive searches visit all nodes, so that every fit is set that a parent counts.
	exhaustive bool
}

func (s *search) scan(nodes []*node) {
	for _, n := range nodes {
		if !s.enough {
			s.total += s.visit(n)
		}
	}
}

// visit sets the fit of n and of the nodes below it.
func (s *search) visit(n *node) int {
	n.fit = 0
	if !s.request.job.allows(n.region) {
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
		if s.enough {
			return n.fit
		}
		n.fit += s.visit(k)
	}
	if s.request.limit != nil {
		n.fit = s.request.limit(n, n.fit)
	}
	s.enough = !s.exhaustive && n.level == descriptor.LevelRack && s.worker != nil && s.perfect()
	if n.fit >= s.request.job.Tasks && n.level >= s.loosest {
		s.offer(n)
	}
	return n.fit
}

func (s *search) visitWorker(n *node) {
	w := n.worker
	if !s.core.admits(w, s.request.job) {
		return
	}
	v := s.request.spare(w)
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
	if s.worker == nil || less(score, s.score) {
		s.worker, s.score = n, score
	}
}

// scoreWorker prefers the least accelerators left, then a broken rack, then the least cores left.
// Work without accelerators prefers workers without accelerators.
func (s *search) scoreWorker(w *worker, v vector) [3]int64 {
	need := s.request.job.need.times(s.request.job.Tasks)
	if w.health.probing {
		return [3]int64{-1}
	}
	if need.accelerators == 0 {
		return [3]int64{w.capacity.accelerators, v.millicores - need.millicores, v.memory - need.memory}
	}
	return [3]int64{v.accelerators - need.accelerators, w.node.parent.free.accelerators, v.millicores - need.millicores}
}

// perfect reports whether the best worker leaves no accelerator behind, or has none for work without accelerators.
func (s *search) perfect() bool { return s.score[0] == 0 }

func less(a, b [3]int64) bool {
	for i := range a {
		if a[i] != b[i] {
			return a[i] < b[i]
		}
	}
	return false
}

// offer takes n when it is a better rack or failure domain than the one found so far.
func (s *search) offer(n *node) {
	best := &s.rack
	if n.level == descriptor.LevelFailureDomain {
		best = &s.domain
	}
	if *best == nil || s.left(n) < s.left(*best) {
		*best = n
	}
}

// left is what stays free in n.
func (s *search) left(n *node) int64 {
	if s.request.job.need.accelerators == 0 {
		return int64(n.fit)
	}
	return n.free.accelerators
}

// packRack places tasks on few workers of n: the fullest fits first, and the tightest fit for the rest.
func (s *search) packRack(out []span, n *node, tasks int) []span {
	for _, k := range choose(n.children, tasks) {
		take := min(tasks, k.fit)
		out = append(out, span{worker: k.worker, count: take})
		tasks -= take
	}
	return out
}

// packDomain places tasks on few racks of n.
func (s *search) packDomain(out []span, n *node, tasks int) []span {
	for _, k := range choose(n.children, tasks) {
		take := min(tasks, k.fit)
		out = s.packRack(out, k, take)
		tasks -= take
	}
	return out
}

// packAnywhere spreads work without accelerators over failure domains.
func (s *search) packAnywhere(nodes []*node, tasks int) []span {
	var out []span
	for _, k := range choose(nodes, tasks) {
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

// choose returns the nodes to use for tasks: the largest fits, then the smallest that holds the rest.
func choose(list []*node, tasks int) []*node {
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

// number gives the tasks of the gang their indexes in the order of spans.
func number(spans []span) []span {
	next := 0
	for i := range spans {
		spans[i].first = next
		next += spans[i].count
	}
	return spans
}

// firstFit is the placement of PolicyBaseline: the first unit in the order of names that holds the gang.
func (c *Core) firstFit(j *job) []span {
	s := search{core: c, request: c.free(j, 0), loosest: j.Adjacency, exhaustive: true}
	s.scan(c.view.domains)
	if j.need.accelerators == 0 && s.total >= j.Tasks {
		return number(takeInOrder(c.view.domains, j.Tasks))
	}
	if n := firstUnit(c.view.domains, j.Adjacency, j.Tasks); n != nil {
		return number(takeInOrder([]*node{n}, j.Tasks))
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
