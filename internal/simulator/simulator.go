package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

const (
	// tick is the step of virtual time; orders and reports take one tick each way.
	tick = 20 * time.Millisecond
	// reportEvery is how old percentages get.
	reportEvery = 600 * time.Millisecond
	// planEvery is the pause between two plans when nothing but progress was reported.
	planEvery = 120 * time.Millisecond
	// wastePrice is what the users take off for each wasted core-second.
	wastePrice = 0.0026
	// tail is how long the scene goes on after the last arrival.
	tail = 30 * time.Second
)

// Result is what one play of a scene came to.
type Result struct {
	// Worth by queue is the share of the worth owed that was earned.
	Worth map[descriptor.QueueID]float64
	// Total is the same over all queues.
	Total float64
	// Net is Total less the users' price of wasted work.
	Net float64
	// InTime, Late and Missed count workloads by queue.
	InTime map[descriptor.QueueID]int
	Late   map[descriptor.QueueID]int
	Missed map[descriptor.QueueID]int
	// Wasted is the core-seconds of runs that did not count, as a share of all that the fleet has.
	Wasted float64
	Used   float64
	Stops  int
}

// Play runs a scene with one seed.
func Play(s Scene, seed uint64) Result {
	p := newPlay(s, seed)
	for p.now < s.Length+tail {
		p.step()
	}
	return p.result()
}

type play struct {
	scene    Scene
	core     *planner.Core
	now      time.Duration
	epoch    time.Time
	arrivals []*arrival
	next     int
	byID     map[descriptor.JobID]*arrival
	done     map[descriptor.JobID]time.Duration
	nodes    []*node
	byNode   map[string]*node
	orders   []planner.Order
	lastPlan time.Duration
	wasted   float64
	used     float64
	stops    int
}

// node is a simulated worker.
type node struct {
	name     string
	index    int
	status   descriptor.WorkerStatus
	runs     map[descriptor.RunID]*task
	ended    []descriptor.RunEnd
	seq      int64
	clock    descriptor.WorkerClock
	changed  bool
	reported time.Duration
}

// task is a run on a node.
type task struct {
	id      descriptor.RunID
	node    *node
	arrival *arrival
	began   time.Duration
	// worked is the progress, from a checkpoint at resumed.
	worked  time.Duration
	resumed time.Duration
	// stopAt is when a stop takes effect; 0 when none was ordered.
	stopAt time.Duration
}

