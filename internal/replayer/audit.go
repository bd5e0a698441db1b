package replayer

import (
	"sort"
	"time"

	"persimmontrail/pkg/descriptor"
)

// guaranteeBound is how long a job may wait for an unused guarantee: 10 s for the reclaim, 1 s for the start, and a decision interval for the moment of the next decision.
const guaranteeBound = 10*time.Second + startDelay + decideInterval

// guaranteedCopy is one copy of a guaranteed shape and what is left of it.
type guaranteedCopy struct {
	shape descriptor.Shape
	free  descriptor.Accelerators
	// unit is where the jobs that use it run; empty while it is unused.
	unit string
}

// auditGuarantees counts violations of guarantees without asking the core: a job that waits for longer than guaranteeBound
// although a whole copy of one of its workspace's shapes is unused and would hold it. While the workers that are up cannot
// hold all guarantees, nothing counts.
func (r *replay) auditGuarantees(g *region) {
	waiting := 0
	for _, j := range g.jobs {
		if j.state == jobWaiting {
			waiting++
		}
	}
	if waiting == 0 {
		return
	}
	possible := r.guaranteesPossible(g)
	for _, w := range r.config.Workspaces {
		r.auditWorkspace(g, w, possible)
	}
}

func (r *replay) auditWorkspace(g *region, w descriptor.Workspace, possible bool) {
	var copies []guaranteedCopy
	if possible {
		copies = r.unusedCopies(g, w)
	}
	for _, j := range g.jobs {
		if j.Workspace != w.Name || j.state != jobWaiting {
			continue
		}
		if !r.entitled(g, w, j, copies) {
			j.entitledSince = time.Time{}
			continue
		}
		if j.entitledSince.IsZero() {
			j.entitledSince = r.now
		}
		if r.now.Sub(j.entitledSince) > guaranteeBound && !j.violated {
			j.violated = true
			r.report.violation(r, j)
		}
	}
}

// entitled reports whether j fits a copy that is wholly unused, and its class's share of the guarantee.
func (r *replay) entitled(g *region, w descriptor.Workspace, j *job, copies []guaranteedCopy) bool {
	if j.fails || j.cancelled || !r.withinShare(g, w, j) {
		return false
	}
	for _, c := range copies {
		if c.free == c.shape.Accelerators && c.holds(&j.Job) {
			return true
		}
	}
	return false
}

func (c *guaranteedCopy) holds(j *descriptor.Job) bool {
	return c.free >= j.Accelerators() && c.shape.Adjacency >= j.Adjacency
}

// unusedCopies packs the workspace's running jobs into its copies by where they run, the largest job first and each into the smallest copy that holds it, so that as many copies as possible stay whole.
func (r *replay) unusedCopies(g *region, w descriptor.Workspace) []guaranteedCopy {
	copies := copiesOf(guaranteesIn(w, g.name))
	var running []*job
	for _, j := range g.jobs {
		if j.Workspace == w.Name && j.state.occupies() {
			running = append(running, j)
		}
	}
	sort.SliceStable(running, func(a, b int) bool { return running[a].Accelerators() > running[b].Accelerators() })
	for _, j := range running {
		r.pack(j, copies)
	}
	return copies
}

// pack takes j from the smallest copy that holds it, or else from several copies that hold it together. A job that the copies do not hold runs on borrowed capacity and takes nothing.
func (r *replay) pack(j *job, copies []guaranteedCopy) {
	together := descriptor.Accelerators(0)
	for i := range copies {
		if !r.mayUse(j, &copies[i]) {
			continue
		}
		if copies[i].free >= j.Accelerators() {
			r.use(j, &copies[i], j.Accelerators())
			return
		}
		together += copies[i].free
	}
	left := j.Accelerators()
	if together < left {
		return
	}
	for i := len(copies) - 1; i >= 0; i-- {
		if r.mayUse(j, &copies[i]) {
			n := min(left, copies[i].free)
			r.use(j, &copies[i], n)
			left -= n
		}
	}
}

