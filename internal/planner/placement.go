package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"persimmontrail/internal/assessor"
	"persimmontrail/pkg/descriptor"
)

const (
	// suspectWait is how long a workload waits before its tasks also use workers that are not sound, and workers on which
	// they have failed. It is well below 3 s, the longest time that a task may wait while there is room for it.
	suspectWait = 800 * time.Millisecond
	// defaultRackWait is how long a task waits for room on the rack of its data before it starts on another rack. A
	// SameRack gang for which rackWait sets no other time waits as long for room on one rack before it is spread over
	// racks. Both then take DistanceFactor times as long.
	defaultRackWait = 1200 * time.Millisecond
)

// pass is one round of placement. It tracks the capacity that is left to assign.
type pass struct {
	core *Core
	now  time.Time
	// room is the capacity that is free and not earmarked. It becomes negative when capacity is earmarked that attempts
	// being stopped still occupy.
	room map[*worker]descriptor.Capacity
	// releasing is the capacity that attempts being stopped still occupy. Earmarking reduces room, not releasing.
	releasing map[*worker]descriptor.Capacity
	// fleet holds the usable workers, sorted by node name.
	fleet []*worker
	// health holds the health of each worker of the fleet.
	health map[*worker]assessor.State
	// onTrial is the set of workers on probation with an attempt that has not worked for provingTime.
	onTrial map[*worker]bool
	// contests counts the searches for victims for gangs.
	contests int
	// busyServices caches serviceBusy.
	busyServices map[descriptor.ServiceID]bool
	// withinGuarantee is the set of workloads inside their workspace's guarantee.
	withinGuarantee map[descriptor.JobID]bool
	// candidateCache caches the candidates of the groups in this pass.
	candidateCache map[candidateKey]*candidates
	// noRoom holds the demands for which no worker has room left in this pass, in which room only becomes less.
	noRoom map[demand]bool
	// searches holds, by workload, the searches for room to be freed.
	searches map[*job]*searches
	// searchLimit is the number of searches that the pass makes for one workload.
	searchLimit int
	// started is the number of tasks that the pass has started.
	started int
	// stepCounts caches the number of attempts on a worker by step.
	stepCounts map[*worker]map[jobStep]int
	// contenders are the urgent gangs of one level that have found no room so far in this pass.
	contenders []contender
	// fleetIndex holds the positions in fleet; it is filled on first use.
	fleetIndex map[*worker]int
	// reservedWorkers are kept free for urgent work and service tasks.
	reservedWorkers map[*worker]bool
	// reserveEnforced is true when other work may not use reservedWorkers, however long it waits.
	reserveEnforced bool
}

// newPass returns a pass over the workers that are usable now.
func (c *Core) newPass(now time.Time) *pass {
	p := &pass{core: c, now: now, room: map[*worker]descriptor.Capacity{}, releasing: map[*worker]descriptor.Capacity{}}
	p.health, p.onTrial, p.busyServices = map[*worker]assessor.State{}, map[*worker]bool{}, map[descriptor.ServiceID]bool{}
	c.plannedAt = now
	attempts := 0
	for _, w := range c.sortedWorkers() {
		if c.usable(w, now) {
			attempts += len(w.attempts)
			p.fleet = append(p.fleet, w)
			p.room[w] = w.free()
			p.releasing[w] = w.stoppingCapacity()
			p.assessHealth(w)
			w.slowness = c.slownessOf(w)
			if p.startsPaused(w) {
				p.withholdRoom(w)
			}
		}
	}
	p.withinGuarantee, p.candidateCache = c.jobsWithinGuarantee(), map[candidateKey]*candidates{}
	p.searchLimit = min(max(searchedAttempts/max(attempts, 1), minSearches), maxSearches)
	p.noRoom, p.searches, p.stepCounts = map[demand]bool{}, map[*job]*searches{}, map[*worker]map[jobStep]int{}
	p.reservedWorkers, p.reserveEnforced = p.selectReserved(), p.fleetBusy()
	return p
}

// startsPaused reports whether a worker gets no starts in this pass, because it has refused one.
func (p *pass) startsPaused(w *worker) bool { return p.now.Before(w.startsPausedUntil) }

// withholdRoom leaves no room on a worker whose starts are paused. After the first refusal its room counts as about to be
// free, so that nothing is preempted elsewhere for want of it; a worker that goes on refusing has none to offer.
func (p *pass) withholdRoom(w *worker) {
	if w.refusalPause <= minRefusalPause {
		p.releasing[w] = p.releasing[w].Plus(p.room[w])
	}
	p.room[w] = descriptor.Capacity{}
	p.core.planBy(w.startsPausedUntil)
}

