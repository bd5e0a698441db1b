package replayer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"persimmontrail/pkg/descriptor"
)

// DefaultLoad is the default for GenerateOptions.Load.
const DefaultLoad = 0.75

// traceDuration is the length of a generated trace, which starts at 06:00.
const traceDuration = 24 * time.Hour

// GenerateOptions selects the trace to generate.
type GenerateOptions struct {
	// Deployment is Beaulieu or Destovka; empty means Beaulieu.
	Deployment string
	// BadDay adds bursts, wrong declarations of run times, jobs that can never complete, cancellations, faults and a
	// configuration change.
	BadDay bool
	Seed   uint64
	// Load is the accelerator time of the jobs of an ordinary day, except the urgent ones, as a share of the accelerator time of
	// the fleet; 0 means DefaultLoad.
	Load float64
}

// Generate generates a trace. Equal options give equal traces. For an unknown deployment the trace is empty, and Read and
// Replay reject it because its header does not name the format.
func Generate(o GenerateOptions) Trace {
	if o.Deployment == "" {
		o.Deployment = Beaulieu
	}
	if o.Load == 0 {
		o.Load = DefaultLoad
	}
	p, err := profileOf(o.Deployment)
	if err != nil {
		return Trace{}
	}
	g := generator{profile: p, options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed+1))}
	g.addOrdinaryDay()
	if o.BadDay {
		g.addBadDay()
	}
	sort.SliceStable(g.events, func(i, j int) bool { return g.events[i].At < g.events[j].At })
	return Trace{Header: g.header(), Events: g.events}
}

// generator collects the events of a trace.
type generator struct {
	profile
	options  GenerateOptions
	random   *rand.Rand
	events   []Event
	jobCount int
}

// header returns the header of the trace, with the outcomes that all generated traces state.
func (g *generator) header() Header {
	day := "ordinary"
	if g.options.BadDay {
		day = "bad"
	}
	return Header{
		Format: Format, Name: g.name + " " + day + " day", Deployment: g.name, Seed: g.options.Seed,
		Start: time.Date(2026, 11, 3, 6, 0, 0, 0, time.UTC), Duration: descriptor.Duration(traceDuration),
		CheckpointTime: descriptor.Duration(g.checkpointTime), Configuration: g.configuration, Fleet: g.fleet,
		Outcomes: []Outcome{
			{Name: OutcomeGuaranteeViolations},
			{Name: OutcomeUrgentWithinTarget, Class: g.urgentClass},
			{Name: OutcomeLargeWait, Limit: 0.5},
			{Name: OutcomeUtilisation, Limit: 5},
			{Name: OutcomeUnaccounted},
			{Name: OutcomeWrongRefusals},
			{Name: OutcomePartialGangs},
			{Name: OutcomeStartsInRemovedDomain},
			{Name: OutcomeRepeatedRuns},
			{Name: OutcomeInvalidDecisions},
		},
	}
}

// addOrdinaryDay adds jobs of each kind until the kind has its number of jobs and its share of the offered load.
func (g *generator) addOrdinaryDay() {
	fleetHours := 0.0
	for _, w := range g.fleet {
		fleetHours += float64(w.Accelerators) * traceDuration.Hours()
	}
	for _, k := range g.jobKinds {
		offeredHours := 0.0
		for i := 0; i < k.count || offeredHours < k.loadShare*g.options.Load*fleetHours; i++ {
			e := g.addJob(k, g.arrivalTime(k), g.runTime(k))
			offeredHours += float64(e.Job.Accelerators()) * e.RunTime.TimeDuration().Hours()
		}
	}
}

// arrivalTime returns a random arrival time for a job of kind k, as an offset from the start of the trace.
func (g *generator) arrivalTime(k jobKind) time.Duration {
	from, to := k.fromHour, k.toHour
	if g.random.Float64() < k.backgroundShare {
		from, to = 0, traceDuration.Hours()-2
	}
	return hours(from + (to-from)*g.random.Float64())
}

// runTime returns a random run time for a job of kind k, with the log-normal distribution and the limits that jobKind
// describes.
func (g *generator) runTime(k jobKind) time.Duration {
	d := time.Duration(float64(k.medianRunTime) * math.Exp(k.runTimeLogDeviation*g.random.NormFloat64()))
	return min(max(d, k.minRunTime), k.maxRunTime)
}

