package simulator

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"persimmontrail/internal/estimator"
	"persimmontrail/internal/planner"
	"persimmontrail/pkg/descriptor"
)

const (
	// tick is the step of virtual time. Orders take one tick to arrive; reports and answers arrive in the tick in which
	// they are sent.
	tick = 20 * time.Millisecond
	// reportInterval is the longest time between two progress reports of a node.
	reportInterval = 600 * time.Millisecond
	// planInterval is the longest time between two plans. A plan is made earlier after an event that may change it, and at
	// the planner's NextPlanAt.
	planInterval = 120 * time.Millisecond
	// wasteCost is the cost of a wasted core-second to the users, in the unit of Class.Value.
	wasteCost = 0.0026
	// failuresStream and speedsStream are the streams of random numbers for these; the classes use those from 0 on.
	failuresStream = 1 << 32
	speedsStream   = failuresStream + 1
	// cooldownTime is how long the simulation goes on after the period of arrivals, so that waiting work can complete.
	cooldownTime = 30 * time.Second
)

// Result holds the metrics of one simulation.
type Result struct {
	// ValueShares holds for each queue the earned share of the value that its workloads could earn.
	ValueShares map[descriptor.QueueID]float64
	// TotalShare is the same share over all queues.
	TotalShare float64
	// NetShare is TotalShare after the cost of wasted work is deducted.
	NetShare float64
	// OnTime, Late and Missed count workloads by queue. A workload is on time within the target that its class sets, late
	// within three times the target, and missed when it takes longer or is not completed at all.
	OnTime map[descriptor.QueueID]int
	Late   map[descriptor.QueueID]int
	Missed map[descriptor.QueueID]int
	// WastedShare and UsedShare are shares of the core-seconds of the whole fleet over the whole simulated time. An
	// attempt uses its cores from its start to its end, also while it makes no progress. Wasted is the use by attempts
	// that were stopped or failed, less the work that their checkpoints saved; used is that of all ended attempts.
	WastedShare float64
	UsedShare   float64
	// StopOrders counts the stop orders of the planner.
	StopOrders int
}

// Simulate runs a scenario for its Duration and cooldownTime of virtual time and returns the metrics. Equal scenarios
// and seeds give equal results.
func Simulate(s Scenario, seed uint64) Result {
	sm := newSimulation(s, seed)
	if s.LearnRunTimes {
		sm.core.Expectations = &estimator.Estimator{}
	}
	if s.RunTimesKnown {
		sm.core.TrueRunTime = func(id descriptor.JobID, _ int) time.Duration { return slices.Max(sm.arrivalByJob[id].runTimes) }
	}
	for sm.now < s.Duration+cooldownTime {
		sm.step()
	}
	return sm.result()
}

// simulation is the state of one run. Times are offsets from startTime unless they are of type time.Time.
type simulation struct {
	scenario          Scenario
	core              *planner.Core
	now               time.Duration
	startTime         time.Time
	arrivals          []*arrival
	nextArrival       int
	arrivalByJob      map[descriptor.JobID]*arrival
	completedAt       map[descriptor.JobID]time.Duration
	nodes             []*node
	nodeByName        map[string]*node
	orders            []planner.Order
	lastPlanAt        time.Duration
	wastedCoreSeconds float64
	usedCoreSeconds   float64
	stopOrderCount    int
	// failures draws the attempts that fail on a failing worker.
	failures *rand.Rand
}

// node is a simulated worker with its agent, which the planner addresses by the node's name.
type node struct {
	name            string
	index           int
	status          descriptor.WorkerStatus
	attempts        map[descriptor.AttemptID]*attempt
	ended           []descriptor.AttemptEnd
	lastEndSequence int64
	clock           descriptor.WorkerClock
	// reportDue is true when an attempt has ended since the last report, and before the first report.
	reportDue    bool
	lastReportAt time.Duration
	// speed is the worker's own speed.
	speed float64
}

// attempt is one attempt of a task that runs on a node.
type attempt struct {
	id        descriptor.AttemptID
	node      *node
	arrival   *arrival
	startedAt time.Duration
	// progress is the work done, in run time at full speed, including that of the checkpoint from which the attempt
	// resumed. It starts below resumedFrom by the time that the restore takes.
	progress    time.Duration
	resumedFrom time.Duration
	// stopAt is when an ordered stop takes effect, or 0 when none was ordered.
	stopAt time.Duration
	// failAt is when the attempt fails since its worker is failing, or 0 if it does not.
	failAt time.Duration
}

