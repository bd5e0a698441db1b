// Package simulator runs the planner against a seeded load in virtual time, without network, store or processes.
//
// It is used to compare planning policies over many seeds. A gang is a set of tasks that start together or not at all,
// and an attempt is a numbered start of a task. A node has one worker and its agent. A plan is the planner's choice, in
// one call, of the attempts to stop and to start. The Slack of a class is the fixed part of its target time. Virtual
// time advances in ticks. Simulated workers carry out orders one tick after they were given, end stopped tasks within
// the stop grace, let a gang make progress only while all of its tasks run, and slow down gangs that should share a
// rack but are spread over several.
package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Class describes one class of workloads; all workloads of a class go to the same queue.
type Class struct {
	Queue    descriptor.QueueID
	Priority int
	// ArrivalsPerSecond is the mean arrival rate.
	ArrivalsPerSecond float64
	// Tasks is the mean number of tasks before it is limited to MaxTasks; TaskCountSpread is the standard deviation of
	// its logarithm.
	Tasks           float64
	TaskCountSpread float64
	MaxTasks        int
	// Accelerators lists the possible numbers of accelerators per task, drawn with equal probability.
	Accelerators []descriptor.Accelerators
	Cores        descriptor.MilliCores
	Memory       descriptor.Megabytes
	// RunTime is the mean true run time of a task before it is limited to MaxRunTime; RunTimeSpread is the standard
	// deviation of its logarithm.
	RunTime       time.Duration
	RunTimeSpread float64
	MaxRunTime    time.Duration
	// EstimateError is the largest relative error of the declared run times.
	EstimateError float64
	// Stretch and Slack define the target for the time to completion: Stretch times the run time of the workload's longest
	// task, plus Slack.
	Stretch float64
	Slack   time.Duration
	// GangShare is the share of workloads that run as a gang.
	GangShare float64
	// SameRackShare is the share of gangs that ask for a single rack, provided that they fit into one.
	SameRackShare float64
	// SavesProgressShare is the share of workloads that save checkpoints.
	SavesProgressShare float64
	// Value is earned by a workload that completes on time, LateValue by one that completes late. Both are for a
	// workload with the mean work of its queue.
	Value     float64
	LateValue float64
	// FailureShare is the share of tasks whose first attempt fails.
	FailureShare float64
}