// addJob adds the arrival of a job of kind k. It returns a pointer to the event in g.events, which must not be used after the next
// event has been added.
func (g *generator) addJob(k jobKind, at, runTime time.Duration) *Event {
	shape := k.gangShapes[g.random.IntN(len(k.gangShapes))]
	region := g.randomRegion()
	if shape.tasks > 2 && region != g.fleet[0].Region {
		// The smaller region has only two workers.
		shape.tasks = 2
	}
	g.jobCount++
	job := &descriptor.Job{
		ID: descriptor.JobID(fmt.Sprintf("j%d", g.jobCount)), Workspace: g.randomWorkspace(), Class: k.class, Region: region,
		Tasks: shape.tasks, PerTask: g.taskResources(shape.acceleratorsPerTask), Adjacency: shape.adjacency,
		DeclaredRunTime: roundForTrace(g.declaredRunTime(runTime)), NonIdempotent: k.nonIdempotent,
	}
	g.events = append(g.events, Event{At: roundForTrace(at), Kind: JobArrives, Job: job, RunTime: roundForTrace(runTime)})
	return &g.events[len(g.events)-1]
}

// taskResources returns the resources of a task with n accelerators. Each accelerator comes with a tenth of a worker's cores
// and memory; as a worker has eight accelerators, it runs out of accelerators first.
func (g *generator) taskResources(n descriptor.Accelerators) descriptor.Resources {
	w := g.fleet[0]
	return descriptor.Resources{
		Cores: w.Cores / 10 * descriptor.Cores(n), Memory: w.Memory / 10 * descriptor.Megabytes(n), Accelerators: n,
	}
}

// declaredRunTime returns the declared run time of a job. Its ratio to the actual run time is log-normal, with a factor of
// about 1.65 per standard deviation. On a bad day, one declaration in eight is wrong by a factor of 5 to 20 in either
// direction. The result is at least 1 s.
func (g *generator) declaredRunTime(runTime time.Duration) time.Duration {
	factor := math.Exp(0.5 * g.random.NormFloat64())
	if g.options.BadDay && g.random.Float64() < 0.125 {
		factor = 5 + 15*g.random.Float64()
		if g.random.Float64() < 0.5 {
			factor = 1 / factor
		}
	}
	return max(time.Second, time.Duration(float64(runTime)*factor))
}

// randomRegion returns the region of the first worker with probability regionShares[0], otherwise that of the last worker.
func (g *generator) randomRegion() descriptor.RegionID {
	if g.random.Float64() < g.regionShares[0] {
		return g.fleet[0].Region
	}
	return g.fleet[len(g.fleet)-1].Region
}

// randomWorkspace returns a random workspace. The probability of each workspace is its share in workspaceShares.
func (g *generator) randomWorkspace() descriptor.WorkspaceID {
	x := g.random.Float64()
	for i, share := range g.workspaceShares {
		if x < share {
			return g.configuration.Workspaces[i].Name
		}
		x -= share
	}
	return g.configuration.Workspaces[0].Name
}

// addBadDay adds the bursts, faults, cancellations and the configuration change of a bad day.
func (g *generator) addBadDay() {
	g.addBursts()
	g.addImpossibleJobs()
	g.addWorkerFaults()
	g.addFailureDomainRemoval()
	g.addCancellations(hours(7), 2*time.Hour, 0.3)
	g.addCancellations(hours(13), time.Hour, 0.5)
	g.addConfigurationChange()
}

// addBursts adds bursts of urgent, small and large jobs.
func (g *generator) addBursts() {
	urgent, large := g.jobKinds[0], g.jobKinds[len(g.jobKinds)-1]
	small := g.jobKinds[1]
	small.gangShapes = oneAcceleratorGangs
	for range 120 {
		g.addJob(urgent, hours(5)+g.randomDuration(time.Minute), g.runTime(urgent))
	}
	for range 80 {
		g.addJob(small, hours(5.5)+g.randomDuration(5*time.Minute), 5*time.Minute+g.randomDuration(15*time.Minute))
	}
	for range 6 {
		g.addJob(large, hours(8)+g.randomDuration(2*time.Minute), 30*time.Minute+g.randomDuration(time.Hour))
	}
}

