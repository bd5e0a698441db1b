package replayer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"persimmontrail/pkg/descriptor"
)

// DefaultLoad is the offered accelerator time as a share of the fleet's.
const DefaultLoad = 0.75

// traceDay is the length of a generated trace, which starts at 06:00.
const traceDay = 24 * time.Hour

// GenerateOptions selects a profile.
type GenerateOptions struct {
	// Deployment is Beaulieu or Destovka; empty means Beaulieu.
	Deployment string
	// Bad adds bursts, wrong declarations, jobs that can never run, cancellations and faults.
	Bad  bool
	Seed uint64
	// Load is the offered accelerator time of the ordinary work as a share of the fleet's; 0 means DefaultLoad.
	Load float64
}

// Generate makes a trace. Equal options give equal traces. An unknown deployment gives a trace without a format, which Read and Replay refuse.
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
	g.ordinaryDay()
	if o.Bad {
		g.badDay()
	}
	sort.SliceStable(g.events, func(i, j int) bool { return g.events[i].At < g.events[j].At })
	return Trace{Header: g.header(), Events: g.events}
}

type generator struct {
	profile
	options GenerateOptions
	random  *rand.Rand
	events  []Event
	number  int
}

func (g *generator) header() Header {
	day := "ordinary"
	if g.options.Bad {
		day = "bad"
	}
	return Header{
		Format: Format, Name: g.name + " " + day + " day", Deployment: g.name, Seed: g.options.Seed,
		Start: time.Date(2026, 11, 3, 6, 0, 0, 0, time.UTC), Duration: descriptor.Duration(traceDay),
		CheckpointTime: descriptor.Duration(g.checkpointTime), Configuration: g.configuration, Fleet: g.fleet,
		Outcomes: []Outcome{
			{Name: OutcomeGuaranteeViolations},
			{Name: OutcomeUrgentWithinTarget, Class: g.urgent},
			{Name: OutcomeLargeWait, Limit: 0.5},
			{Name: OutcomeUtilisation, Limit: 5},
			{Name: OutcomeUnaccounted},
			{Name: OutcomeWrongRefusals},
			{Name: OutcomePartialGangs},
			{Name: OutcomeRemovedDomain},
			{Name: OutcomeRepeatedRuns},
			{Name: OutcomeInvalidDecisions},
		},
	}
}

// ordinaryDay adds jobs of each class until the class has its share of the offered load.
func (g *generator) ordinaryDay() {
	fleet := 0.0
	for _, w := range g.fleet {
		fleet += float64(w.Accelerators) * traceDay.Hours()
	}
	for _, k := range g.kinds {
		offered := 0.0
		for i := 0; i < k.count || offered < k.loadShare*g.options.Load*fleet; i++ {
			e := g.job(k, g.arrival(k), g.runTime(k))
			offered += float64(e.Job.Accelerators()) * e.RunTime.Std().Hours()
		}
	}
}

func (g *generator) arrival(k workKind) time.Duration {
	from, to := k.from, k.to
	if g.random.Float64() < k.background {
		from, to = 0, traceDay.Hours()-2
	}
	return hours(from + (to-from)*g.random.Float64())
}

func (g *generator) runTime(k workKind) time.Duration {
	d := time.Duration(float64(k.median) * math.Exp(k.spread*g.random.NormFloat64()))
	return min(max(d, k.shortest), k.longest)
}

// job adds the arrival of a job of kind k.
func (g *generator) job(k workKind, at, run time.Duration) *Event {
	shape := k.gangs[g.random.IntN(len(k.gangs))]
	region := g.region()
	if shape.tasks > 2 && region != g.fleet[0].Region {
		// The smaller region has two workers.
		shape.tasks = 2
	}
	g.number++
	job := &descriptor.Job{
		ID: descriptor.JobID(fmt.Sprintf("j%d", g.number)), Workspace: g.workspace(), Class: k.class, Region: region,
		Tasks: shape.tasks, PerTask: g.resources(shape.accelerators), Adjacency: shape.adjacency,
		DeclaredRunTime: rounded(g.declared(run)), NonIdempotent: k.nonIdempotent,
	}
	g.events = append(g.events, Event{At: rounded(at), Kind: JobArrives, Job: job, RunTime: rounded(run)})
	return &g.events[len(g.events)-1]
}

// resources in proportion to the accelerators, so that accelerators are what runs out first.
func (g *generator) resources(n descriptor.Accelerators) descriptor.Resources {
	w := g.fleet[0]
	return descriptor.Resources{
		Cores: w.Cores / 10 * descriptor.Cores(n), Memory: w.Memory / 10 * descriptor.Megabytes(n), Accelerators: n,
	}
}

// declared run times are off by a factor of 1.6 at one standard deviation. On a bad day one in eight is off by 5 to 20 in either direction.
func (g *generator) declared(run time.Duration) time.Duration {
	factor := math.Exp(0.5 * g.random.NormFloat64())
	if g.options.Bad && g.random.Float64() < 0.125 {
		factor = 5 + 15*g.random.Float64()
		if g.random.Float64() < 0.5 {
			factor = 1 / factor
		}
	}
	return max(time.Second, time.Duration(float64(run)*factor))
}