func newSimulation(s Scenario, seed uint64) *simulation {
	sm := &simulation{
		scenario: s, startTime: time.Unix(1_000_000, 0), arrivalByJob: map[descriptor.JobID]*arrival{}, completedAt: map[descriptor.JobID]time.Duration{},
		nodeByName: map[string]*node{}, failures: rand.New(rand.NewPCG(seed, failuresStream)),
		core: planner.New(planner.Limits{
			DistanceFactor: s.DistanceFactor, CheckpointInterval: s.CheckpointInterval, RestoreTime: s.RestoreTime, StopGrace: s.StopGrace, ReclaimTime: s.ReclaimTime,
		}),
	}
	speeds := rand.New(rand.NewPCG(seed, speedsStream))
	var accounts []descriptor.Account
	for i, g := range s.Guaranteed {
		accounts = append(accounts, descriptor.Account{Workspace: descriptor.WorkspaceID(fmt.Sprint(i)), Guaranteed: g})
	}
	sm.core.SetGuarantees(accounts)
	for i := range s.Racks * s.WorkersPerRack {
		rack := descriptor.RackID(fmt.Sprintf("r%02d", i/s.WorkersPerRack))
		n := &node{name: fmt.Sprintf("n%03d", i), index: i, attempts: map[descriptor.AttemptID]*attempt{}, reportDue: true}
		n.speed = lognormal(speeds, 1, s.SpeedSpread)
		n.status = descriptor.WorkerStatus{
			Incarnation: descriptor.Incarnation{Worker: descriptor.WorkerID(n.name), Born: 1}, Service: "s", Rack: rack, Capacity: s.WorkerCapacity,
		}
		sm.nodes = append(sm.nodes, n)
		sm.nodeByName[n.name] = n
	}
	sm.arrivals = s.drawArrivals(seed)
	slices.SortStableFunc(sm.arrivals, func(a, b *arrival) int { return cmp.Compare(a.at, b.at) })
	return sm
}

// virtualTime returns the current virtual time as the time.Time that the planner gets.
func (sm *simulation) virtualTime() time.Time { return sm.startTime.Add(sm.now) }

// step advances the simulation by one tick.
func (sm *simulation) step() {
	sm.now += tick
	sm.applyOrders()
	for sm.nextArrival < len(sm.arrivals) && sm.arrivals[sm.nextArrival].at <= sm.now {
		a := sm.arrivals[sm.nextArrival]
		sm.nextArrival++
		a.workload.Accepted = sm.virtualTime()
		sm.arrivalByJob[a.workload.ID] = a
		sm.core.Submit(planner.Record{Workload: a.workload}, sm.virtualTime())
	}
	sm.advanceAttempts()
	sm.report()
	nextPlanAt := sm.core.NextPlanAt()
	if sm.core.PlanNeeded() || sm.now-sm.lastPlanAt >= planInterval || !nextPlanAt.IsZero() && !nextPlanAt.After(sm.virtualTime()) {
		sm.lastPlanAt = sm.now
		sm.orders = append(sm.orders, sm.core.Plan(sm.virtualTime())...)
		sm.recordCompletions()
	}
}

// applyOrders hands the orders of the last tick to the nodes. A stopped attempt ends after 80 % of the stop grace.
func (sm *simulation) applyOrders() {
	for _, o := range sm.orders {
		n := sm.nodeByName[o.Node]
		if o.Stop {
			sm.stopOrderCount++
			if a := n.attempts[o.Attempt]; a != nil && a.stopAt == 0 {
				a.stopAt = sm.now + sm.scenario.StopGrace*8/10
			}
			continue
		}
		a := &attempt{id: o.Attempt, node: n, arrival: sm.arrivalByJob[o.Attempt.Task.Job], startedAt: sm.now}
		if o.Checkpoint != "" {
			if d, err := time.ParseDuration(o.Checkpoint); err == nil {
				a.resumedFrom, a.progress = d, d-sm.scenario.RestoreTime
			}
		}
		for _, f := range sm.scenario.Failing {
			if sm.now >= f.Start && sm.now < f.Start+f.Duration && n.index%f.EveryNth == 0 && sm.failures.Float64() < f.Share {
				a.failAt = sm.now + f.After
			}
		}
		n.attempts[o.Attempt] = a
		n.clock = max(n.clock+1, descriptor.WorkerClock(sm.now.Milliseconds()))
		sm.core.HandleStarted(o.Node, o.Incarnation, o.Attempt, n.clock, sm.virtualTime())
	}
	sm.orders = nil
}

