package planner

import (
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// minSearches and maxSearches bound the searches for room to be freed that one plan makes for one workload. Each goes
	// over all attempts of the fleet, so that a workload of thousands of urgent steps would take up the leader. The next
	// plans continue with its other groups.
	minSearches = 16
	maxSearches = 64
	// searchedAttempts is the number of attempts that the searches for one workload may go over, from minSearches on.
	searchedAttempts = 40_000
	// searchPause is the time until the next plan if a workload has reached its limit of searches.
	searchPause = 100 * time.Millisecond
	// maxStarts is the number of starts after which a plan places no further group. The next plan follows at once.
	maxStarts = 2048
)

// demand holds the properties of a group that decide, in one pass, whether there is room for it. If there is none for
// one group, there is none for any other of the same demand.
type demand struct {
	job      *job
	need     descriptor.Capacity
	label    string
	dataRack descriptor.RackID
	service  bool
	// gangSize is the number of members of a gang, 0 for independent tasks.
	gangSize     int
	sameRack     bool
	maxPerWorker int
	// runTime decides how long a gang waits for room on one rack, and what may be preempted for it.
	runTime time.Duration
	// failedStep is the number of the step plus one if attempts of it have failed, since it then avoids some workers;
	// otherwise 0.
	failedStep int
}

func (p *pass) demandOf(g group) demand {
	step := g.job.step(g.step)
	d := demand{
		job: g.job, need: step.Need(), label: step.Label, dataRack: step.DataRack, service: step.Service, sameRack: step.SameRack,
		maxPerWorker: step.MaxPerWorker, runTime: p.core.expectedRunTime(g.job, g.step),
	}
	if step.Gang {
		d.gangSize = len(g.indexes)
	}
	if g.job.failedSteps[g.step] {
		d.failedStep = g.step + 1
	}
	return d
}

// searches counts the searches for one workload in one pass.
type searches struct {
	// requested is the number of groups for which a search was due, including those that were skipped.
	requested int
	// inVain holds the demands, by occurrence, for which a search found nothing. Occurrences differ in their objective.
	inVain map[occurrenceDemand]bool
}

type occurrenceDemand struct {
	occurrence int
	demand     demand
}

func (p *pass) searchesFor(j *job) *searches {
	s := p.searches[j]
	if s == nil {
		s = &searches{inVain: map[occurrenceDemand]bool{}}
		p.searches[j] = s
	}
	return s
}

// maySearch reports whether room to be freed may be searched for a group. It counts the request.
func (p *pass) maySearch(g group, d demand) bool {
	s := p.searchesFor(g.job)
	if s.inVain[occurrenceDemand{g.occurrence, d}] {
		return false
	}
	s.requested++
	return s.requested > g.job.searchStart && s.requested <= g.job.searchStart+p.searchLimit
}

// noteVainSearch records that a search found nothing, unless that may be due to the other tasks of the step.
func (p *pass) noteVainSearch(g group, d demand) {
	if d.maxPerWorker > 0 {
		return
	}
	p.searchesFor(g.job).inVain[occurrenceDemand{g.occurrence, d}] = true
}

// searchedInVain reports whether a search for another group of the same demand and occurrence has found nothing.
func (p *pass) searchedInVain(g group, d demand) bool {
	s := p.searches[g.job]
	return s != nil && s.inVain[occurrenceDemand{g.occurrence, d}]
}

// rotateSearches makes the next plan search for the groups that were left out in this one.
func (p *pass) rotateSearches() {
	for j, s := range p.searches {
		if s.requested <= j.searchStart+p.searchLimit {
			j.searchStart = 0
			continue
		}
		j.searchStart += p.searchLimit
		p.core.planBy(p.now.Add(searchPause))
	}
}
