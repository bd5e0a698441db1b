package scheduler

import (
	"slices"
	"strings"
	"time"

	"persimmontrail/pkg/descriptor"
)

// vector is an amount of resources. Whole millicores, megabytes and accelerators keep sums exact.
type vector struct {
	millicores   int64
	memory       int64
	accelerators int64
}

func vectorOf(r descriptor.Resources) vector {
	return vector{millicores: int64(r.Cores*1000 + 0.5), memory: int64(r.Memory), accelerators: int64(r.Accelerators)}
}

func (v vector) plus(o vector) vector {
	return vector{v.millicores + o.millicores, v.memory + o.memory, v.accelerators + o.accelerators}
}

func (v vector) minus(o vector) vector {
	return vector{v.millicores - o.millicores, v.memory - o.memory, v.accelerators - o.accelerators}
}

func (v vector) times(n int) vector {
	return vector{v.millicores * int64(n), v.memory * int64(n), v.accelerators * int64(n)}
}

// minOfEach returns the smaller amount of each resource.
func (v vector) minOfEach(o vector) vector {
	return vector{min(v.millicores, o.millicores), min(v.memory, o.memory), min(v.accelerators, o.accelerators)}
}

func (v vector) negative() bool { return v.millicores < 0 || v.memory < 0 || v.accelerators < 0 }

// count returns how many times r fits in v, up to MaxGang.
func (v vector) count(r vector) int {
	if v.millicores < r.millicores || v.memory < r.memory || v.accelerators < r.accelerators {
		return 0
	}
	n := int64(descriptor.MaxGang)
	if r.accelerators > 0 {
		n = min(n, v.accelerators/r.accelerators)
	}
	if r.millicores > 0 {
		n = min(n, v.millicores/r.millicores)
	}
	if r.memory > 0 {
		n = min(n, v.memory/r.memory)
	}
	return int(n)
}

// node is a unit of the hierarchy: a worker, a rack or a failure domain.
type node struct {
	level    descriptor.Level
	parent   *node
	children []*node
	// worker is set only on nodes of LevelWorker.
	worker *worker
	// region is the region of the failure domain.
	region descriptor.RegionID
	name   string
	// slack is the number of accelerators below the node, on usable workers that are not probed, that are neither taken
	// by protected work nor planned for the residual of a cell of this level or a tighter one. It is at least 0 after
	// ensurePlan.
	slack int
	// cells are the cells planned or bound at this node.
	cells []*cell
	// free is the sum of the free resources of the usable workers below. A resource of which a worker is over its
	// capacity counts as 0 for this worker.
	free vector
	// fit is set by searches: the number of tasks of the current job that fit below the node.
	fit int
}

// ancestor returns the node of level l at or above n, or nil if n is at a looser level.
func (n *node) ancestor(l descriptor.Level) *node {
	for m := n; m != nil; m = m.parent {
		if m.level == l {
			return m
		}
	}
	return nil
}

// reduceSlack subtracts x from the slack of n and of the nodes above it.
func (n *node) reduceSlack(x int) {
	for m := n; m != nil; m = m.parent {
		m.slack -= x
	}
}

// worker is a known worker and the use of its resources.
type worker struct {
	node *node
	descriptor.Worker
	capacity vector
	// up is false from RemoveWorker until the next SetWorker. The description is kept for workerRetention.
	up        bool
	removedAt int64
	// unreachable workers get no new attempts. Their running work continues.
	unreachable bool
	// usable workers are up, reachable, not quarantined and not in a failure domain that is out.
	usable bool
	// used is the sum of the resources of held, running and stopping attempts.
	used vector
	// claimed is the sum of the resources of claims, which wait for victims to stop. Free resources are
	// capacity minus used minus claimed.
	claimed vector
	// releasing is the part of used whose attempts were requested to stop.
	releasing vector
	// protected is the part of used and claimed that may not be reclaimed.
	protected vector
	// protectedAccelerators is the number of accelerators that protected work takes, or blocks by its use of
	// cores and memory.
	protectedAccelerators int
	// unprotected is the number of accelerators that this worker adds to the slack of its nodes: those not
	// counted in protectedAccelerators, or 0 if the worker is not usable or is probing.
	unprotected int
	// free is the amount that this worker adds to node.free of its nodes.
	free vector
	// attempts use resources on the worker, in the order of their starts.
	attempts     []*attempt
	reservations []*reservation
	// blockedUntil is the earliest time of the next placement after a refused start.
	blockedUntil int64
	health       health
	// simulatedGain is set by searches: the resources that would become free on this worker.
	simulatedGain vector
	// searchedBy is the ID of the latest search for victims that included this worker.
	searchedBy int
}

