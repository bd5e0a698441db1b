package scheduler

import (
	"slices"
	"strings"
	"time"

	"persimmontrail/pkg/descriptor"
)

// vector counts resources in whole units, so that sums are exact.
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

func (v vector) lower(o vector) vector {
	return vector{min(v.millicores, o.millicores), min(v.memory, o.memory), min(v.accelerators, o.accelerators)}
}

func (v vector) negative() bool { return v.millicores < 0 || v.memory < 0 || v.accelerators < 0 }

// count returns how many times r fits in v, at most MaxGang.
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
	// worker is set on nodes of LevelWorker.
	worker *worker
	// region is that of the failure domain.
	region descriptor.RegionID
	name   string
	// slack is the number of accelerators below this node that are neither used by firm work
	// nor promised to a planned cell of this level or a tighter one. It is at least 0 after ensurePlan.
	slack int
	// cells are planned here or bound here.
	cells []*cell
	// free sums the free resources of usable workers below; a worker that is over its capacity counts as 0.
	free vector
	// fit is scratch: how many tasks of the job being placed fit below.
	fit int
}

// ancestor returns the node of level l at or above n, or nil when n is looser than l.
func (n *node) ancestor(l descriptor.Level) *node {
	for m := n; m != nil; m = m.parent {
		if m.level == l {
			return m
		}
	}
	return nil
}

// spend lowers the slack of n and of the nodes above it.
func (n *node) spend(x int) {
	for m := n; m != nil; m = m.parent {
		m.slack -= x
	}
}

// worker is the view of one machine.
type worker struct {
	node *node
	descriptor.Worker
	capacity vector
	// up is false from RemoveWorker until SetWorker. The description is kept for fleetMemory.
	up     bool
	goneAt int64
	// usable workers are up, outside of removed failure domains and not in quarantine.
	usable bool
	// used is what held, running and leaving attempts take.
	used vector
	// claimed is promised to attempts that wait for victims to stop. Free is capacity minus used minus claimed.
	claimed vector
	// leaving is the part of used whose attempts were asked to stop.
	leaving vector
	// firm is the part of used and claimed that may not be reclaimed.
	firm vector
	// firmCells is the number of accelerators that firm work takes or blocks by its cores and memory.
	firmCells int
	// room and free are what the node's slack and free include for this worker.
	room int
	free vector
	// attempts take resources here, in the order of their starts.
	attempts     []*attempt
	reservations []*reservation
	// blockedUntil delays the next placement after a refused start.
	blockedUntil int64
	health       health
	// gain is scratch: what the victims of a search would free here.
	gain vector
	// searched is the mark of the latest search for victims that includes this worker.
	searched int
}

func (w *worker) currentFree() vector { return w.capacity.minus(w.used).minus(w.claimed) }

// cells returns how many accelerators of w are blocked by work that takes v.
// Work with more than its share of cores or memory makes accelerators useless for others.
func (w *worker) cells(v vector) int {
	a := w.capacity.accelerators
	if a == 0 {
		return 0
	}
	n := v.accelerators
	n = max(n, ceilShare(v.millicores, w.capacity.millicores, a))
	n = max(n, ceilShare(v.memory, w.capacity.memory, a))
	return int(n)
}

func ceilShare(part, whole, cells int64) int64 {
	if whole <= 0 || part <= 0 {
		return 0
	}
	return (part*cells + whole - 1) / whole
}

// view holds the hierarchy. Slices are sorted by name, so that iteration is deterministic.
type view struct {
	workers map[descriptor.WorkerID]*worker
	domains []*node
	// outs are the failure domains that the configuration removes.
	outs map[string]bool
	// total and totalFree cover usable workers.
	total vector
}

func domainName(w descriptor.Worker) string { return string(w.Region) + "/" + string(w.FailureDomain) }

// child returns the child with the name, and adds it when there is none.
func child(list *[]*node, parent *node, name string, l descriptor.Level) *node {
	at, found := slices.BinarySearchFunc(*list, name, func(n *node, s string) int { return strings.Compare(n.name, s) })
	if found {
		return (*list)[at]
	}
	n := &node{level: l, parent: parent, name: name}
	*list = slices.Insert(*list, at, n)
	return n
}

// add puts a new worker into the hierarchy.
func (v *view) add(d descriptor.Worker) *worker {
	if v.workers == nil {
		v.workers = make(map[descriptor.WorkerID]*worker)
	}
	domain := child(&v.domains, nil, domainName(d), descriptor.LevelFailureDomain)
	domain.region = d.Region
	rack := child(&domain.children, domain, string(d.Rack), descriptor.LevelRack)
	rack.region = d.Region
	leaf := child(&rack.children, rack, string(d.ID), descriptor.LevelWorker)
	leaf.region = d.Region
	w := &worker{node: leaf, Worker: d, up: true}
	leaf.worker = w
	w.capacity = capacityOf(d)
	v.workers[d.ID] = w
	return w
}

func capacityOf(d descriptor.Worker) vector {
	return vectorOf(descriptor.Resources{Cores: d.Cores, Memory: d.Memory, Accelerators: d.Accelerators})
}