func newPlay(s Scene, seed uint64) *play {
	p := &play{
		scene: s, epoch: time.Unix(1_000_000, 0), byID: map[descriptor.JobID]*arrival{}, done: map[descriptor.JobID]time.Duration{},
		byNode: map[string]*node{},
		core: planner.New(planner.Limits{
			FarFactor: s.Far, CheckpointEvery: s.Checkpoint, Restore: s.Restore, StopGrace: s.StopGrace, Reclaim: s.Reclaim,
		}),
	}
	var accounts []descriptor.Account
	for i, g := range s.Guaranteed {
		accounts = append(accounts, descriptor.Account{Workspace: descriptor.WorkspaceID(fmt.Sprint(i)), Guaranteed: g})
	}
	p.core.SetGuarantees(accounts)
	for i := range s.Racks * s.PerRack {
		rack := descriptor.RackID(fmt.Sprintf("r%02d", i/s.PerRack))
		n := &node{name: fmt.Sprintf("n%03d", i), index: i, runs: map[descriptor.RunID]*task{}, changed: true}
		n.status = descriptor.WorkerStatus{
			Life: descriptor.Life{Worker: descriptor.WorkerID(n.name), Born: 1}, Service: "s", Rack: rack, Capacity: s.Worker,
		}
		p.nodes = append(p.nodes, n)
		p.byNode[n.name] = n
	}
	p.arrivals = s.arrivals(seed)
	slices.SortStableFunc(p.arrivals, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	return p
}

func (p *play) time() time.Time { return p.epoch.Add(p.now) }

// step plays one tick.
func (p *play) step() {
	p.now += tick
	p.carryOut()
	for p.next < len(p.arrivals) && p.arrivals[p.next].at <= p.now {
		a := p.arrivals[p.next]
		p.next++
		a.workload.Accepted = p.time()
		p.byID[a.workload.ID] = a
		p.core.Submit(planner.Record{Workload: a.workload}, p.time())
	}
	p.work()
	p.report()
	recheck := p.core.Recheck()
	if p.core.Touched() || p.now-p.lastPlan >= planEvery || !recheck.IsZero() && !recheck.After(p.time()) {
		p.lastPlan = p.now
		p.orders = append(p.orders, p.core.Plan(p.time())...)
		p.noteDone()
	}
}

// carryOut gives the orders of the last tick to the nodes.
func (p *play) carryOut() {
	for _, o := range p.orders {
		n := p.byNode[o.Node]
		if o.Stop {
			p.stops++
			if t := n.runs[o.Run]; t != nil && t.stopAt == 0 {
				t.stopAt = p.now + p.scene.StopGrace*8/10
			}
			continue
		}
		t := &task{id: o.Run, node: n, arrival: p.byID[o.Run.Task.Job], began: p.now}
		if o.Checkpoint != "" {
			if d, err := time.ParseDuration(o.Checkpoint); err == nil {
				t.resumed, t.worked = d, d-p.scene.Restore
			}
		}
		n.runs[o.Run] = t
		n.clock = max(n.clock+1, descriptor.WorkerClock(p.now.Milliseconds()))
		p.core.Started(o.Node, o.Life, o.Run, n.clock, p.time())
	}
	p.orders = nil
}

// work lets all runs go on for a tick and ends those that are done or stopped.
func (p *play) work() {
	gangs := p.gangs()
	for _, n := range p.nodes {
		for id, t := range n.runs {
			if t.stopAt > 0 && p.now >= t.stopAt {
				p.end(t, descriptor.OutcomeStopped)
				continue
			}
			speed := p.speed(t, gangs) * p.slowdown(n)
			t.worked += time.Duration(speed * float64(tick))
			run := t.arrival.runTimes[id.Task.Index]
			if id.Run == 1 && t.arrival.fails[id.Task.Index] && t.worked > run/2 {
				p.end(t, descriptor.OutcomeFailed)
			}
		}
	}
	for _, members := range gangs {
		p.endDone(members)
	}
}

type gangKey struct {
	job descriptor.JobID
	run int
	// index tells tasks apart that are no gang.
	index int
}

// gangs groups the runs that end together.
func (p *play) gangs() map[gangKey][]*task {
	all := map[gangKey][]*task{}
	for _, n := range p.nodes {
		for id, t := range n.runs {
			k := gangKey{id.Task.Job, id.Run, -1}
			if !t.arrival.workload.Steps[0].Gang {
				k.index = id.Task.Index
			}
			all[k] = append(all[k], t)
		}
	}
	return all
}

func (p *play) speed(t *task, gangs map[gangKey][]*task) float64 {
	s := &t.arrival.workload.Steps[0]
	if !s.Gang {
		return 1
	}
	members := gangs[gangKey{t.id.Task.Job, t.id.Run, -1}]
	if len(members) < s.Count {
		return 0
	}
	if s.SameRack && slices.ContainsFunc(members, func(m *task) bool { return m.node.status.Rack != members[0].node.status.Rack }) {
		return 1 / p.scene.Far
	}
	return 1
}

// slowdown is the speed of a node's processors.
func (p *play) slowdown(n *node) float64 {
	speed := 1.0
	for _, s := range p.scene.Slowdowns {
		if p.now >= s.From && p.now < s.From+s.Length && n.index%s.Every == 0 {
			speed *= s.Speed
		}
	}
	return speed
}

func (p *play) endDone(members []*task) {
	for _, t := range members {
		if t.worked < t.arrival.runTimes[t.id.Task.Index] {
			return
		}
	}
	for _, t := range members {
		if t.node.runs[t.id] == t {
			p.end(t, descriptor.OutcomeDone)
		}
	}
}

func (p *play) end(t *task, how descriptor.Outcome) {
	n := t.node
	delete(n.runs, t.id)
	n.seq++
	n.changed = true
	e := descriptor.RunEnd{Seq: n.seq, RunID: t.id, Outcome: how}
	size := t.arrival.workload.Steps[0].Size
	spent := size.CoreSeconds(p.now - t.began)
	p.used += spent
	if how != descriptor.OutcomeDone {
		kept := time.Duration(0)
		if t.arrival.workload.Steps[0].SavesProgress {
			kept = max(t.worked.Truncate(p.scene.Checkpoint), t.resumed)
			if kept > 0 {
				e.Checkpoint = kept.String()
			}
		}
		p.wasted += max(0, spent-size.CoreSeconds(kept-t.resumed))
	}
	n.ended = append(n.ended, e)
}

// report tells the core what changed, and progress now and then.
func (p *play) report() {
	for _, n := range p.nodes {
		if !n.changed && p.now-n.reported < reportEvery {
			continue
		}
		n.changed, n.reported = false, p.now
		n.clock = max(n.clock+1, descriptor.WorkerClock(p.now.Milliseconds()))
		o := planner.Observation{Node: n.name, Status: n.status, Clock: n.clock, Ended: n.ended, Received: p.time()}
		for _, id := range slices.SortedFunc(maps.Keys(n.runs), func(a, b descriptor.RunID) int {
			return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Run, b.Run))
		}) {
			t := n.runs[id]
			percent := min(100, int(100*t.worked/t.arrival.runTimes[id.Task.Index]))
			o.Running = append(o.Running, descriptor.RunStatus{RunID: id, Percent: max(percent, 0)})
		}
		p.orders = append(p.orders, p.core.Observe(o)...)
		n.ended = nil
	}
}

