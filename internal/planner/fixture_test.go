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

// fixture runs a Core with simulated workers that carry out orders immediately.
type fixture struct {
	t    *testing.T
	core *Core
	now  time.Time
	// clock is the clock of all workers in milliseconds. Each report advances it by 1 ms, and each step of advance by
	// 100 ms.
	clock descriptor.WorkerClock
	// running holds the running attempts on each node; ends holds the ended ones, which every report of the node lists.
	running map[string]map[descriptor.AttemptID]descriptor.AttemptStatus
	ends    map[string][]descriptor.AttemptEnd
	// lastEndSeq is the sequence number of the last end on each node.
	lastEndSeq map[string]int64
	status     map[string]descriptor.WorkerStatus
	// slowNodes are the nodes on which tasks take about eight times as long in advance.
	slowNodes map[string]bool
	// orders are all orders that were passed to apply.
	orders []Order
}

// newFixture returns a fixture with racks of three workers, each with 64 cores, 128 GiB and 8 accelerators.
func newFixture(t *testing.T, racks int) *fixture {
	t.Helper()
	f := &fixture{
		t: t, now: time.Unix(1000, 0), clock: 1000,
		core:    New(Limits{DistanceFactor: 3, CheckpointInterval: time.Second, RestoreTime: 500 * time.Millisecond}),
		running: map[string]map[descriptor.AttemptID]descriptor.AttemptStatus{}, ends: map[string][]descriptor.AttemptEnd{},
		lastEndSeq: map[string]int64{}, status: map[string]descriptor.WorkerStatus{},
	}
	for i := range racks * 3 {
		node := fmt.Sprintf("n%02d", i)
		rack := descriptor.RackID(fmt.Sprintf("r%d", i/3))
		f.running[node] = map[descriptor.AttemptID]descriptor.AttemptStatus{}
		f.status[node] = descriptor.WorkerStatus{
			Incarnation: descriptor.Incarnation{Worker: descriptor.WorkerID("w-" + node), Born: 1}, Service: "s", FailureDomain: "fd",
			Rack: rack, Labels: []string{"a", string(rack)},
			Capacity: descriptor.Capacity{Cores: 64000, Memory: 131072, Accelerators: 8},
		}
	}
	f.reportAll()
	return f
}

// reportAll reports the state of each worker and carries out the orders that follow.
func (f *fixture) reportAll() {
	for _, node := range slices.Sorted(maps.Keys(f.running)) {
		f.reportNode(node)
	}
}

// reportNode reports the state of one worker and carries out the orders that follow.
func (f *fixture) reportNode(node string) {
	f.clock++
	o := Observation{Node: node, Status: f.status[node], Clock: f.clock, Ended: f.ends[node], AllEnds: true, Received: f.now}
	for _, s := range f.running[node] {
		o.Running = append(o.Running, s)
	}
	f.apply(f.core.Observe(o))
}

// apply carries out orders on the simulated workers and passes the workers' answers to the core.
func (f *fixture) apply(orders []Order) {
	for _, o := range orders {
		f.orders = append(f.orders, o)
		if o.Stop {
			if _, ok := f.running[o.Node][o.Attempt]; ok {
				f.endAttempt(o.Node, o.Attempt, descriptor.OutcomeStopped)
			}
			f.core.HandleStopped(o.Node, o.Incarnation, o.Attempt, f.clock)
			continue
		}
		f.running[o.Node][o.Attempt] = descriptor.AttemptStatus{AttemptID: o.Attempt}
		f.core.HandleStarted(o.Node, o.Incarnation, o.Attempt, f.clock, f.now)
	}
}

// endAttempt ends an attempt, which the worker's reports list from then on.
func (f *fixture) endAttempt(node string, id descriptor.AttemptID, outcome descriptor.Outcome) {
	delete(f.running[node], id)
	f.lastEndSeq[node]++
	f.ends[node] = append(f.ends[node], descriptor.AttemptEnd{Seq: f.lastEndSeq[node], AttemptID: id, Outcome: outcome})
}