// unallocated returns the resources of w that are neither used nor claimed.
func (w *worker) unallocated() vector { return w.capacity.minus(w.used).minus(w.claimed) }

// blockedAccelerators returns how many accelerators of w are taken or blocked by work that uses v. Work that
// uses more than its share of cores or memory makes other accelerators unusable.
func (w *worker) blockedAccelerators(v vector) int {
	a := w.capacity.accelerators
	if a == 0 {
		return 0
	}
	n := v.accelerators
	n = max(n, proportionalUnits(v.millicores, w.capacity.millicores, a))
	n = max(n, proportionalUnits(v.memory, w.capacity.memory, a))
	return int(n)
}

// proportionalUnits returns part/whole of units, rounded up.
func proportionalUnits(part, whole, units int64) int64 {
	if whole <= 0 || part <= 0 {
		return 0
	}
	return (part*units + whole - 1) / whole
}

// fleet is the hierarchy of the known workers. Its slices are sorted by name, so that iteration is deterministic.
type fleet struct {
	workers map[descriptor.WorkerID]*worker
	domains []*node
	// outDomains are the failure domains that the configuration marks as out.
	outDomains map[string]bool
	// total is the capacity of all usable workers.
	total vector
}

// domainName returns the node name of the failure domain of w. It contains the region, so that equal names in
// different regions are kept apart.
func domainName(w descriptor.Worker) string { return string(w.Region) + "/" + string(w.FailureDomain) }

// childNode returns the child of parent called name. It adds the child to siblings, which are sorted by name, if there
// is none.
func childNode(siblings *[]*node, parent *node, name string, l descriptor.Level) *node {
	at, found := slices.BinarySearchFunc(*siblings, name, func(n *node, s string) int { return strings.Compare(n.name, s) })
	if found {
		return (*siblings)[at]
	}
	n := &node{level: l, parent: parent, name: name}
	*siblings = slices.Insert(*siblings, at, n)
	return n
}

// addWorker adds a worker, which is up, to the hierarchy. It is not usable until the caller calls updateSums.
func (f *fleet) addWorker(d descriptor.Worker) *worker {
	if f.workers == nil {
		f.workers = make(map[descriptor.WorkerID]*worker)
	}
	domain := childNode(&f.domains, nil, domainName(d), descriptor.LevelFailureDomain)
	domain.region = d.Region
	rack := childNode(&domain.children, domain, string(d.Rack), descriptor.LevelRack)
	rack.region = d.Region
	leaf := childNode(&rack.children, rack, string(d.ID), descriptor.LevelWorker)
	leaf.region = d.Region
	w := &worker{node: leaf, Worker: d, up: true}
	leaf.worker = w
	w.capacity = capacityOf(d)
	f.workers[d.ID] = w
	return w
}

func capacityOf(d descriptor.Worker) vector {
	return vectorOf(descriptor.Resources{Cores: d.Cores, Memory: d.Memory, Accelerators: d.Accelerators})
}

// removeWorker removes w, and its rack and failure domain if they become empty, from the hierarchy.
func (f *fleet) removeWorker(w *worker) {
	delete(f.workers, w.ID)
	rack := w.node.parent
	rack.children = without(rack.children, w.node)
	if len(rack.children) > 0 {
		return
	}
	domain := rack.parent
	domain.children = without(domain.children, rack)
	if len(domain.children) == 0 {
		f.domains = without(f.domains, domain)
	}
}

// without removes the first x from list, whose memory it reuses.
func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// isOut reports whether the configuration marks the failure domain of w as out. It compares only names, not regions.
func (f *fleet) isOut(w *worker) bool { return f.outDomains[string(w.FailureDomain)] }

// updateSums updates the usability of w and the sums of the nodes above it. It must be called after any
// change of w.
func (c *Core) updateSums(w *worker) {
	usable := w.up && !w.unreachable && !c.fleet.isOut(w) && !w.health.quarantined
	c.setUsable(w, usable)
	unprotected, free := 0, vector{}
	if usable {
		free = clampToZero(w.unallocated())
	}
	if usable && !w.health.probing {
		unprotected = max(0, int(w.capacity.accelerators)-w.protectedAccelerators)
	}
	if d := unprotected - w.unprotected; d != 0 {
		w.unprotected = unprotected
		w.node.reduceSlack(-d)
		if d > 0 || w.node.slack < 0 || w.node.parent.slack < 0 || w.node.parent.parent.slack < 0 {
			c.planDirty = true
		}
	}
	if d := free.minus(w.free); d != (vector{}) {
		w.free = free
		for n := w.node; n != nil; n = n.parent {
			n.free = n.free.plus(d)
		}
	}
}