// mayUse reports whether j lies within one unit of the copy's level, which is that of the jobs that use the copy already.
func (r *replay) mayUse(j *job, c *guaranteedCopy) bool {
	first := unitOf(r.workers[j.placement[0].Worker].Worker, c.shape.Adjacency)
	for _, a := range j.placement[1:] {
		if unitOf(r.workers[a.Worker].Worker, c.shape.Adjacency) != first {
			return false
		}
	}
	return c.unit == "" || c.unit == first
}

func (r *replay) use(j *job, c *guaranteedCopy, n descriptor.Accelerators) {
	if n > 0 {
		c.free -= n
		c.unit = unitOf(r.workers[j.placement[0].Worker].Worker, c.shape.Adjacency)
	}
}

// copiesOf lists the copies of all shapes, the smallest first.
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

// withinShare reports whether j's class may claim that much of the workspace's guarantee.
func (r *replay) withinShare(g *region, w descriptor.Workspace, j *job) bool {
	total := 0.0
	for _, c := range copiesOf(guaranteesIn(w, g.name)) {
		total += float64(c.free)
	}
	used := float64(j.Accelerators())
	for _, other := range g.jobs {
		if other.Workspace == j.Workspace && other.Class == j.Class && other.state.occupies() {
			used += float64(other.Accelerators())
		}
	}
	class := classOf(&r.config, j.Class)
	return class != nil && used <= float64(class.Share)*total
}

// guaranteesPossible reports whether all guarantees of the region fit on the empty workers that are up, in a failure domain that is in, and not bad.
func (r *replay) guaranteesPossible(g *region) bool {
	var copies []guaranteedCopy
	for _, w := range r.config.Workspaces {
		copies = append(copies, copiesOf(guaranteesIn(w, g.name))...)
	}
	sort.SliceStable(copies, func(a, b int) bool { return copies[a].free > copies[b].free })
	free := make([]descriptor.Accelerators, len(g.machines))
	for i, m := range g.machines {
		if m.up && !m.bad && !r.out[m.FailureDomain] {
			free[i] = m.Accelerators
		}
	}
	for _, c := range copies {
		if !placeShape(g.machines, free, c.shape) {
			return false
		}
	}
	return true
}

// fitsEmptyFleet reports whether a job fits on the region's workers when all are up and empty.
func (r *replay) fitsEmptyFleet(g *region, j *descriptor.Job) bool {
	room := make(map[string]int)
	for _, m := range g.machines {
		empty := machine{free: descriptor.Resources{Cores: m.Cores, Memory: m.Memory, Accelerators: m.Accelerators}}
		n := 0
		for n < j.Tasks && empty.fits(j.PerTask, n+1) {
			n++
		}
		u := unitOf(m.Worker, j.Adjacency)
		if room[u] += n; room[u] >= j.Tasks {
			return true
		}
	}
	return false
}

// placeShape takes the accelerators of a shape from the unit that has the least room for it.
func placeShape(machines []*machine, free []descriptor.Accelerators, s descriptor.Shape) bool {
	room := make(map[string]descriptor.Accelerators)
	for i, m := range machines {
		room[unitOf(m.Worker, s.Adjacency)] += free[i]
	}
	best := ""
	for _, m := range machines {
		u := unitOf(m.Worker, s.Adjacency)
		if room[u] >= s.Accelerators && (best == "" || room[u] < room[best]) {
			best = u
		}
	}
	if best == "" {
		return false
	}
	left := s.Accelerators
	for i, m := range machines {
		if unitOf(m.Worker, s.Adjacency) == best {
			n := min(left, free[i])
			free[i] -= n
			left -= n
		}
	}
	return true
}

// fragmentation is the share of the region's free accelerators that the largest guaranteed or waiting shape cannot use.
func (r *replay) fragmentation(g *region) (free, unusable descriptor.Accelerators) {
	largest := r.largestShape(g)
	room := make(map[string]descriptor.Accelerators)
	for _, m := range g.machines {
		if m.up && !r.out[m.FailureDomain] {
			free += m.free.Accelerators
			room[unitOf(m.Worker, largest.Adjacency)] += m.free.Accelerators
		}
	}
	if largest.Accelerators == 0 {
		return free, 0
	}
	usable := descriptor.Accelerators(0)
	for _, n := range room {
		usable += n / largest.Accelerators * largest.Accelerators
	}
	return free, free - usable
}

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
