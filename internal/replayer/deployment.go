package replayer

import (
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

// profile describes the fleet, the configuration and the jobs of one deployment.
type profile struct {
	name           string
	checkpointTime time.Duration
	configuration  descriptor.Configuration
	fleet          []descriptor.Worker
	// workspaceShares and regionShares are the shares of the arriving jobs that belong to each workspace and each region.
	workspaceShares []float64
	regionShares    []float64
	jobKinds        []jobKind
	urgentClass     descriptor.ClassID
	// removedDomain is the failure domain that operators take out of service on a bad day.
	removedDomain descriptor.FailureDomainID
	// badWorker is the worker on which all tasks fail for a while on a bad day.
	badWorker descriptor.WorkerID
}

// jobKind describes the jobs of one class.
type jobKind struct {
	class         descriptor.ClassID
	nonIdempotent bool
	// loadShare is the share of the offered accelerator time that jobs of this kind take. If it is 0, the number of
	// generated jobs is count.
	loadShare float64
	count     int
	// gangShapes are chosen with equal probability.
	gangShapes []gangShape
	// Run times are log-normal with the median medianRunTime, and are limited to the range from minRunTime to maxRunTime.
	medianRunTime, minRunTime, maxRunTime time.Duration
	// runTimeLogDeviation is the standard deviation of the logarithm of the run time.
	runTimeLogDeviation float64
	// Jobs arrive uniformly from fromHour to toHour, counted from the start of the trace at 06:00. A share of backgroundShare
	// arrives uniformly from the start until two hours before the end instead.
	fromHour, toHour, backgroundShare float64
}

// gangShape is the number of tasks of a job, the accelerators of each task and the adjacency that the job requires.
type gangShape struct {
	tasks               int
	acceleratorsPerTask descriptor.Accelerators
	adjacency           descriptor.Level
}

// Beaulieu and Destovka are the values of GenerateOptions.Deployment for which there is a profile.
const (
	Beaulieu = "Beaulieu"
	Destovka = "Dešťovka"
)

// profileOf returns the profile of Beaulieu or Destovka, and an error for any other deployment.
func profileOf(deployment string) (profile, error) {
	switch deployment {
	case Beaulieu:
		return beaulieuProfile(), nil
	case Destovka:
		return destovkaProfile(), nil
	}
	return profile{}, fmt.Errorf("no profile for deployment %q, want %s or %s", deployment, Beaulieu, Destovka)
}

// newRack returns the workers of one rack, numbered from 1. Each has the given cores and memory and 8 accelerators.
func newRack(name string, domain descriptor.FailureDomainID, region descriptor.RegionID, workers int, cores descriptor.Cores, memory descriptor.Megabytes) []descriptor.Worker {
	var rack []descriptor.Worker
	for i := range workers {
		rack = append(rack, descriptor.Worker{
			ID: descriptor.WorkerID(fmt.Sprintf("%s-%d", name, i+1)), Rack: descriptor.RackID(name),
			FailureDomain: domain, Region: region, Cores: cores, Memory: memory, Accelerators: 8, Guard: true,
		})
	}
	return rack
}

func minutes(n float64) descriptor.Duration { return descriptor.Duration(n * float64(time.Minute)) }

// newShape returns a shape of n accelerators that lie within one adjacency unit of the given level in a region.
func newShape(n descriptor.Accelerators, level descriptor.Level, region descriptor.RegionID) descriptor.Shape {
	return descriptor.Shape{Accelerators: n, Adjacency: level, Region: region}
}

// Gang shapes of both deployments. Large jobs take two or three whole workers of a rack.
var (
	oneAcceleratorGangs = []gangShape{{1, 1, descriptor.LevelWorker}}
	twoAcceleratorGangs = []gangShape{{1, 2, descriptor.LevelWorker}}
	mediumGangs         = []gangShape{{1, 4, descriptor.LevelWorker}, {1, 8, descriptor.LevelWorker}, {2, 4, descriptor.LevelRack}}
	largeGangs          = []gangShape{{2, 8, descriptor.LevelRack}, {3, 8, descriptor.LevelRack}}
)

func beaulieuProfile() profile {
	const south, north = "qc-sud", "qc-nord"
	fleet := newRack("montreal-a", "Montreal", south, 3, 64, 128_000)
	fleet = append(fleet, newRack("montreal-b", "Montreal", south, 3, 64, 128_000)...)
	fleet = append(fleet, newRack("sherbrooke-a", "Sherbrooke", south, 3, 64, 128_000)...)
	fleet = append(fleet, newRack("saguenay-a", "Saguenay", north, 2, 64, 128_000)...)
	return profile{
		name: Beaulieu, checkpointTime: 6 * time.Second, fleet: fleet,
		configuration: descriptor.Configuration{
			Revision: 1,
			Workspaces: []descriptor.Workspace{
				{Name: "beaumont", Guarantees: []descriptor.Shape{newShape(24, descriptor.LevelRack, south), newShape(8, descriptor.LevelWorker, north)}},
				{Name: "couture-roy", Guarantees: []descriptor.Shape{newShape(8, descriptor.LevelWorker, south), newShape(4, descriptor.LevelWorker, south)}},
				{Name: "tremblay", Guarantees: []descriptor.Shape{newShape(4, descriptor.LevelWorker, south)}},
				{Name: "lavoie", Guarantees: []descriptor.Shape{newShape(4, descriptor.LevelWorker, south), newShape(4, descriptor.LevelWorker, north)}},
			},
			Classes: []descriptor.Class{
				{Name: "Preview", FinishWithin: minutes(2), Share: 1},
				{Name: "Draft", FinishWithin: minutes(240), Share: 1},
				{Name: "Nesting", FinishWithin: minutes(90), Share: 0.5, NonIdempotent: true},
				{Name: "Overnight", FinishWithin: minutes(720), Share: 1},
			},
			FailureDomains: []descriptor.FailureDomain{{Name: "Montreal", Region: south}, {Name: "Sherbrooke", Region: south}, {Name: "Saguenay", Region: north}},
		},
		workspaceShares: []float64{0.35, 0.3, 0.2, 0.15},
		regionShares:    []float64{0.82, 0.18},
		jobKinds: []jobKind{
			{class: "Preview", count: 400, gangShapes: oneAcceleratorGangs, medianRunTime: 35 * time.Second, minRunTime: 15 * time.Second, maxRunTime: 75 * time.Second, runTimeLogDeviation: 0.4, fromHour: 3, toHour: 12},
			{class: "Draft", loadShare: 0.5, gangShapes: mediumGangs, medianRunTime: 50 * time.Minute, minRunTime: 10 * time.Minute, maxRunTime: 3 * time.Hour, runTimeLogDeviation: 0.6, fromHour: 1, toHour: 15, backgroundShare: 0.2},
			{class: "Nesting", nonIdempotent: true, loadShare: 0.1, gangShapes: twoAcceleratorGangs, medianRunTime: 20 * time.Minute, minRunTime: 5 * time.Minute, maxRunTime: time.Hour, runTimeLogDeviation: 0.5, fromHour: 2, toHour: 13, backgroundShare: 0.1},
			{class: "Overnight", loadShare: 0.4, gangShapes: largeGangs, medianRunTime: time.Hour, minRunTime: 30 * time.Minute, maxRunTime: 4 * time.Hour, runTimeLogDeviation: 0.5, fromHour: 8, toHour: 17, backgroundShare: 0.4},
		},
		urgentClass: "Preview", removedDomain: "Sherbrooke", badWorker: "montreal-a-2",
	}
}

func destovkaProfile() profile {
	const south, north = "Morava", "Čechy"
	fleet := newRack("brno-a", "Brno", south, 3, 128, 256_000)
	fleet = append(fleet, newRack("brno-b", "Brno", south, 3, 128, 256_000)...)
	fleet = append(fleet, newRack("olomouc-a", "Olomouc", south, 3, 128, 256_000)...)
	fleet = append(fleet, newRack("praha-a", "Praha", north, 2, 128, 256_000)...)
	return profile{
		name: Destovka, checkpointTime: 4 * time.Second, fleet: fleet,
		configuration: descriptor.Configuration{
			Revision: 1,
			Workspaces: []descriptor.Workspace{
				{Name: "vodník", Guarantees: []descriptor.Shape{newShape(16, descriptor.LevelRack, south), newShape(4, descriptor.LevelWorker, north)}},
				{Name: "okap", Guarantees: []descriptor.Shape{newShape(16, descriptor.LevelRack, south)}},
				{Name: "studna", Guarantees: []descriptor.Shape{newShape(4, descriptor.LevelWorker, south), newShape(4, descriptor.LevelWorker, north)}},
				{Name: "nádrž", Guarantees: []descriptor.Shape{newShape(4, descriptor.LevelWorker, south)}},
			},
			Classes: []descriptor.Class{
				{Name: "Quote", FinishWithin: minutes(2), Share: 1, NonIdempotent: true},
				{Name: "Survey", FinishWithin: minutes(150), Share: 1},
				{Name: "Report", FinishWithin: minutes(840), Share: 1},
			},
			FailureDomains: []descriptor.FailureDomain{{Name: "Brno", Region: south}, {Name: "Olomouc", Region: south}, {Name: "Praha", Region: north}},
		},
		workspaceShares: []float64{0.4, 0.3, 0.2, 0.1},
		regionShares:    []float64{0.82, 0.18},
		jobKinds: []jobKind{
			{class: "Quote", nonIdempotent: true, count: 400, gangShapes: oneAcceleratorGangs, medianRunTime: 30 * time.Second, minRunTime: 10 * time.Second, maxRunTime: 70 * time.Second, runTimeLogDeviation: 0.4, fromHour: 1, toHour: 12},
			{class: "Survey", loadShare: 0.6, gangShapes: mediumGangs, medianRunTime: 35 * time.Minute, minRunTime: 10 * time.Minute, maxRunTime: 2 * time.Hour, runTimeLogDeviation: 0.6, fromHour: 1, toHour: 14, backgroundShare: 0.2},
			{class: "Report", loadShare: 0.4, gangShapes: largeGangs, medianRunTime: time.Hour, minRunTime: 30 * time.Minute, maxRunTime: 4 * time.Hour, runTimeLogDeviation: 0.5, fromHour: 7, toHour: 17, backgroundShare: 0.4},
		},
		urgentClass: "Quote", removedDomain: "Olomouc", badWorker: "brno-a-2",
	}
}