// place starts a group, or those of its independent tasks for which there is room. For an urgent group without room it
// earmarks room that is about to be free, or preempts other work. A claim that can no longer be used is dropped.
func (p *pass) place(g group) []Order {
	d := p.demandOf(g)
	if g.claim == nil && p.noRoom[d] && (g.level > levelUrgent || p.searchedInVain(g, d)) {
		return nil
	}
	eligible := p.eligible(g)
	if g.claim != nil {
		orders, ok := p.placeClaimed(g, eligible)
		if ok {
			return orders
		}
		g.job.claim, g.claim = nil, nil
	}
	if g.job.step(g.step).Gang {
		return p.placeGang(g, d, eligible)
	}
	return p.placeTasks(g, d, eligible)
}

// placement is one worker for each task of a group, in the order of the group's indexes.
type placement []*worker

// placeTasks starts as many tasks of a group as there is room for. For the rest, urgent groups may earmark room or
// preempt.
func (p *pass) placeTasks(g group, d demand, eligible []*worker) []Order {
	step := g.job.step(g.step)
	need := step.Need()
	c := p.candidates(g)
	// unplaceableSizes applies only to groups that can use all healthy workers and no others, and may not preempt.
	unconstrained := step.MaxPerWorker == 0 && step.DataRack == "" && len(eligible) == len(c.healthy) &&
		len(g.job.failedOn) == 0 && g.level >= levelOther
	if unconstrained && c.knownUnplaceable(need) {
		return nil
	}
	var orders []Order
	for _, i := range g.indexes {
		var w *worker
		pool := p.withoutFailed(g, i, eligible)
		if !p.noRoom[d] {
			w = p.bestWorker(g, step, pool, need)
		}
		if w == nil && unconstrained {
			c.unplaceableSizes = append(c.unplaceableSizes, need)
			break
		}
		if w == nil {
			// Workers at the limit of one step may have room for another one.
			restricted := len(pool) < len(eligible)
			p.noRoom[d] = p.noRoom[d] || step.MaxPerWorker == 0 && !restricted
			if !p.maySearch(g, d) {
				if restricted {
					continue
				}
				break
			}
			if w = p.earmarkOrPreempt(g, step, pool, need, &orders); w == nil && !restricted {
				p.noteVainSearch(g, d)
				break
			}
			continue
		}
		orders = append(orders, p.startTasks(g, []int{i}, placement{w}, "room free")...)
	}
	return orders
}

// bestWorker returns the best fit on the data's rack. It returns the best fit on any eligible worker if the step has no
// DataRack, after defaultRackWait, or when no worker on that rack is eligible. It returns nil when there is no fit.
func (p *pass) bestWorker(g group, step *descriptor.Step, eligible []*worker, need descriptor.Capacity) *worker {
	onDataRack := eligible
	if step.DataRack != "" {
		onDataRack = slices.DeleteFunc(slices.Clone(eligible), func(w *worker) bool { return w.status.Rack != step.DataRack })
		if w := p.bestFit(g, step, onDataRack, need); w != nil {
			return w
		}
		if len(onDataRack) > 0 && p.now.Sub(g.job.waitingSince) < defaultRackWait {
			p.core.planBy(g.job.waitingSince.Add(defaultRackWait))
			return nil
		}
	}
	return p.bestFit(g, step, eligible, need)
}

// bestFit returns the worker with the least room left over after one more task, of the fastest of those in the best health;
// nil when the task fits on none.
func (p *pass) bestFit(g group, step *descriptor.Step, pool []*worker, need descriptor.Capacity) *worker {
	var best *worker
	var bestLeft float64
	for _, w := range pool {
		if p.startsPaused(w) || !p.trialRoom(g, w, p.room[w], need).Fits(need) || p.atTaskLimit(g, step, w) {
			continue
		}
		left := freeFractionSum(p.room[w].Minus(need), w.status.Capacity)
		if best == nil || cmp.Or(cmp.Compare(p.health[w], p.health[best]), cmp.Compare(w.slowness, best.slowness),
			cmp.Compare(left, bestLeft)) < 0 {
			best, bestLeft = w, left
		}
	}
	return best
}

// atTaskLimit reports whether w has reached the step's MaxPerWorker for the occurrence of g.
func (p *pass) atTaskLimit(g group, step *descriptor.Step, w *worker) bool {
	if step.MaxPerWorker == 0 {
		return false
	}
	return p.attemptsByStep(w)[jobStep{g.job.id(), g.occurrence, g.step}] >= step.MaxPerWorker
}

