package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// reserveDecay is the time constant with which the peak of urgent demand decays. Bursts of urgent work last about
	// six seconds and come several times a minute.
	reserveDecay = 30 * time.Second
	// reserveMemory is the age from which urgent workloads have no part in the peak that a new leader recalls.
	reserveMemory = 3 * reserveDecay
	// maxReserveShare is the largest share of the accelerators that may stay idle for urgent work.
	maxReserveShare = 0.4
	// busyShare is the used share of the fleet from which the reserve is enforced however long other work waits. While
	// less than half of the fleet is in use, work for which there is room must start within 3 s.
	busyShare = 0.6
	// reserveHold is how long after the last urgent arrival workers stay reserved.
	reserveHold = 6 * time.Second
	// reserveWait is how long other work waits before it may use reserved workers while the fleet is not busy.
	reserveWait = time.Second
)

// reserve tracks the demand of urgent work, for which whole racks are kept free: urgent gangs need whole racks at
// once, and preempting other work first would take much of the time until the objectives of these gangs.
type reserve struct {
	// peak is the decaying maximum of the number of accelerators that urgent work has used or waited for at one time;
	// updated is when it was last computed.
	peak    float64
	updated time.Time
	// lastArrival is when the last urgent workload arrived.
	lastArrival time.Time
}

// update adds the current demand of urgent work to the decaying peak.
func (r *reserve) update(demand descriptor.Accelerators, now time.Time) {
	if !r.updated.IsZero() {
		r.peak *= math.Exp(-float64(now.Sub(r.updated)) / float64(reserveDecay))
	}
	r.updated = now
	r.peak = max(r.peak, float64(demand))
}

// recallUrgentDemand estimates, before the first plan of a leader, the peak that the former leaders had tracked. It takes
// the demand of each urgent workload that is still stored to last from its release for the length of its criticalPath.
func (c *Core) recallUrgentDemand(now time.Time) {
	type demand struct {
		begin, end   time.Time
		accelerators descriptor.Accelerators
	}
	var demands []demand
	for _, j := range c.jobs {
		if w := &j.record.Workload; w.Priority == 0 && w.Times == 0 && !j.record.Cancelled {
			demands = append(demands, demand{j.arrived, j.arrived.Add(c.criticalPath(j)), peakAccelerators(j)})
		}
	}
	slices.SortFunc(demands, func(a, b demand) int { return a.begin.Compare(b.begin) })
	first := 0
	for i, d := range demands {
		if now.Sub(d.begin) > reserveMemory {
			first = i + 1
			continue
		}
		var sum descriptor.Accelerators
		for _, o := range demands[first : i+1] {
			if o.end.After(d.begin) {
				sum += o.accelerators
			}
		}
		c.reserve.update(sum, d.begin)
	}
}

// urgentDemand returns the accelerators that urgent workloads use or wait for, taken as their peakAccelerators.
func (c *Core) urgentDemand() descriptor.Accelerators {
	var sum descriptor.Accelerators
	for _, j := range c.activeJobs {
		if j.nonfinal() && j.record.Workload.Priority == 0 {
			sum += peakAccelerators(j)
		}
	}
	return sum
}

// fleetBusy reports whether at least busyShare of some kind of capacity is in use.
func (p *pass) fleetBusy() bool {
	var fleetTotal, fleetFree descriptor.Capacity
	for _, w := range p.fleet {
		fleetTotal = fleetTotal.Plus(w.status.Capacity)
		fleetFree = fleetFree.Plus(w.free())
	}
	return mostlyUsed(fleetTotal, fleetFree)
}

// mostlyUsed reports whether at least busyShare of some kind of capacity is in use.
func mostlyUsed(total, free descriptor.Capacity) bool {
	used := func(free, total float64) bool { return total > 0 && free <= (1-busyShare)*total }
	return used(float64(free.Cores), float64(total.Cores)) || used(float64(free.Memory), float64(total.Memory)) ||
		used(float64(free.Accelerators), float64(total.Accelerators))
}

// mayUseReserved reports whether a group may start on reserved workers: urgent and service tasks always, other work
// only if its workload has waited for longer than reserveWait and the reserve is not enforced.
func (p *pass) mayUseReserved(g group) bool {
	// Service tasks must start at once, even on a busy fleet.
	if g.level < levelOther || g.job.step(g.step).Service {
		return true
	}
	if p.reserveEnforced {
		return false
	}
	p.core.planBy(g.job.waitingSince.Add(reserveWait))
	return p.now.Sub(g.job.waitingSince) > reserveWait
}

// selectReserved returns the workers to reserve for urgent work: whole racks, beginning with those that run the least
// other work. It returns nil when no urgent workload has arrived within reserveHold.
func (p *pass) selectReserved() map[*worker]bool {
	type rack struct {
		workers []*worker
		// nonUrgentUsed counts the accelerators of the rack that non-urgent work uses; total counts all of the rack.
		nonUrgentUsed descriptor.Accelerators
		total         descriptor.Accelerators
	}
	racks := map[descriptor.RackID]*rack{}
	var sortedRacks []*rack
	var fleetTotal, urgentUsed descriptor.Accelerators
	for _, w := range p.fleet {
		r := racks[w.status.Rack]
		if r == nil {
			r = &rack{}
			racks[w.status.Rack] = r
			sortedRacks = append(sortedRacks, r)
		}
		r.workers = append(r.workers, w)
		r.total += w.status.Capacity.Accelerators
		fleetTotal += w.status.Capacity.Accelerators
		for _, a := range w.attempts {
			if a.job == nil {
				continue
			}
			if a.job.record.Workload.Priority > 0 {
				r.nonUrgentUsed += a.need.Accelerators
			} else {
				urgentUsed += a.need.Accelerators
			}
		}
	}
	if p.now.Sub(p.core.reserve.lastArrival) > reserveHold {
		return nil
	}
	wanted := min(p.core.reserve.peak, maxReserveShare*float64(fleetTotal)+float64(urgentUsed))
	slices.SortStableFunc(sortedRacks, func(a, b *rack) int { return cmp.Compare(a.nonUrgentUsed, b.nonUrgentUsed) })
	reserved := map[*worker]bool{}
	for _, r := range sortedRacks {
		// The reserve consists of whole racks and is rounded to the nearest number of them: a rack is left out if less
		// than half of its accelerators that other work does not use are wanted, as it would make the reserve too large
		// by up to a rack.
		if wanted < float64(r.total-r.nonUrgentUsed)/2 {
			break
		}
		wanted -= float64(r.total - r.nonUrgentUsed)
		for _, w := range r.workers {
			reserved[w] = true
		}
	}
	return reserved
}
