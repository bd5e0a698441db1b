package planner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
)

// fixture drives a core with workers that obey at once.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Time
	// clock is the workers' clock.
	clock descriptor.WorkerClock
	// present are the runs on each node, and ends the ends that the next report tells.
	present map[string]map[descriptor.RunID]descriptor.RunStatus
	ends    map[string][]descriptor.RunEnd
	lastEndSeq     map[string]int64
	status  map[string]descriptor.WorkerStatus
	// slowNodes are the nodes on which tasks take eight times as long.
	slowNodes map[string]bool
	// orders are all that the core has given.
	orders []Order
}

// newFixture makes racks of three workers with 64 cores, 128 GB and 8 accelerators.
func newFixture(t *testing.T, racks int) *fixture {
	t.Helper()
	r := &fixture{
		t: t, now: time.Unix(1000, 0), clock: 1000,
		core:    New(Limits{FarFactor: 3, CheckpointEvery: time.Second, Restore: 500 * time.Millisecond}),
		present: map[string]map[descriptor.RunID]descriptor.RunStatus{}, ends: map[string][]descriptor.RunEnd{},
		lastEndSeq: map[string]int64{}, status: map[string]descriptor.WorkerStatus{},
	}
	for i := range racks * 3 {
		node := fmt.Sprintf("n%02d", i)
		rack := descriptor.RackID(fmt.Sprintf("r%d", i/3))
		r.present[node] = map[descriptor.RunID]descriptor.RunStatus{}
		r.status[node] = descriptor.WorkerStatus{
			Life: descriptor.Life{Worker: descriptor.WorkerID("w-" + node), Born: 1}, Service: "s", FailureDomain: "fd",
			Rack: rack, Labels: []string{"a", string(rack)},
			Capacity: descriptor.Capacity{Cores: 64000, Memory: 131072, Accelerators: 8},
		}
	}
	r.reportAll()
	return r
}

// reportAll tells the core what all workers list.
func (r *fixture) reportAll() {
	for _, node := range slices.Sorted(maps.Keys(r.present)) {
		r.reportNode(node)
	}
}

func (r *fixture) reportNode(node string) {
	r.clock++
	o := Observation{Node: node, Status: r.status[node], Clock: r.clock, Ended: r.ends[node], Received: r.now}
	for _, s := range r.present[node] {
		o.Running = append(o.Running, s)
	}
	r.apply(r.core.Observe(o))
}

// apply carries orders out at once.
func (r *fixture) apply(orders []Order) {
	for _, o := range orders {
		r.orders = append(r.orders, o)
		if o.Stop {
			if _, ok := r.present[o.Node][o.Run]; ok {
				r.endAttempt(o.Node, o.Run, descriptor.OutcomeStopped)
			}
			r.core.Stopped(o.Node, o.Life, o.Run, r.clock)
			continue
		}
		r.present[o.Node][o.Run] = descriptor.RunStatus{RunID: o.Run}
		r.core.Started(o.Node, o.Life, o.Run, r.clock, r.now)
	}
}

// endAttempt lists an endAttempt in the next report.
func (r *fixture) endAttempt(node string, id descriptor.RunID, outcome descriptor.Outcome) {
	delete(r.present[node], id)
	r.lastEndSeq[node]++
	r.ends[node] = append(r.ends[node], descriptor.RunEnd{Seq: r.lastEndSeq[node], RunID: id, Outcome: outcome})
}

// planAndApply decides once and carries the orders out.
func (r *fixture) planAndApply() []Order {
	orders := r.core.Plan(r.now)
	r.apply(orders)
	return orders
}

// advance lets time go by with reports and decisions ten times a second; all runs make progress.
func (r *fixture) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		r.now = r.now.Add(tick)
		r.clock += 100
		for node, runs := range r.present {
			if r.slowNodes[node] && r.clock/100%8 != 0 {
				continue
			}
			for id, s := range runs {
				s.Percent = min(s.Percent+1, 99)
				r.present[node][id] = s
			}
		}
		r.reportAll()
		r.planAndApply()
	}
}

type option func(*descriptor.Workload)

func priority(p int) option { return func(w *descriptor.Workload) { w.Priority = p } }
func gang(w *descriptor.Workload) {
	for i := range w.Steps {
		w.Steps[i].Gang = true
	}
}

func sameRack(w *descriptor.Workload) {
	gang(w)
	w.Steps[0].SameRack = true
}

func workspace(id descriptor.WorkspaceID) option {
	return func(w *descriptor.Workload) { w.Workspace = id }
}

// submit hands in a workload of n tasks with some accelerators each that run for d.
func (r *fixture) submit(id descriptor.JobID, n int, accelerators descriptor.Accelerators, d time.Duration, options ...option) {
	w := descriptor.Workload{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: 400 * time.Millisecond, Accepted: r.now,
		Steps: []descriptor.Step{{
			Count: n, RunTime: d, Size: descriptor.Capacity{Cores: 4000, Memory: 8000, Accelerators: accelerators},
		}},
	}
	for _, f := range options {
		f(&w)
	}
	r.core.Submit(Record{Workload: w}, r.now)
}

// runningNodes returns the nodes of the tasks of a workload that run, in order.
func (r *fixture) runningNodes(id descriptor.JobID) []string {
	var nodes []string
	for node, runs := range r.present {
		for run := range runs {
			if run.Task.Job == id {
				nodes = append(nodes, node)
			}
		}
	}
	slices.Sort(nodes)
	return nodes
}

// attemptOf returns the node and run of a task.
func (r *fixture) attemptOf(id descriptor.JobID, index int) (string, descriptor.RunID) {
	r.t.Helper()
	for node, runs := range r.present {
		for run := range runs {
			if run.Task.Job == id && run.Task.Index == index {
				return node, run
			}
		}
	}
	r.t.Fatalf("task %d of %s does not run", index, id)
	return "", descriptor.RunID{}
}

func (r *fixture) jobState(id descriptor.JobID) JobState {
	p, ok := r.core.Progress(id)
	assert.Assert(r.t, ok)
	return p.State
}

func (r *fixture) stopCount() int {
	n := 0
	for _, o := range r.orders {
		if o.Stop {
			n++
		}
	}
	return n
}

// learnRunTimes lets enough tasks of 2 s end well that run times are trusted.
func (r *fixture) learnRunTimes() {
	for i := range trustedSamples {
		id := descriptor.JobID(rune('a' + i))
		r.submit(id, 1, 1, 2*time.Second)
		r.planAndApply()
		r.advance(2 * time.Second)
		node, run := r.attemptOf(id, 0)
		r.endAttempt(node, run, descriptor.OutcomeDone)
		r.reportAll()
	}
}