// planAndApply makes one plan and carries it out.
func (f *fixture) planAndApply() []Order {
	orders := f.core.Plan(f.now)
	f.apply(orders)
	return orders
}

// advance moves time forward by d in steps of 100 ms. In each of them the attempts progress by one percent up to 99,
// all workers report and a plan is applied. No attempt ends unless it is stopped.
func (f *fixture) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for range d / tick {
		f.now = f.now.Add(tick)
		f.clock += 100
		for node, attempts := range f.running {
			if f.slowNodes[node] && f.clock/100%8 != 0 {
				continue
			}
			for id, s := range attempts {
				s.Percent = min(s.Percent+1, 99)
				f.running[node][id] = s
			}
		}
		f.reportAll()
		f.planAndApply()
	}
}

// option changes a workload before it is submitted.
type option func(*descriptor.Workload)

func priority(p int) option { return func(w *descriptor.Workload) { w.Priority = p } }

// gang makes each step a gang.
func gang(w *descriptor.Workload) {
	for i := range w.Steps {
		w.Steps[i].Gang = true
	}
}

// sameRack makes each step a gang, and the first one a gang that slows down when it is spread over racks.
func sameRack(w *descriptor.Workload) {
	gang(w)
	w.Steps[0].SameRack = true
}

func workspace(id descriptor.WorkspaceID) option {
	return func(w *descriptor.Workload) { w.Workspace = id }
}

// submit submits a workload of n tasks that take the accelerators given and declare the run time d.
func (f *fixture) submit(id descriptor.JobID, n int, accelerators descriptor.Accelerators, d time.Duration, options ...option) {
	w := descriptor.Workload{
		ID: id, Queue: "q", Service: "s", MaxAttempts: 3, Stretch: 1.5, Slack: 400 * time.Millisecond, Accepted: f.now,
		Steps: []descriptor.Step{{
			Count: n, RunTime: d, Size: descriptor.Capacity{Cores: 4000, Memory: 8000, Accelerators: accelerators},
		}},
	}
	for _, opt := range options {
		opt(&w)
	}
	f.core.Submit(Record{Workload: w}, f.now)
}

// runningNodes returns the node of each running task of a workload, sorted.
func (f *fixture) runningNodes(id descriptor.JobID) []string {
	var nodes []string
	for node, attempts := range f.running {
		for a := range attempts {
			if a.Task.Job == id {
				nodes = append(nodes, node)
			}
		}
	}
	slices.Sort(nodes)
	return nodes
}

// attemptOf returns the node and id of a task's running attempt, and fails the test when there is none.
func (f *fixture) attemptOf(id descriptor.JobID, index int) (string, descriptor.AttemptID) {
	f.t.Helper()
	for node, attempts := range f.running {
		for a := range attempts {
			if a.Task.Job == id && a.Task.Index == index {
				return node, a
			}
		}
	}
	f.t.Fatalf("task %d of %s is not running", index, id)
	return "", descriptor.AttemptID{}
}

func (f *fixture) jobState(id descriptor.JobID) JobState {
	p, ok := f.core.Progress(id)
	assert.Assert(f.t, ok)
	return p.State
}

// stopCount returns the number of stop orders that were passed to apply.
func (f *fixture) stopCount() int {
	n := 0
	for _, o := range f.orders {
		if o.Stop {
			n++
		}
	}
	return n
}

// addRunTimeSamples completes enough tasks of 2 s for the queue's run times to be trusted.
func (f *fixture) addRunTimeSamples() {
	for i := range trustedSamples {
		id := descriptor.JobID(rune('a' + i))
		f.submit(id, 1, 1, 2*time.Second)
		f.planAndApply()
		f.advance(2 * time.Second)
		node, attemptID := f.attemptOf(id, 0)
		f.endAttempt(node, attemptID, descriptor.OutcomeDone)
		f.reportAll()
	}
}