// forget removes a worker that takes no part any more from the hierarchy.
func (v *view) forget(w *worker) {
	delete(v.workers, w.ID)
	rack := w.node.parent
	rack.children = without(rack.children, w.node)
	if len(rack.children) > 0 {
		return
	}
	domain := rack.parent
	domain.children = without(domain.children, rack)
	if len(domain.children) == 0 {
		v.domains = without(v.domains, domain)
	}
}

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// isOut reports whether operators took the failure domain of w out.
func (v *view) isOut(w *worker) bool { return v.outs[string(w.FailureDomain)] }

// refresh brings the sums above w up to date after any change of w.
func (c *Core) refresh(w *worker) {
	usable := w.up && !c.view.isOut(w) && !w.health.quarantined
	c.countUsable(w, usable)
	room, free := 0, vector{}
	if usable {
		free = positive(w.currentFree())
	}
	if usable && !w.health.probing {
		room = max(0, int(w.capacity.accelerators)-w.firmCells)
	}
	if d := room - w.room; d != 0 {
		w.room = room
		w.node.spend(-d)
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

func (c *Core) countUsable(w *worker, usable bool) {
	if usable == w.usable {
		return
	}
	w.usable = usable
	c.planDirty, c.planMostAt = true, 0
	if usable {
		c.view.total = c.view.total.plus(w.capacity)
		c.capacityFreed()
		return
	}
	c.view.total = c.view.total.minus(w.capacity)
}

func positive(v vector) vector {
	return vector{max(0, v.millicores), max(0, v.memory), max(0, v.accelerators)}
}

// SetWorker says that a worker is up or has changed.
func (c *Core) SetWorker(d descriptor.Worker, now time.Time) {
	c.begin(now)
	if c.Region != "" && d.Region != c.Region {
		return
	}
	w := c.view.workers[d.ID]
	if w != nil && w.up && w.Worker == d {
		return
	}
	if w != nil && (w.FailureDomain != d.FailureDomain || w.Region != d.Region || w.Rack != d.Rack) {
		c.dropWorker(w, "worker moved to another rack")
		c.expire(w)
		w = nil
	}
	c.fleetVersion++
	if w == nil {
		w = c.view.add(d)
		c.restoreHealth(w)
		c.refresh(w)
		c.capacityFreed()
		return
	}
	if w.usable {
		c.view.total = c.view.total.minus(w.capacity)
		w.usable = false
	}
	w.Worker, w.capacity, w.up = d, capacityOf(d), true
	c.refirm(w)
	c.refresh(w)
	c.capacityFreed()
}

// refirm recomputes firmCells after a change of the capacity of w.
func (c *Core) refirm(w *worker) {
	w.firmCells = 0
	for _, a := range w.attempts {
		if a.firm {
			w.firmCells += w.cells(a.on(w))
		}
	}
	for _, a := range c.claims {
		if v := a.on(w); v != (vector{}) && a.firm {
			w.firmCells += w.cells(v)
		}
	}
}

// RemoveWorker says that a worker is gone and that its tasks have ended.
func (c *Core) RemoveWorker(id descriptor.WorkerID, now time.Time) {
	c.begin(now)
	w := c.view.workers[id]
	if w == nil || !w.up {
		return
	}
	c.dropWorker(w, "worker "+string(id)+" was lost")
}

// dropWorker ends everything on w and keeps its description for fleetMemory.
func (c *Core) dropWorker(w *worker, reason string) {
	if w.up {
		w.up, w.goneAt = false, c.now
		c.saveHealth(w)
	}
	for _, r := range slices.Clone(w.reservations) {
		c.dropReservation(r)
	}
	for _, a := range slices.Clone(c.claims) {
		if a.on(w) != (vector{}) {
			c.dropClaim(a, reason)
		}
	}
	for _, a := range slices.Clone(w.attempts) {
		c.loseMember(a, w, reason)
	}
	c.refresh(w)
	c.planDirty = true
}

// loseMember handles the end of the tasks of a on w.
func (c *Core) loseMember(a *attempt, w *worker, reason string) {
	if !a.leaving {
		c.leave(a, 0, reason)
	}
	c.detach(a, w)
	if a.attached() {
		return
	}
	c.stopped(a, reason, false)
}

// expire forgets a worker that was gone for fleetMemory.
func (c *Core) expire(w *worker) {
	for _, l := range slices.Clone(w.node.cells) {
		c.unplan(l)
		l.unbind()
	}
	if rack := w.node.parent; len(rack.children) == 1 {
		c.releaseNode(rack)
		if d := rack.parent; len(d.children) == 1 {
			c.releaseNode(d)
		}
	}
	c.view.forget(w)
	c.fleetVersion++
	c.planDirty = true
}

func (c *Core) releaseNode(n *node) {
	for _, l := range slices.Clone(n.cells) {
		c.unplan(l)
		l.unbind()
	}
}

// eachWorker calls f for every known worker in the order of names until f returns false.
func (v *view) eachWorker(f func(*worker) bool) {
	for _, d := range v.domains {
		for _, r := range d.children {
			for _, n := range r.children {
				if !f(n.worker) {
					return
				}
			}
		}
	}
}
