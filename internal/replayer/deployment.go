package replayer

import (
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

// profile describes the work of one deployment.
type profile struct {
	name           string
	checkpointTime time.Duration
	configuration  descriptor.Configuration
	fleet          []descriptor.Worker
	// workspaceShares and regionShares are parts of the arrivals.
	workspaceShares []float64
	regionShares    []float64
	kinds           []workKind
	urgent          descriptor.ClassID
	// removed is the failure domain that operators take out on a bad day.
	removed descriptor.FailureDomainID
	// badWorker fails everything for a while on a bad day.
	badWorker descriptor.WorkerID
}

// workKind describes the jobs of one class.
type workKind struct {
	class         descriptor.ClassID
	nonIdempotent bool
	// loadShare is the part of the offered accelerator time; 0 means that count is used.
	loadShare float64
	count     int
	// gangs are chosen with equal probability.
	gangs []gang
	// median and spread (the standard deviation of the logarithm) of the run time, within the bounds.
	median, shortest, longest time.Duration
	spread                    float64
	// from and to bound the arrivals as hours after the start, which is at 06:00; background of them arrive at any time.
	from, to, background float64
}

type gang struct {
	tasks        int
	accelerators descriptor.Accelerators
	adjacency    descriptor.Level
}

// Deployments with a profile.
const (
	Beaulieu = "Beaulieu"
	Destovka = "Dešťovka"
)

func profileOf(deployment string) (profile, error) {
	switch deployment {
	case Beaulieu:
		return beaulieu(), nil
	case Destovka:
		return destovka(), nil
	}
	return profile{}, fmt.Errorf("no profile for deployment %q, want %s or %s", deployment, Beaulieu, Destovka)
}

// rackOf returns the workers of one rack.
func rackOf(name string, domain descriptor.FailureDomainID, region descriptor.RegionID, workers int, cores descriptor.Cores, memory descriptor.Megabytes) []descriptor.Worker {
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

// shape of accelerators within one worker or rack of a region.
func shape(n descriptor.Accelerators, level descriptor.Level, region descriptor.RegionID) descriptor.Shape {
	return descriptor.Shape{Accelerators: n, Adjacency: level, Region: region}
}

// Gangs of both deployments. Large jobs take two or three whole workers of a rack.
var (
	singleGang  = []gang{{1, 1, descriptor.LevelWorker}}
	pairGang    = []gang{{1, 2, descriptor.LevelWorker}}
	middleGangs = []gang{{1, 4, descriptor.LevelWorker}, {1, 8, descriptor.LevelWorker}, {2, 4, descriptor.LevelRack}}
	largeGangs  = []gang{{2, 8, descriptor.LevelRack}, {3, 8, descriptor.LevelRack}}
)

func beaulieu() profile {
	const south, north = "qc-sud", "qc-nord"
	fleet := rackOf("montreal-a", "Montreal", south, 3, 64, 128_000)
	fleet = append(fleet, rackOf("montreal-b", "Montreal", south, 3, 64, 128_000)...)
	fleet = append(fleet, rackOf("sherbrooke-a", "Sherbrooke", south, 3, 64, 128_000)...)
	fleet = append(fleet, rackOf("saguenay-a", "Saguenay", north, 2, 64, 128_000)...)
	return profile{
		name: Beaulieu, checkpointTime: 6 * time.Second, fleet: fleet,
		configuration: descriptor.Configuration{
			Revision: 1,
			Workspaces: []descriptor.Workspace{
				{Name: "beaumont", Guarantees: []descriptor.Shape{shape(24, descriptor.LevelRack, south), shape(8, descriptor.LevelWorker, north)}},
				{Name: "couture-roy", Guarantees: []descriptor.Shape{shape(8, descriptor.LevelWorker, south), shape(4, descriptor.LevelWorker, south)}},
				{Name: "tremblay", Guarantees: []descriptor.Shape{shape(4, descriptor.LevelWorker, south)}},
				{Name: "lavoie", Guarantees: []descriptor.Shape{shape(4, descriptor.LevelWorker, south), shape(4, descriptor.LevelWorker, north)}},
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
		kinds: []workKind{
			{class: "Preview", count: 400, gangs: singleGang, median: 35 * time.Second, shortest: 15 * time.Second, longest: 75 * time.Second, spread: 0.4, from: 3, to: 12},
			{class: "Draft", loadShare: 0.5, gangs: middleGangs, median: 50 * time.Minute, shortest: 10 * time.Minute, longest: 3 * time.Hour, spread: 0.6, from: 1, to: 15, background: 0.2},
			{class: "Nesting", nonIdempotent: true, loadShare: 0.1, gangs: pairGang, median: 20 * time.Minute, shortest: 5 * time.Minute, longest: time.Hour, spread: 0.5, from: 2, to: 13, background: 0.1},
			{class: "Overnight", loadShare: 0.4, gangs: largeGangs, median: time.Hour, shortest: 30 * time.Minute, longest: 4 * time.Hour, spread: 0.5, from: 8, to: 17, background: 0.4},
		},
		urgent: "Preview", removed: "Sherbrooke", badWorker: "montreal-a-2",
	}
}

func destovka() profile {
	const south, north = "Morava", "Čechy"
	fleet := rackOf("brno-a", "Brno", south, 3, 128, 256_000)
	fleet = append(fleet, rackOf("brno-b", "Brno", south, 3, 128, 256_000)...)
	fleet = append(fleet, rackOf("olomouc-a", "Olomouc", south, 3, 128, 256_000)...)
	fleet = append(fleet, rackOf("praha-a", "Praha", north, 2, 128, 256_000)...)
	return profile{
		name: Destovka, checkpointTime: 4 * time.Second, fleet: fleet,
		configuration: descriptor.Configuration{
			Revision: 1,
			Workspaces: []descriptor.Workspace{
				{Name: "vodník", Guarantees: []descriptor.Shape{shape(16, descriptor.LevelRack, south), shape(4, descriptor.LevelWorker, north)}},
				{Name: "okap", Guarantees: []descriptor.Shape{shape(16, descriptor.LevelRack, south)}},
				{Name: "studna", Guarantees: []descriptor.Shape{shape(4, descriptor.LevelWorker, south), shape(4, descriptor.LevelWorker, north)}},
				{Name: "nádrž", Guarantees: []descriptor.Shape{shape(4, descriptor.LevelWorker, south)}},
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
		kinds: []workKind{
			{class: "Quote", nonIdempotent: true, count: 400, gangs: singleGang, median: 30 * time.Second, shortest: 10 * time.Second, longest: 70 * time.Second, spread: 0.4, from: 1, to: 12},
			{class: "Survey", loadShare: 0.6, gangs: middleGangs, median: 35 * time.Minute, shortest: 10 * time.Minute, longest: 2 * time.Hour, spread: 0.6, from: 1, to: 14, background: 0.2},
			{class: "Report", loadShare: 0.4, gangs: largeGangs, median: time.Hour, shortest: 30 * time.Minute, longest: 4 * time.Hour, spread: 0.5, from: 7, to: 17, background: 0.4},
		},
		urgent: "Quote", removed: "Olomouc", badWorker: "brno-a-2",
	}
}