// jobStep identifies a step of an occurrence of any workload.
type jobStep struct {
	job              descriptor.JobID
	occurrence, step int
}

// attemptsByStep returns the number of attempts on w by step. startTasks keeps it up to date.
func (p *pass) attemptsByStep(w *worker) map[jobStep]int {
	counts := p.stepCounts[w]
	if counts == nil {
		counts = map[jobStep]int{}
		for id := range w.attempts {
			counts[jobStep{id.Task.Job, id.Task.Occurrence, id.Task.Step}]++
		}
		p.stepCounts[w] = counts
	}
	return counts
}

// freeFractionSum returns the sum of left/total over cores, memory and accelerators, without those of which total is 0.
// It is 3 for an idle worker that has all of them, and 0 for a full one.
func freeFractionSum(left, total descriptor.Capacity) float64 {
	sum := 0.0
	if total.Cores > 0 {
		sum += float64(left.Cores) / float64(total.Cores)
	}
	if total.Memory > 0 {
		sum += float64(left.Memory) / float64(total.Memory)
	}
	if total.Accelerators > 0 {
		sum += float64(left.Accelerators) / float64(total.Accelerators)
	}
	return sum
}

// earmarkOrPreempt earmarks a worker for one task of an urgent group: one where room is about to be free, or else one
// where preemption costs least. It returns nil for a group that is not urgent, and when there is no such worker or a
// preemption is not worthwhile. It appends the stops of a preemption to orders.
func (p *pass) earmarkOrPreempt(g group, step *descriptor.Step, eligible []*worker, need descriptor.Capacity, orders *[]Order) *worker {
	if g.level > levelUrgent {
		return nil
	}
	for _, w := range eligible {
		if !p.atTaskLimit(g, step, w) && p.room[w].Plus(p.releasing[w]).Fits(need) {
			p.room[w] = p.room[w].Minus(need)
			return w
		}
	}
	if p.earmarkForecast(g, step, [][]*worker{eligible}, need, 1) {
		// The caller uses the result only to see whether a worker was earmarked, so any worker will do.
		return eligible[0]
	}
	r := p.cheapestVictim(g, slices.DeleteFunc(slices.Clone(eligible), func(w *worker) bool { return p.atTaskLimit(g, step, w) }))
	if r.placement == nil {
		return nil
	}
	*orders = append(*orders, p.take(g, r)...)
	return r.placement[0]
}

// placeGang starts all tasks of a gang or none. For an urgent gang without room it earmarks room, or makes the
// gang a contender.
func (p *pass) placeGang(g group, d demand, eligible []*worker) []Order {
	step := g.job.step(g.step)
	need, n := step.Need(), len(g.indexes)
	pools := p.pools(step, eligible)
	fitsWhenEmpty := false
	for _, pool := range pools {
		fitsWhenEmpty = fitsWhenEmpty || p.tasksWhenEmpty(pool, need, step) >= n
	}
	if !p.noRoom[d] {
		if ws := p.bestPlacement(g, step, pools, need, n, false); ws != nil {
			return p.startTasks(g, g.indexes, ws, "room free")
		}
	}
	maySearch := g.level <= levelUrgent && p.maySearch(g, d)
	if maySearch && fitsWhenEmpty {
		if ws := p.bestPlacement(g, step, pools, need, n, true); ws != nil {
			p.earmark(ws, need)
			return nil
		}
		if p.earmarkForecast(g, step, pools, need, n) {
			return nil
		}
		return p.contend(contender{group: g, demand: d, eligible: eligible, pools: pools})
	}
	return p.placeSpread(g, d, eligible, fitsWhenEmpty, maySearch)
}

// placeSpread goes on with a gang for which no pool has room: if it has SameRack, it is spread over racks after rackWait,
// or at once when no rack could hold it even if empty.
func (p *pass) placeSpread(g group, d demand, eligible []*worker, fitsWhenEmpty, maySearch bool) []Order {
	step := g.job.step(g.step)
	need, n := step.Need(), len(g.indexes)
	if !step.SameRack {
		p.noRoom[d] = true
		return nil
	}
	if p.core.settling(p.now) {
		p.noRoom[d] = true
		return nil
	}
	if fitsWhenEmpty && p.now.Sub(g.job.waitingSince) < p.rackWait(g) {
		p.core.planBy(g.job.waitingSince.Add(p.rackWait(g)))
		p.noRoom[d] = true
		return nil
	}
	if !p.noRoom[d] {
		if ws := p.fill(g, step, eligible, need, n, false); ws != nil {
			return p.startTasks(g, g.indexes, ws, "no rack has room; spread over racks")
		}
	}
	p.noRoom[d] = true
	if maySearch && !fitsWhenEmpty {
		return p.contend(contender{group: g, demand: d, eligible: eligible, pools: [][]*worker{eligible}, spread: true})
	}
	return nil
}