// addImpossibleJobs adds jobs that are larger than any failure domain, and jobs that fail on every worker.
func (g *generator) addImpossibleJobs() {
	k := g.jobKinds[len(g.jobKinds)-1]
	for i := range 3 {
		e := g.addJob(k, hours(3+float64(2*i)), time.Hour)
		e.Job.Tasks = 64
		e.Job.Adjacency = descriptor.LevelFailureDomain
	}
	for i := range 3 {
		e := g.addJob(g.jobKinds[1], hours(4+float64(2*i)), time.Hour)
		e.Fails = true
	}
}

// addWorkerFaults adds events by which one worker is bad for a while, and three workers fail and return.
func (g *generator) addWorkerFaults() {
	g.addWorkerEvent(WorkerTurnsBad, g.badWorker, hours(4.2))
	g.addWorkerEvent(WorkerTurnsGood, g.badWorker, hours(6.1))
	for i, w := range []int{0, 4, len(g.fleet) - 1} {
		at := hours(6.5+3*float64(i)) + g.randomDuration(time.Hour)
		g.addWorkerEvent(WorkerFails, g.fleet[w].ID, at)
		g.addWorkerEvent(WorkerReturns, g.fleet[w].ID, at+10*time.Minute+g.randomDuration(30*time.Minute))
	}
}

// addFailureDomainRemoval adds events that take a failure domain out of service and return it. Its workers are switched off ten
// minutes after the removal, and on again two minutes before the return.
func (g *generator) addFailureDomainRemoval() {
	const outHour, returnHour = 9.0, 10.5
	g.events = append(g.events, Event{At: roundForTrace(hours(outHour)), Kind: FailureDomainOut, FailureDomain: g.removedDomain})
	for _, w := range g.fleet {
		if w.FailureDomain == g.removedDomain {
			g.addWorkerEvent(WorkerFails, w.ID, hours(outHour)+10*time.Minute)
			g.addWorkerEvent(WorkerReturns, w.ID, hours(returnHour)-2*time.Minute)
		}
	}
	g.events = append(g.events, Event{At: roundForTrace(hours(returnHour)), Kind: FailureDomainIn, FailureDomain: g.removedDomain})
}

// addCancellations cancels a share of the jobs that arrived within the given period before the offset at. The cancellations
// follow within 30 s after it.
func (g *generator) addCancellations(at, period time.Duration, share float64) {
	for _, e := range g.events {
		arrivalOffset := e.At.TimeDuration()
		if e.Kind != JobArrives || arrivalOffset >= at || arrivalOffset < at-period || g.random.Float64() >= share {
			continue
		}
		key := e.Job.Key()
		g.events = append(g.events, Event{At: roundForTrace(at + g.randomDuration(30*time.Second)), Kind: JobCancelled, Key: &key})
	}
}

// addConfigurationChange doubles the first guarantee of the third workspace 12 h after the start of the trace.
func (g *generator) addConfigurationChange() {
	changed := g.configuration
	changed.Revision++
	changed.Workspaces = append([]descriptor.Workspace(nil), changed.Workspaces...)
	w := &changed.Workspaces[2]
	w.Guarantees = append([]descriptor.Shape(nil), w.Guarantees...)
	w.Guarantees[0].Count = 2
	g.events = append(g.events, Event{At: roundForTrace(hours(12)), Kind: ConfigurationChanges, Configuration: &changed})
}

func (g *generator) addWorkerEvent(k EventKind, id descriptor.WorkerID, at time.Duration) {
	g.events = append(g.events, Event{At: roundForTrace(at), Kind: k, Worker: id})
}

// randomDuration returns a uniformly distributed duration below d.
func (g *generator) randomDuration(d time.Duration) time.Duration {
	return time.Duration(g.random.Float64() * float64(d))
}

func hours(h float64) time.Duration { return time.Duration(h * float64(time.Hour)) }

// roundForTrace rounds to 100 ms to keep traces short.
func roundForTrace(d time.Duration) descriptor.Duration {
	return descriptor.Duration(d.Round(100 * time.Millisecond))
}