func (g *generator) region() descriptor.RegionID {
	if g.random.Float64() < g.regionShares[0] {
		return g.fleet[0].Region
	}
	return g.fleet[len(g.fleet)-1].Region
}

func (g *generator) workspace() descriptor.WorkspaceID {
	x := g.random.Float64()
	for i, share := range g.workspaceShares {
		if x < share {
			return g.configuration.Workspaces[i].Name
		}
		x -= share
	}
	return g.configuration.Workspaces[0].Name
}

// badDay adds the faults of the fault model that concern the scheduler core.
func (g *generator) badDay() {
	g.bursts()
	g.hopelessJobs()
	g.workerFaults()
	g.failureDomainOut()
	g.cancellations(hours(7), 2*time.Hour, 0.3)
	g.cancellations(hours(13), time.Hour, 0.5)
	g.configurationChange()
}

// bursts of urgent, small and large jobs.
func (g *generator) bursts() {
	urgent, large := g.kinds[0], g.kinds[len(g.kinds)-1]
	small := g.kinds[1]
	small.gangs = singleGang
	for range 120 {
		g.job(urgent, hours(5)+g.within(time.Minute), g.runTime(urgent))
	}
	for range 80 {
		g.job(small, hours(5.5)+g.within(5*time.Minute), 5*time.Minute+g.within(15*time.Minute))
	}
	for range 6 {
		g.job(large, hours(8)+g.within(2*time.Minute), 30*time.Minute+g.within(time.Hour))
	}
}

// hopelessJobs are larger than any failure domain, or fail wherever they start.
func (g *generator) hopelessJobs() {
	k := g.kinds[len(g.kinds)-1]
	for i := range 3 {
		e := g.job(k, hours(3+float64(2*i)), time.Hour)
		e.Job.Tasks = 64
		e.Job.Adjacency = descriptor.LevelFailureDomain
	}
	for i := range 3 {
		e := g.job(g.kinds[1], hours(4+float64(2*i)), time.Hour)
		e.Fails = true
	}
}

func (g *generator) workerFaults() {
	g.worker(WorkerTurnsBad, g.badWorker, hours(4.2))
	g.worker(WorkerTurnsGood, g.badWorker, hours(6.1))
	for i, w := range []int{0, 4, len(g.fleet) - 1} {
		at := hours(6.5+3*float64(i)) + g.within(time.Hour)
		g.worker(WorkerFails, g.fleet[w].ID, at)
		g.worker(WorkerReturns, g.fleet[w].ID, at+10*time.Minute+g.within(30*time.Minute))
	}
}

// failureDomainOut takes a failure domain out; ten minutes later its machines are switched off, and on again before it returns.
func (g *generator) failureDomainOut() {
	const out, back = 9.0, 10.5
	g.events = append(g.events, Event{At: rounded(hours(out)), Kind: FailureDomainOut, FailureDomain: g.removed})
	for _, w := range g.fleet {
		if w.FailureDomain == g.removed {
			g.worker(WorkerFails, w.ID, hours(out)+10*time.Minute)
			g.worker(WorkerReturns, w.ID, hours(back)-2*time.Minute)
		}
	}
	g.events = append(g.events, Event{At: rounded(hours(back)), Kind: FailureDomainIn, FailureDomain: g.removed})
}

// cancellations of a share of the jobs that arrived in the time before.
func (g *generator) cancellations(at, before time.Duration, share float64) {
	for _, e := range g.events {
		arrived := e.At.Std()
		if e.Kind != JobArrives || arrived >= at || arrived < at-before || g.random.Float64() >= share {
			continue
		}
		key := e.Job.Key()
		g.events = append(g.events, Event{At: rounded(at + g.within(30*time.Second)), Kind: JobCancelled, Key: &key})
	}
}

// configurationChange doubles the guarantee of the third workspace.
func (g *generator) configurationChange() {
	next := g.configuration
	next.Revision++
	next.Workspaces = append([]descriptor.Workspace(nil), next.Workspaces...)
	w := &next.Workspaces[2]
	w.Guarantees = append([]descriptor.Shape(nil), w.Guarantees...)
	w.Guarantees[0].Count = 2
	g.events = append(g.events, Event{At: rounded(hours(12)), Kind: ConfigurationChanges, Configuration: &next})
}

func (g *generator) worker(k EventKind, id descriptor.WorkerID, at time.Duration) {
	g.events = append(g.events, Event{At: rounded(at), Kind: k, Worker: id})
}

func (g *generator) within(d time.Duration) time.Duration {
	return time.Duration(g.random.Float64() * float64(d))
}

func hours(h float64) time.Duration { return time.Duration(h * float64(time.Hour)) }

// rounded to 100 ms keeps traces short.
func rounded(d time.Duration) descriptor.Duration {
	return descriptor.Duration(d.Round(100 * time.Millisecond))
}
