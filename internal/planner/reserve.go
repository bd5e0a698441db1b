package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// reserveDecay is the time in which a rush of urgent work is forgotten; rushes last six seconds and come several
	// times a minute.
	reserveDecay = 30 * time.Second
	// maxReserveShare is the largest part of the accelerators that may stand idle for urgent work.
	maxReserveShare = 0.4
	// busyShare of a fleet must be in use for a reserve to last: while under half of it is, no work may wait for 3 s
	// beside free room.
	busyShare = 0.6
	// reserveHold is how long after the last urgent arrival nothing is kept any more.
	reserveHold = 6 * time.Second
	// reserveWait is how long work waits beside a reserve on a fleet that is not busy.
	reserveWait = time.Second
)

// reserve decides which racks are kept for urgent work. Urgent gangs need whole racks at once, and stopping others
// first takes a good part of the time that they have.
type reserve struct {
	// peak is the most accelerators that urgent work lately ran on or waited for at one time, decaying.
	peak float64
	updated   time.Time
	// lastArrival is when the last urgent workload came.
	lastArrival time.Time
}

// update takes the present demand of urgent work.
func (v *reserve) update(demand descriptor.Accelerators, now time.Time) {
	if !v.updated.IsZero() {
		v.peak *= math.Exp(-float64(now.Sub(v.updated)) / float64(reserveDecay))
	}
	v.updated = now
	v.peak = max(v.peak, float64(demand))
}

// urgentDemand is what urgent workloads run on or wait for.
func (c *Core) urgentDemand() descriptor.Accelerators {
	var sum descriptor.Accelerators
	for _, j := range c.activeJobs {
		if j.unfinished() && j.record.Workload.Priority == 0 {
			sum += peakAccelerators(j)
		}
	}
	return sum
}

// fleetBusy reports whether some kind of capacity is used for the most part.
func (p *pass) fleetBusy() bool {
	var whole, free descriptor.Capacity
	for _, w := range p.fleet {
		whole = whole.Plus(w.status.Capacity)
		free = free.Plus(w.free())
	}
	used := func(free, whole float64) bool { return whole > 0 && free <= (1-busyShare)*whole }
	return used(float64(free.Cores), float64(whole.Cores)) || used(float64(free.Memory), float64(whole.Memory)) ||
		used(float64(free.Accelerators), float64(whole.Accelerators))
}

// mayUseReserved reports whether a group may start on the kept racks.
func (p *pass) mayUseReserved(g group) bool {
	// Service tasks must run at once, however full the fleet is.
	if g.level < levelOther || g.job.step(g.step).Service {
		return true
	}
	if p.reserveEnforced {
		return false
	}
	p.core.planBy(g.job.waitingSince.Add(reserveWait))
	return p.now.Sub(g.job.waitingSince) > reserveWait
}

// selectReserved returns the workers on which only urgent work may start: the racks with the least other work.
func (p *pass) selectReserved() map[*worker]bool {
	type rack struct {
		workers []*worker
		other   descriptor.Accelerators
		whole   descriptor.Accelerators
	}
	racks := map[descriptor.RackID]*rack{}
	var order []*rack
	var all, urgent descriptor.Accelerators
	for _, w := range p.fleet {
		r := racks[w.status.Rack]
		if r == nil {
			r = &rack{}
			racks[w.status.Rack] = r
			order = append(order, r)
		}
		r.workers = append(r.workers, w)
		r.whole += w.status.Capacity.Accelerators
		all += w.status.Capacity.Accelerators
		for _, run := range w.attempts {
			if run.job == nil {
				continue
			}
			if run.job.record.Workload.Priority > 0 {
				r.other += run.need.Accelerators
			} else {
				urgent += run.need.Accelerators
			}
		}
	}
	if p.now.Sub(p.core.reserve.lastArrival) > reserveHold {
		return nil
	}
	wanted := min(p.core.reserve.peak, maxReserveShare*float64(all)+float64(urgent))
	slices.SortStableFunc(order, func(a, b *rack) int { return cmp.Compare(a.other, b.other) })
	reserved := map[*worker]bool{}
	for _, r := range order {
		// A rack is kept when most of it is wanted; otherwise the reserve would be up to a rack too large.
		if wanted < float64(r.whole-r.other)/2 {
			break
		}
		wanted -= float64(r.whole - r.other)
		for _, w := range r.workers {
			reserved[w] = true
		}
	}
	return reserved
}