// advanceAttempts lets all attempts run for a tick and ends those that are stopped, fail or complete. A first attempt
// that is to fail does so after half of its run time.
func (sm *simulation) advanceAttempts() {
	gangs := sm.groupByGang()
	for _, n := range sm.nodes {
		for id, a := range n.attempts {
			if a.stopAt > 0 && sm.now >= a.stopAt {
				sm.endAttempt(a, descriptor.OutcomeStopped)
				continue
			}
			if a.failAt > 0 && sm.now >= a.failAt {
				sm.endAttempt(a, descriptor.OutcomeFailed)
				continue
			}
			speed := sm.gangSpeed(a, gangs) * sm.workerSpeed(n)
			a.progress += time.Duration(speed * float64(tick))
			runTime := a.arrival.runTimes[id.Task.Index]
			if id.Attempt == 1 && a.arrival.firstAttemptFails[id.Task.Index] && a.progress > runTime/2 {
				sm.endAttempt(a, descriptor.OutcomeFailed)
			}
		}
	}
	for _, members := range gangs {
		sm.endCompletedGang(members)
	}
}

// gangKey identifies the attempts that complete together.
type gangKey struct {
	job     descriptor.JobID
	attempt int
	// taskIndex distinguishes the tasks of a step that is not a gang; it is -1 for gangs.
	taskIndex int
}

// groupByGang groups the running attempts by gangKey; a task that belongs to no gang forms a group of one.
func (sm *simulation) groupByGang() map[gangKey][]*attempt {
	groups := map[gangKey][]*attempt{}
	for _, n := range sm.nodes {
		for id, a := range n.attempts {
			key := gangKey{id.Task.Job, id.Attempt, -1}
			if !a.arrival.workload.Steps[0].Gang {
				key.taskIndex = id.Task.Index
			}
			groups[key] = append(groups[key], a)
		}
	}
	return groups
}

// gangSpeed returns the speed of an attempt relative to full speed: 0 while its gang is incomplete, and divided by
// DistanceFactor while a gang that should share a rack is spread over several.
func (sm *simulation) gangSpeed(a *attempt, gangs map[gangKey][]*attempt) float64 {
	step := &a.arrival.workload.Steps[0]
	if !step.Gang {
		return 1
	}
	members := gangs[gangKey{a.id.Task.Job, a.id.Attempt, -1}]
	if len(members) < step.Count {
		return 0
	}
	if step.SameRack && slices.ContainsFunc(members, func(m *attempt) bool { return m.node.status.Rack != members[0].node.status.Rack }) {
		return 1 / sm.scenario.DistanceFactor
	}
	return 1
}

// workerSpeed returns the speed of a node's worker relative to full speed, which the slowdowns of the scenario reduce.
func (sm *simulation) workerSpeed(n *node) float64 {
	speed := n.speed
	for _, s := range sm.scenario.Slowdowns {
		if sm.now >= s.Start && sm.now < s.Start+s.Duration && n.index%s.EveryNth == 0 {
			speed *= s.Speed
		}
	}
	return speed
}

// endCompletedGang ends the attempts of a group of groupByGang as done once all of them have completed their work.
func (sm *simulation) endCompletedGang(members []*attempt) {
	for _, a := range members {
		if a.progress < a.arrival.runTimes[a.id.Task.Index] {
			return
		}
	}
	for _, a := range members {
		if a.node.attempts[a.id] == a {
			sm.endAttempt(a, descriptor.OutcomeDone)
		}
	}
}

// endAttempt removes an attempt from its node and queues its end for the next report. Unless the attempt is done, the
// core-seconds that it used, less the work that its checkpoints saved since it was started, count as wasted.
func (sm *simulation) endAttempt(a *attempt, outcome descriptor.Outcome) {
	n := a.node
	delete(n.attempts, a.id)
	n.lastEndSequence++
	n.reportDue = true
	end := descriptor.AttemptEnd{Seq: n.lastEndSequence, AttemptID: a.id, Outcome: outcome}
	size := a.arrival.workload.Steps[0].Size
	spent := size.CoreSeconds(sm.now - a.startedAt)
	sm.usedCoreSeconds += spent
	if outcome != descriptor.OutcomeDone {
		saved := time.Duration(0)
		if a.arrival.workload.Steps[0].SavesProgress {
			saved = max(a.progress.Truncate(sm.scenario.CheckpointInterval), a.resumedFrom)
			if outcome == descriptor.OutcomeStopped {
				// A stop saves a checkpoint of its own.
				saved = max(a.progress, a.resumedFrom)
			}
			if saved > 0 {
				end.Checkpoint = saved.String()
			}
		}
		sm.wastedCoreSeconds += max(0, spent-size.CoreSeconds(saved-a.resumedFrom))
	}
	n.ended = append(n.ended, end)
}