// rackWait returns how long a gang waits for room on one rack before it is spread over racks, where it takes
// DistanceFactor times as long. A gang whose Stretch is less than DistanceFactor waits for the time that Stretch and
// Slack leave beyond its run time on one rack, and any other for defaultRackWait.
func (p *pass) rackWait(g group) time.Duration {
	w := &g.job.record.Workload
	if w.Stretch >= p.core.Limits.DistanceFactor {
		return defaultRackWait
	}
	return time.Duration((w.Stretch-1)*float64(p.core.expectedRunTime(g.job, g.step))) + w.Slack
}

// pools returns the sets of workers that are tried for a gang: each rack, with that of the data first, and then all
// eligible workers unless the step has SameRack. For a step with neither SameRack nor DataRack, the only set is that of
// all eligible workers.
func (p *pass) pools(step *descriptor.Step, eligible []*worker) [][]*worker {
	if !step.SameRack && step.DataRack == "" {
		return [][]*worker{eligible}
	}
	racks := map[descriptor.RackID][]*worker{}
	for _, w := range eligible {
		racks[w.status.Rack] = append(racks[w.status.Rack], w)
	}
	var pools [][]*worker
	if onDataRack := racks[step.DataRack]; len(onDataRack) > 0 {
		pools = append(pools, onDataRack)
	}
	for _, r := range slices.Sorted(maps.Keys(racks)) {
		if r != step.DataRack {
			pools = append(pools, racks[r])
		}
	}
	if !step.SameRack {
		pools = append(pools, eligible)
	}
	return pools
}

// tasksWhenEmpty returns how many tasks fit into a pool that runs nothing else.
func (p *pass) tasksWhenEmpty(pool []*worker, need descriptor.Capacity, step *descriptor.Step) int {
	sum := 0
	for _, w := range pool {
		sum += w.status.Capacity.CountFitting(need, perWorkerLimit(step))
	}
	return sum
}

// perWorkerLimit returns the most tasks of a step that one worker may run.
func perWorkerLimit(step *descriptor.Step) int {
	if step.MaxPerWorker > 0 {
		return step.MaxPerWorker
	}
	return step.Count
}

// bestPlacement returns a placement in the data's rack if possible, or else the one on the soundest and then fastest
// workers, and of equal ones that in the pool with the least room; nil when none does. With countReleasing it also uses capacity that is being released.
func (p *pass) bestPlacement(g group, step *descriptor.Step, pools [][]*worker, need descriptor.Capacity, n int, countReleasing bool) placement {
	var best placement
	var bestLeft float64
	var bestSlowness int
	var bestHealth assessor.State
	for i, pool := range pools {
		ws := p.fill(g, step, pool, need, n, countReleasing)
		if ws == nil {
			continue
		}
		if i == 0 && step.DataRack != "" && pool[0].status.Rack == step.DataRack {
			return ws
		}
		left := 0.0
		for _, w := range pool {
			left += freeFractionSum(p.room[w], w.status.Capacity)
		}
		health, slowness := p.worstHealth(ws), slices.Max(slownesses(ws))
		if best == nil || cmp.Or(cmp.Compare(health, bestHealth), cmp.Compare(slowness, bestSlowness), cmp.Compare(left, bestLeft)) < 0 {
			best, bestLeft, bestSlowness, bestHealth = ws, left, slowness, health
		}
	}
	return best
}

// fill packs n tasks into a pool, if possible into its sound workers, and returns nil when they do not fit. With
// countReleasing it also uses capacity that is being released.
func (p *pass) fill(g group, step *descriptor.Step, pool []*worker, need descriptor.Capacity, n int, countReleasing bool) placement {
	room := func(w *worker) descriptor.Capacity {
		if countReleasing {
			return p.trialRoom(g, w, p.room[w].Plus(p.releasing[w]), need)
		}
		return p.trialRoom(g, w, p.room[w], need)
	}
	if !countReleasing && slices.ContainsFunc(pool, p.startsPaused) {
		pool = slices.DeleteFunc(slices.Clone(pool), p.startsPaused)
	}
	if sound, partly := p.sound(pool); partly {
		if ws := packFastest(sound, room, need, n, perWorkerLimit(step)); ws != nil {
			return ws
		}
	}
	return packFastest(pool, room, need, n, perWorkerLimit(step))
}

