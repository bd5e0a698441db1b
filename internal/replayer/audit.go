package replayer

import (
	"sort"
	"time"

	"persimmontrail/pkg/descriptor"
)

// guaranteeWaitLimit is how long a job may wait for an unused guarantee: 10 s to reclaim the capacity from the jobs that borrow
// it, startDelay (1 s) for the start and one decideInterval (5 s) until the next decision.
const guaranteeWaitLimit = 10*time.Second + startDelay + decideInterval

// guaranteedCopy is one copy of a guaranteed shape. A workspace may be guaranteed several copies of a shape.
type guaranteedCopy struct {
	shape descriptor.Shape
	// free is the number of accelerators of the copy that the running jobs of the workspace do not use.
	free descriptor.Accelerators
	// unit is the adjacency unit of the jobs that use the copy; empty while the copy is unused.
	unit string
}

// auditGuarantees counts guarantee violations independently of the scheduler core. A violation is a job that waits for longer
// than guaranteeWaitLimit although a completely unused copy of one of its workspace's shapes could hold it. No violations
// are counted while the usable workers cannot hold all guarantees (see guaranteesPossible).
func (r *replay) auditGuarantees(g *region) {
	waitingCount := 0
	for _, j := range g.jobs {
		if j.state == jobWaiting {
			waitingCount++
		}
	}
	if waitingCount == 0 {
		return
	}
	possible := r.guaranteesPossible(g)
	for _, w := range r.config.Workspaces {
		r.auditWorkspace(g, w, possible)
	}
}

// auditWorkspace audits the waiting jobs of one workspace. possible is the result of guaranteesPossible; if it is
// false, no job is entitled to a guarantee.
func (r *replay) auditWorkspace(g *region, w descriptor.Workspace, possible bool) {
	var copies []guaranteedCopy
	if possible {
		copies = r.remainingCopies(g, w)
	}
	for _, j := range g.jobs {
		if j.Workspace != w.Name || j.state != jobWaiting {
			continue
		}
		if !r.isEntitled(g, w, j, copies) {
			j.entitledSince = time.Time{}
			continue
		}
		if j.entitledSince.IsZero() {
			j.entitledSince = r.now
		}
		if r.now.Sub(j.entitledSince) > guaranteeWaitLimit && !j.violationReported {
			j.violationReported = true
			r.report.addViolation(r, j)
		}
	}
}

// isEntitled reports whether j fits a completely unused copy and stays within the share of the guarantee that its class may use.
// Jobs that always fail and cancelled jobs are not entitled to a guarantee.
func (r *replay) isEntitled(g *region, w descriptor.Workspace, j *job, copies []guaranteedCopy) bool {
	if j.fails || j.cancelRequested || !r.withinClassShare(g, w, j) {
		return false
	}
	for _, c := range copies {
		if c.free == c.shape.Accelerators && c.fits(&j.Job) {
			return true
		}
	}
	return false
}

// fits reports whether the free part of the copy has the accelerators and the adjacency that j needs.
func (c *guaranteedCopy) fits(j *descriptor.Job) bool {
	return c.free >= j.Accelerators() && c.shape.Adjacency >= j.Adjacency
}

// remainingCopies returns the copies of the workspace's shapes with the accelerators that its running jobs leave free. The jobs
// are packed in descending order of size, each into the smallest copy that holds it and suits its placement (see canUse), so
// that as many copies as possible stay completely unused.
func (r *replay) remainingCopies(g *region, w descriptor.Workspace) []guaranteedCopy {
	copies := copiesOf(guaranteesIn(w, g.name))
	var running []*job
	for _, j := range g.jobs {
		if j.Workspace == w.Name && j.state.holdsResources() {
			running = append(running, j)
		}
	}
	sort.SliceStable(running, func(a, b int) bool { return running[a].Accelerators() > running[b].Accelerators() })
	for _, j := range running {
		r.pack(j, copies)
	}
	return copies
}

// pack allocates the smallest copy that holds j, or else several copies that hold it together, the largest first. The copies
// must be in ascending order of size. A job that does not fit into the copies runs on borrowed capacity and takes nothing from
// them.
func (r *replay) pack(j *job, copies []guaranteedCopy) {
	combined := descriptor.Accelerators(0)
	for i := range copies {
		if !r.canUse(j, &copies[i]) {
			continue
		}
		if copies[i].free >= j.Accelerators() {
			r.allocate(j, &copies[i], j.Accelerators())
			return
		}
		combined += copies[i].free
	}
	needed := j.Accelerators()
	if combined < needed {
		return
	}
	for i := len(copies) - 1; i >= 0; i-- {
		if r.canUse(j, &copies[i]) {
			n := min(needed, copies[i].free)
			r.allocate(j, &copies[i], n)
			needed -= n
		}
	}
}

// canUse reports whether j runs within one adjacency unit of the shape's level. If jobs already use the copy, it must be the
// unit of these jobs.
func (r *replay) canUse(j *job, c *guaranteedCopy) bool {
	unit := adjacencyUnit(r.workersByID[j.placement[0].Worker].Worker, c.shape.Adjacency)
	for _, a := range j.placement[1:] {
		if adjacencyUnit(r.workersByID[a.Worker].Worker, c.shape.Adjacency) != unit {
			return false
		}
	}
	return c.unit == "" || c.unit == unit
}

// allocate marks n free accelerators of the copy as used by j and binds the copy to j's adjacency unit. If n is 0, it changes
// nothing.
func (r *replay) allocate(j *job, c *guaranteedCopy, n descriptor.Accelerators) {
	if n > 0 {
		c.free -= n
		c.unit = adjacencyUnit(r.workersByID[j.placement[0].Worker].Worker, c.shape.Adjacency)
	}
}