// report sends the planner a report of each node on which an attempt has ended, and of every node at least each
// reportInterval.
func (sm *simulation) report() {
	for _, n := range sm.nodes {
		if !n.reportDue && sm.now-n.lastReportAt < reportInterval {
			continue
		}
		n.reportDue, n.lastReportAt = false, sm.now
		n.clock = max(n.clock+1, descriptor.WorkerClock(sm.now.Milliseconds()))
		observation := planner.Observation{Node: n.name, Status: n.status, Clock: n.clock, Ended: n.ended, AllEnds: true, Received: sm.virtualTime()}
		for _, id := range slices.SortedFunc(maps.Keys(n.attempts), func(a, b descriptor.AttemptID) int {
			return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Attempt, b.Attempt))
		}) {
			running := n.attempts[id]
			percent := min(100, int(100*running.progress/running.arrival.runTimes[id.Task.Index]))
			observation.Running = append(observation.Running, descriptor.AttemptStatus{AttemptID: id, Percent: max(percent, 0)})
		}
		sm.orders = append(sm.orders, sm.core.Observe(observation)...)
		n.ended = nil
	}
}

// recordCompletions records the completion time of the workloads that the planner has marked as done.
func (sm *simulation) recordCompletions() {
	for _, id := range sm.core.TakeChangedJobs() {
		if pr, ok := sm.core.Progress(id); ok && pr.State == planner.JobDone {
			if _, recorded := sm.completedAt[id]; !recorded {
				sm.completedAt[id] = sm.now
			}
		}
	}
}

// result computes the metrics. The value of a workload is that of its class times a weight, which grows with the work of
// the workload relative to the mean of its queue, from 0.3 up to 4. The formula models how users value their workloads.
func (sm *simulation) result() Result {
	metrics := Result{
		ValueShares: map[descriptor.QueueID]float64{}, OnTime: map[descriptor.QueueID]int{},
		Late: map[descriptor.QueueID]int{}, Missed: map[descriptor.QueueID]int{}, StopOrders: sm.stopOrderCount,
	}
	totalWork, arrivalCount := map[descriptor.QueueID]float64{}, map[descriptor.QueueID]float64{}
	for _, a := range sm.arrivals {
		totalWork[a.class.Queue] += a.coreSeconds()
		arrivalCount[a.class.Queue]++
	}
	possible := map[descriptor.QueueID]float64{}
	var earnedTotal, possibleTotal float64
	for _, a := range sm.arrivals {
		q := a.class.Queue
		weight := min(0.3+0.7*a.coreSeconds()/(totalWork[q]/arrivalCount[q]), 4)
		possible[q] += weight * a.class.Value
		possibleTotal += weight * a.class.Value
		earned := 0.0
		target := time.Duration(a.class.Stretch*float64(slices.Max(a.runTimes))) + a.class.Slack
		elapsed := sm.completedAt[a.workload.ID] - a.at
		switch {
		case sm.completedAt[a.workload.ID] == 0 || elapsed > 3*target:
			metrics.Missed[q]++
		case elapsed <= target:
			metrics.OnTime[q]++
			earned = weight * a.class.Value
		default:
			metrics.Late[q]++
			earned = weight * a.class.LateValue
		}
		metrics.ValueShares[q] += earned
		earnedTotal += earned
	}
	for q := range metrics.ValueShares {
		metrics.ValueShares[q] /= possible[q]
	}
	metrics.TotalShare = earnedTotal / possibleTotal
	metrics.NetShare = (earnedTotal - wasteCost*sm.wastedCoreSeconds) / possibleTotal
	fleetCoreSeconds := sm.scenario.WorkerCapacity.CoreSeconds(sm.now) * float64(len(sm.nodes))
	metrics.WastedShare, metrics.UsedShare = sm.wastedCoreSeconds/fleetCoreSeconds, sm.usedCoreSeconds/fleetCoreSeconds
	return metrics
}

// coreSeconds returns the work of a workload over all of its tasks.
func (a *arrival) coreSeconds() float64 {
	sum := 0.0
	for _, d := range a.runTimes {
		sum += a.workload.Steps[0].Size.CoreSeconds(d)
	}
	return sum
}