// packFastest is pack on the fastest workers of a pool that are enough, since a gang ends with its slowest member.
func packFastest(pool []*worker, room func(*worker) descriptor.Capacity, need descriptor.Capacity, n, limit int) placement {
	slownesses := slownesses(pool)
	for i, most := range slownesses {
		workers := pool
		if i < len(slownesses)-1 {
			workers = slices.DeleteFunc(slices.Clone(pool), func(w *worker) bool { return w.slowness > most })
		}
		if ws := pack(workers, room, need, n, limit); ws != nil {
			return ws
		}
	}
	return nil
}

// pack places n tasks on as few workers of a pool as possible, at most limit on each, or returns nil when they do not
// fit.
func pack(pool []*worker, room func(*worker) descriptor.Capacity, need descriptor.Capacity, n, limit int) placement {
	type space struct {
		worker *worker
		// fitting is the number of tasks that fit; left is the freeFractionSum after these are placed.
		fitting int
		left    float64
	}
	var spaces []space
	sum := 0
	for _, w := range pool {
		if k := room(w).CountFitting(need, min(n, limit)); k > 0 {
			spaces = append(spaces, space{w, k, freeFractionSum(room(w).Minus(need.Multiply(k)), w.status.Capacity)})
			sum += k
		}
	}
	if sum < n {
		return nil
	}
	// Workers with room for the most tasks come first, and among them those with the least room left over.
	slices.SortStableFunc(spaces, func(a, b space) int {
		return cmp.Or(cmp.Compare(b.fitting, a.fitting), cmp.Compare(a.left, b.left))
	})
	var ws placement
	for _, sp := range spaces {
		for range min(sp.fitting, n-len(ws)) {
			ws = append(ws, sp.worker)
		}
	}
	return ws
}

// earmark deducts one task of size need from the room of each worker in ws.
func (p *pass) earmark(ws placement, need descriptor.Capacity) {
	for _, w := range ws {
		p.room[w] = p.room[w].Minus(need)
	}
}

// startTasks marks tasks as placed on the workers of ws, and returns the start orders. The members of a gang get the
// same attempt number and, if they save progress, the same checkpoint.
func (p *pass) startTasks(g group, indexes []int, ws placement, reason string) []Order {
	c, j := p.core, g.job
	step := j.step(g.step)
	tasks := j.tasks(g.occurrence, g.step)
	attemptNumber, checkpoint := 0, ""
	for _, i := range indexes {
		attemptNumber = max(attemptNumber, tasks[i].Attempt+1)
		if tasks[i].Checkpoint != "" {
			checkpoint = tasks[i].Checkpoint
		}
	}
	if g.balanceFactor > 1 {
		reason += fmt.Sprintf("; moved up by %.2f", g.balanceFactor)
	}
	var orders []Order
	for n, i := range indexes {
		w, t := ws[n], &tasks[i]
		t.State, t.Attempt, t.Worker, t.Born, t.Node = TaskPlaced, attemptNumber, w.incarnation.Worker, w.incarnation.Born, w.node
		if step.SavesProgress {
			t.Checkpoint = checkpoint
		}
		id := descriptor.TaskID{Job: j.id(), Occurrence: g.occurrence, Step: g.step, Index: i}
		r := c.addAttempt(j, id, t, w, p.now)
		r.startDeadline = noStartDeadline
		p.room[w] = p.room[w].Minus(r.need)
		if p.health[w] == assessor.Probation {
			p.onTrial[w] = true
			c.planBy(p.now.Add(provingTime))
		}
		if counts := p.stepCounts[w]; counts != nil {
			counts[jobStep{j.id(), g.occurrence, g.step}]++
		}
		orders = append(orders, Order{
			Node: w.node, Incarnation: w.incarnation, Attempt: r.id, Spec: j.record.Workload.Spec, Checkpoint: t.Checkpoint,
			Reason: fmt.Sprintf("%s; level %d, waited %v, due in %v, report %v old", reason, g.level,
				p.now.Sub(j.waitingSince).Round(time.Millisecond), g.objective.Sub(p.now).Round(time.Millisecond),
				p.now.Sub(w.lastReportAt).Round(time.Millisecond)),
		})
	}
	if j.progress.State == JobQueued {
		j.progress.State = JobRunning
	}
	c.dirty[j.id()] = true
	p.started += len(indexes)
	return orders
}