// copiesOf returns the copies of all shapes, the smallest first.
func copiesOf(shapes []descriptor.Shape) []guaranteedCopy {
	var copies []guaranteedCopy
	for _, s := range shapes {
		for range s.Copies() {
			copies = append(copies, guaranteedCopy{shape: s, free: s.Accelerators})
		}
	}
	sort.SliceStable(copies, func(a, b int) bool { return copies[a].free < copies[b].free })
	return copies
}

// withinClassShare reports whether j and the running jobs of its workspace and class together stay within the class's share of
// the guarantees that the workspace has in the region.
func (r *replay) withinClassShare(g *region, w descriptor.Workspace, j *job) bool {
	guaranteed := 0.0
	for _, c := range copiesOf(guaranteesIn(w, g.name)) {
		guaranteed += float64(c.free)
	}
	used := float64(j.Accelerators())
	for _, other := range g.jobs {
		if other.Workspace == j.Workspace && other.Class == j.Class && other.state.holdsResources() {
			used += float64(other.Accelerators())
		}
	}
	class := findClass(&r.config, j.Class)
	return class != nil && used <= float64(class.Share)*guaranteed
}

// guaranteesPossible reports whether the usable workers of the region could hold all guarantees if they were empty. Workers are
// usable if they are up, not bad, and in a failure domain that is in service. The largest shapes are placed first and never
// moved, so that the result can be false although another arrangement would hold all guarantees.
func (r *replay) guaranteesPossible(g *region) bool {
	var copies []guaranteedCopy
	for _, w := range r.config.Workspaces {
		copies = append(copies, copiesOf(guaranteesIn(w, g.name))...)
	}
	sort.SliceStable(copies, func(a, b int) bool { return copies[a].free > copies[b].free })
	free := make([]descriptor.Accelerators, len(g.workers))
	for i, m := range g.workers {
		if m.up && !m.bad && !r.removedDomains[m.FailureDomain] {
			free[i] = m.Accelerators
		}
	}
	for _, c := range copies {
		if !placeShape(g.workers, free, c.shape) {
			return false
		}
	}
	return true
}

// fitsEmptyRegion reports whether a job would fit within one adjacency unit of the region if all workers were up and empty.
func (r *replay) fitsEmptyRegion(g *region, j *descriptor.Job) bool {
	tasksByUnit := make(map[string]int)
	for _, m := range g.workers {
		empty := workerState{free: descriptor.Resources{Cores: m.Cores, Memory: m.Memory, Accelerators: m.Accelerators}}
		n := 0
		for n < j.Tasks && empty.fits(j.PerTask, n+1) {
			n++
		}
		u := adjacencyUnit(m.Worker, j.Adjacency)
		if tasksByUnit[u] += n; tasksByUnit[u] >= j.Tasks {
			return true
		}
	}
	return false
}

// placeShape subtracts the accelerators of s from free, which holds the free accelerators of each of the workers. It uses the
// adjacency unit with the fewest free accelerators that suffice, and reports whether there is one.
func placeShape(workers []*workerState, free []descriptor.Accelerators, s descriptor.Shape) bool {
	freeByUnit := make(map[string]descriptor.Accelerators)
	for i, m := range workers {
		freeByUnit[adjacencyUnit(m.Worker, s.Adjacency)] += free[i]
	}
	bestUnit := ""
	for _, m := range workers {
		u := adjacencyUnit(m.Worker, s.Adjacency)
		if freeByUnit[u] >= s.Accelerators && (bestUnit == "" || freeByUnit[u] < freeByUnit[bestUnit]) {
			bestUnit = u
		}
	}
	if bestUnit == "" {
		return false
	}
	needed := s.Accelerators
	for i, m := range workers {
		if adjacencyUnit(m.Worker, s.Adjacency) == bestUnit {
			n := min(needed, free[i])
			free[i] -= n
			needed -= n
		}
	}
	return true
}

// fragmentation returns the region's free accelerators and how many of them the largest guaranteed or waiting shape cannot use.
func (r *replay) fragmentation(g *region) (free, unusable descriptor.Accelerators) {
	largest := r.largestShape(g)
	freeByUnit := make(map[string]descriptor.Accelerators)
	for _, m := range g.workers {
		if m.up && !r.removedDomains[m.FailureDomain] {
			free += m.free.Accelerators
			freeByUnit[adjacencyUnit(m.Worker, largest.Adjacency)] += m.free.Accelerators
		}
	}
	if largest.Accelerators == 0 {
		return free, 0
	}
	usable := descriptor.Accelerators(0)
	for _, n := range freeByUnit {
		usable += n / largest.Accelerators * largest.Accelerators
	}
	return free, free - usable
}

// largestShape returns the largest shape, by accelerators, that is guaranteed in the region or that a job waits for. It is the
// zero shape if there is none.
func (r *replay) largestShape(g *region) descriptor.Shape {
	var largest descriptor.Shape
	for _, w := range r.config.Workspaces {
		for _, s := range guaranteesIn(w, g.name) {
			if s.Accelerators > largest.Accelerators {
				largest = s
			}
		}
	}
	for _, j := range g.jobs {
		if j.state == jobWaiting && j.Accelerators() > largest.Accelerators {
			largest = descriptor.Shape{Accelerators: j.Accelerators(), Adjacency: j.Adjacency}
		}
	}
	return largest
}