// setUsable updates the usable flag of w and the total capacity.
func (c *Core) setUsable(w *worker, usable bool) {
	if usable == w.usable {
		return
	}
	w.usable = usable
	c.planDirty, c.nextFullPlanAt = true, 0
	if usable {
		c.fleet.total = c.fleet.total.plus(w.capacity)
		c.capacityFreed()
		return
	}
	c.fleet.total = c.fleet.total.minus(w.capacity)
}

// clampToZero replaces negative amounts by 0.
func clampToZero(v vector) vector {
	return vector{max(0, v.millicores), max(0, v.memory), max(0, v.accelerators)}
}

// SetWorker adds a worker, or updates it and marks it as up. A worker that has moved to another rack loses its work.
// Workers of other regions are ignored.
func (c *Core) SetWorker(d descriptor.Worker, now time.Time) {
	c.advanceTo(now)
	if c.Region != "" && d.Region != c.Region {
		return
	}
	w := c.fleet.workers[d.ID]
	if w != nil && w.up && w.Worker == d {
		return
	}
	if w != nil && (w.FailureDomain != d.FailureDomain || w.Region != d.Region || w.Rack != d.Rack) {
		c.dropWorker(w, "worker moved to another rack")
		c.expireWorker(w)
		w = nil
	}
	c.fleetVersion++
	if w == nil {
		w = c.fleet.addWorker(d)
		c.restoreHealth(w)
		c.updateSums(w)
		c.capacityFreed()
		return
	}
	if w.usable {
		c.fleet.total = c.fleet.total.minus(w.capacity)
		w.usable = false // so that updateSums adds the new capacity
	}
	w.Worker, w.capacity, w.up = d, capacityOf(d), true
	c.recountProtected(w)
	c.updateSums(w)
	c.capacityFreed()
}

// recountProtected recomputes protectedAccelerators of w after a change of its capacity.
func (c *Core) recountProtected(w *worker) {
	w.protectedAccelerators = 0
	for _, a := range w.attempts {
		if a.protected {
			w.protectedAccelerators += w.blockedAccelerators(a.resourcesOn(w))
		}
	}
	for _, a := range c.claims {
		if v := a.resourcesOn(w); v != (vector{}) && a.protected {
			w.protectedAccelerators += w.blockedAccelerators(v)
		}
	}
}

// RemoveWorker records that a worker is lost and that its tasks have ended. The other members of their gangs are
// requested to stop. A worker that is unknown or already lost is ignored.
func (c *Core) RemoveWorker(id descriptor.WorkerID, now time.Time) {
	c.advanceTo(now)
	w := c.fleet.workers[id]
	if w == nil || !w.up {
		return
	}
	c.dropWorker(w, "worker "+string(id)+" was lost")
}

// dropWorker marks w as down and ends all work on it. The description of w is kept for workerRetention.
func (c *Core) dropWorker(w *worker, reason string) {
	if w.up {
		w.up, w.removedAt = false, c.now
		c.saveHealth(w)
	}
	for _, r := range slices.Clone(w.reservations) {
		c.dropReservation(r)
	}
	for _, a := range slices.Clone(c.claims) {
		if a.resourcesOn(w) != (vector{}) {
			c.dropClaim(a, reason)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		c.loseMembers(a, w, reason)
	}
	c.updateSums(w)
	c.planDirty = true
}

// loseMembers records that the tasks of a on w have ended, and requests the other members to stop.
func (c *Core) loseMembers(a *attempt, w *worker, reason string) {
	if !a.stopRequested {
		c.requestStop(a, 0, reason)
	}
	c.deallocateOn(a, w)
	if a.holdsResources() {
		return
	}
	c.attemptStopped(a, reason, false)
}

// expireWorker removes w from the core after workerRetention or a move to another rack.
func (c *Core) expireWorker(w *worker) {
	for _, l := range slices.Clone(w.node.cells) {
		c.unplan(l)
		l.unbind()
	}
	if rack := w.node.parent; len(rack.children) == 1 {
		c.unplanNode(rack)
		if d := rack.parent; len(d.children) == 1 {
			c.unplanNode(d)
		}
	}
	c.fleet.removeWorker(w)
	c.fleetVersion++
	c.planDirty = true
}

// unplanNode removes all cells from n.
func (c *Core) unplanNode(n *node) {
	for _, l := range slices.Clone(n.cells) {
		c.unplan(l)
		l.unbind()
	}
}

// eachWorker calls visit for every known worker in the order of names until visit returns false.
func (f *fleet) eachWorker(visit func(*worker) bool) {
	for _, d := range f.domains {
		for _, r := range d.children {
			for _, n := range r.children {
				if !visit(n.worker) {
					return
				}
			}
		}
	}
}