func (p *play) noteDone() {
	for _, id := range p.core.Changed() {
		if pr, ok := p.core.Progress(id); ok && pr.State == planner.JobDone {
			if _, known := p.done[id]; !known {
				p.done[id] = p.now
			}
		}
	}
}

// result values each workload as the users do: a fixed part and one that grows with its work.
func (p *play) result() Result {
	r := Result{
		Worth: map[descriptor.QueueID]float64{}, InTime: map[descriptor.QueueID]int{},
		Late: map[descriptor.QueueID]int{}, Missed: map[descriptor.QueueID]int{}, Stops: p.stops,
	}
	mean, count := map[descriptor.QueueID]float64{}, map[descriptor.QueueID]float64{}
	for _, a := range p.arrivals {
		mean[a.class.Queue] += a.work()
		count[a.class.Queue]++
	}
	owed := map[descriptor.QueueID]float64{}
	var earnedAll, owedAll float64
	for _, a := range p.arrivals {
		q := a.class.Queue
		factor := min(0.3+0.7*a.work()/(mean[q]/count[q]), 4)
		owed[q] += factor * a.class.Worth
		owedAll += factor * a.class.Worth
		earned := 0.0
		objective := time.Duration(a.class.Stretch*float64(slices.Max(a.runTimes))) + a.class.Slack
		took := p.done[a.workload.ID] - a.at
		switch {
		case p.done[a.workload.ID] == 0 || took > 3*objective:
			r.Missed[q]++
		case took <= objective:
			r.InTime[q]++
			earned = factor * a.class.Worth
		default:
			r.Late[q]++
			earned = factor * a.class.LateWorth
		}
		r.Worth[q] += earned
		earnedAll += earned
	}
	for q := range r.Worth {
		r.Worth[q] /= owed[q]
	}
	r.Total = earnedAll / owedAll
	r.Net = (earnedAll - wastePrice*p.wasted) / owedAll
	whole := p.scene.Worker.CoreSeconds(p.now) * float64(len(p.nodes))
	r.Wasted, r.Used = p.wasted/whole, p.used/whole
	return r
}

// work is the core-seconds of a workload.
func (a *arrival) work() float64 {
	sum := 0.0
	for _, d := range a.runTimes {
		sum += a.workload.Steps[0].Size.CoreSeconds(d)
	}
	return sum
}
