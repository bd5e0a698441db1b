package planner

import "time"

// settleTime bounds how long a new leader waits for the first reports of the fleet before it takes the fleet for smaller
// than it was. An agent answers the first poll at once, so that two round trips between regions suffice.
const settleTime = 400 * time.Millisecond

// ExpectReports names the nodes from which a new leader has yet to hear. Until all of them have reported, or for
// settleTime, the room that it knows of is only a part of the fleet's.
func (c *Core) ExpectReports(nodes []string, now time.Time) {
	c.unheard = make(map[string]bool, len(nodes))
	for _, n := range nodes {
		c.unheard[n] = true
	}
	c.settledAt = now.Add(settleTime)
}

// settling reports whether decisions that a larger fleet would make needless are deferred: to preempt beyond a
// guarantee, and to spread a SameRack gang over racks.
func (c *Core) settling(now time.Time) bool {
	if len(c.unheard) == 0 || !now.Before(c.settledAt) {
		return false
	}
	c.planBy(c.settledAt)
	return true
}