// Burst multiplies the arrival rate of one queue for a while.
type Burst struct {
	Queue    descriptor.QueueID
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Slowdown multiplies the speed of some workers by Speed for a while; at speed 0 their tasks make no progress.
type Slowdown struct {
	Start    time.Duration
	Duration time.Duration
	// EveryNth selects the workers whose index is a multiple of it.
	EveryNth int
	Speed    float64
}

// Failing makes a share of the attempts fail that some workers start in a period, each at the time After its start.
type Failing struct {
	Start    time.Duration
	Duration time.Duration
	// EveryNth selects the workers whose index is a multiple of it.
	EveryNth int
	Share    float64
	After    time.Duration
}

// Scenario describes a fleet and its load.
type Scenario struct {
	Name           string
	Racks          int
	WorkersPerRack int
	WorkerCapacity descriptor.Capacity
	Classes        []Class
	Bursts         []Burst
	// Slowdowns may overlap; the speeds of overlapping ones are multiplied.
	Slowdowns []Slowdown
	Failing   []Failing
	// SpeedSpread is the standard deviation of the logarithm of the workers' own speeds, whose mean is 1.
	SpeedSpread float64
	// LearnRunTimes lets the planner learn the distributions of run times and the speeds of workers.
	LearnRunTimes bool
	// RunTimesKnown tells the planner the true run times. No deployment can do this; it bounds what better expectations
	// can gain.
	RunTimesKnown bool
	// Guaranteed is the number of guaranteed accelerators of each workspace. Each workload belongs to a workspace that
	// is drawn with equal probability.
	Guaranteed []descriptor.Accelerators
	// Duration is the period in which workloads arrive.
	Duration time.Duration
	// The following fields have the meaning of those of planner.Limits. Here, DistanceFactor only slows down gangs that
	// should share a rack.
	StopGrace          time.Duration
	ReclaimTime        time.Duration
	DistanceFactor     float64
	CheckpointInterval time.Duration
	RestoreTime        time.Duration
}

// Scenarios returns the simulated deployments. Today has today's fleet and load. The others have the fleet and load
// that users expect after growth: Overload is the base, FloodOfSmall adds a burst of workloads with small tasks (queue
// Nest), StandingStill adds slow and halted workers, PartFailing workers that fail some or all that they start, and Uneven
// workers of different speeds. All of them have the burst of queue Preview.
func Scenarios() []Scenario {
	accelerators := []descriptor.Accelerators{1, 2, 4, 8, 8}
	drafts := Class{
		Queue: "Draft", Priority: 1, ArrivalsPerSecond: 0.8, Tasks: 6, TaskCountSpread: 0.8, MaxTasks: 36, Accelerators: accelerators,
		Cores: 26000, Memory: 53000, RunTime: 6800 * time.Millisecond, RunTimeSpread: 0.3, MaxRunTime: 11 * time.Second,
		EstimateError: 0.9, Stretch: 3, Slack: 1200 * time.Millisecond, GangShare: 1, SameRackShare: 0.6, SavesProgressShare: 0.45,
		Value: 3, LateValue: 0.9, FailureShare: 0.005,
	}
	previews := Class{
		Queue: "Preview", Priority: 0, ArrivalsPerSecond: 2.2, Tasks: 5, TaskCountSpread: 0.8, MaxTasks: 32, Accelerators: accelerators,
		Cores: 7500, Memory: 20000, RunTime: 2500 * time.Millisecond, RunTimeSpread: 0.5, MaxRunTime: 8 * time.Second,
		EstimateError: 0.2, Stretch: 1.5, Slack: 400 * time.Millisecond, GangShare: 1, SameRackShare: 0.8,
		Value: 4, LateValue: 0.8, FailureShare: 0.02,
	}
	nests := Class{
		Queue: "Nest", Priority: 2, ArrivalsPerSecond: 0.6, Tasks: 39, TaskCountSpread: 0.8, MaxTasks: 220,
		Accelerators: []descriptor.Accelerators{1}, Cores: 5600, Memory: 11000, RunTime: 6100 * time.Millisecond, RunTimeSpread: 0.3,
		MaxRunTime: 11 * time.Second, EstimateError: 0.9, Stretch: 3, Slack: 3 * time.Second, SavesProgressShare: 0.45,
		Value: 1, LateValue: 0.3, FailureShare: 0.02,
	}
	overload := Scenario{
		Name: "Overload", Racks: 15, WorkersPerRack: 4, WorkerCapacity: descriptor.Capacity{Cores: 64000, Memory: 262144, Accelerators: 8},
		Classes: []Class{drafts, previews, nests}, Duration: 45 * time.Second, StopGrace: 400 * time.Millisecond,
		ReclaimTime: 2900 * time.Millisecond, DistanceFactor: 3, CheckpointInterval: time.Second, RestoreTime: 600 * time.Millisecond,
		Guaranteed: []descriptor.Accelerators{60, 60, 30, 30, 30, 30, 15, 15, 15, 15},
		Bursts:     []Burst{{Queue: "Preview", Start: 5 * time.Second, Duration: 6 * time.Second, Factor: 2.2}},
	}
	floodOfSmall := overload
	floodOfSmall.Name = "FloodOfSmall"
	floodOfSmall.Bursts = append([]Burst{{Queue: "Nest", Start: 2 * time.Second, Duration: 4 * time.Second, Factor: 4}}, overload.Bursts...)
	standingStill := overload
	standingStill.Name = "StandingStill"
	standingStill.Slowdowns = []Slowdown{
		{Start: 6 * time.Second, Duration: 6 * time.Second, EveryNth: 8},
		{Start: 20 * time.Second, Duration: 7 * time.Second, EveryNth: 7, Speed: 0.16},
	}
	partFailing := overload
	partFailing.Name = "PartFailing"
	partFailing.Failing = []Failing{
		{Start: 8 * time.Second, Duration: 6 * time.Second, EveryNth: 12, Share: 1, After: 60 * time.Millisecond},
		{Start: 20 * time.Second, Duration: 7 * time.Second, EveryNth: 7, Share: 0.45, After: 300 * time.Millisecond},
	}
	uneven := overload
	uneven.Name, uneven.SpeedSpread = "Uneven", 0.25
	today := overload
	today.Name, today.Racks, today.WorkersPerRack = "Today", 4, 3
	today.WorkerCapacity.Memory = 131072
	today.Guaranteed = []descriptor.Accelerators{16, 16, 12, 8}
	today.Classes = []Class{drafts, previews, nests}
	for i, rate := range []float64{0.3, 0.45, 0.18} {
		c := &today.Classes[i]
		c.ArrivalsPerSecond = rate
		c.Tasks = []float64{1.5, 3.4, 9.2}[i]
		c.RunTime = []time.Duration{11 * time.Second, 2500 * time.Millisecond, 7600 * time.Millisecond}[i]
	}
	return []Scenario{overload, floodOfSmall, standingStill, today, partFailing, uneven}
}

// arrival is a workload together with its arrival time and true behavior, which the planner does not see.
type arrival struct {
	at       time.Duration
	class    *Class
	workload descriptor.Workload
	// runTimes holds the true run time of each task, and firstAttemptFails whether its first attempt fails.
	runTimes          []time.Duration
	firstAttemptFails []bool
}

// drawArrivals draws all workloads of the scenario, sorted by class and within a class by time.
func (s *Scenario) drawArrivals(seed uint64) []*arrival {
	var arrivals []*arrival
	for i := range s.Classes {
		c := &s.Classes[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		maxRate := c.ArrivalsPerSecond * s.maxRateFactor(c.Queue)
		for at := time.Duration(0); ; {
			at += time.Duration(r.ExpFloat64() / maxRate * float64(time.Second))
			if at > s.Duration {
				break
			}
			// Thinning of a Poisson process: candidates arrive at the maximum rate and are accepted with the
			// probability of the current rate to the maximum.
			if r.Float64() < s.rateFactor(c.Queue, at)/s.maxRateFactor(c.Queue) {
				arrivals = append(arrivals, s.drawArrival(c, r, at, len(arrivals)))
			}
		}
	}
	return arrivals
}

// rateFactor returns the factor by which bursts multiply the arrival rate of a queue at the time given.
func (s *Scenario) rateFactor(q descriptor.QueueID, at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if b.Queue == q && at >= b.Start && at < b.Start+b.Duration {
			factor *= b.Factor
		}
	}
	return factor
}

// maxRateFactor returns the largest factor of the bursts of a queue. The bursts of a queue must not overlap.
func (s *Scenario) maxRateFactor(q descriptor.QueueID) float64 {
	factor := 1.0
	for _, b := range s.Bursts {
		if b.Queue == q {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}

// lognormal draws from a log-normal distribution with the given mean; spread is the standard deviation of the
// logarithm.
func lognormal(r *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*r.NormFloat64()-spread*spread/2)
}

// drawArrival draws a workload of a class; number makes its id unique.
func (s *Scenario) drawArrival(c *Class, r *rand.Rand, at time.Duration, number int) *arrival {
	taskCount := min(max(int(math.Round(lognormal(r, c.Tasks, c.TaskCountSpread))), 1), c.MaxTasks)
	runTime := min(time.Duration(lognormal(r, float64(c.RunTime), c.RunTimeSpread)), c.MaxRunTime)
	a := &arrival{at: at, class: c}
	// The true run times of a workload's tasks differ by up to 15 % from that of the workload.
	for range taskCount {
		a.runTimes = append(a.runTimes, time.Duration(float64(runTime)*(1+0.15*(2*r.Float64()-1))))
		a.firstAttemptFails = append(a.firstAttemptFails, r.Float64() < c.FailureShare)
	}
	step := descriptor.Step{
		Count:         taskCount,
		Size:          descriptor.Capacity{Cores: c.Cores, Memory: c.Memory, Accelerators: c.Accelerators[r.IntN(len(c.Accelerators))]},
		RunTime:       time.Duration(float64(runTime) * (1 + c.EstimateError*(2*r.Float64()-1))),
		Gang:          r.Float64() < c.GangShare,
		SavesProgress: r.Float64() < c.SavesProgressShare,
	}
	// A gang is only restricted to one rack when it fits into one, as in the users' workloads.
	sameRack := r.Float64() < c.SameRackShare
	step.SameRack = sameRack && step.Gang && taskCount <= s.WorkersPerRack*s.WorkerCapacity.CountFitting(step.Size, taskCount)
	a.workload = descriptor.Workload{
		ID: descriptor.JobID(fmt.Sprintf("%s-%04d", c.Queue, number)), Queue: c.Queue, Service: "s", Priority: c.Priority,
		Workspace: descriptor.WorkspaceID(fmt.Sprint(r.IntN(len(s.Guaranteed)))), MaxAttempts: 4, Stretch: c.Stretch, Slack: c.Slack,
		Steps: []descriptor.Step{step},
	}
	return a
}
