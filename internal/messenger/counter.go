package messenger

import (
	"maps"
	"sync"
)

// KindPing is the kind under which the bytes of heartbeats are counted.
const KindPing Kind = "Ping"

// maxCountedKinds limits the kinds that are counted per group, since a remote process chooses the kinds that it sends.
const maxCountedKinds = 64

// kindOther is the kind under which the bytes of kinds beyond maxCountedKinds are counted, and those of answers to
// requests that were refused or could not be decoded.
const kindOther Kind = "Other"

// byteCounter counts bytes sent and received, including frame headers, by the group of the remote address and by kind.
type byteCounter struct {
	mu             sync.Mutex
	byGroupAndKind map[string]map[Kind]int64
}

func (c *byteCounter) add(group string, kind Kind, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byGroupAndKind == nil {
		c.byGroupAndKind = make(map[string]map[Kind]int64)
	}
	kinds := c.byGroupAndKind[group]
	if kinds == nil {
		kinds = make(map[Kind]int64)
		c.byGroupAndKind[group] = kinds
	}
	if _, ok := kinds[kind]; !ok && len(kinds) >= maxCountedKinds {
		kind = kindOther
	}
	kinds[kind] += int64(n)
}

// totalsByKind returns the sums over all groups.
func (c *byteCounter) totalsByKind() map[Kind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[Kind]int64)
	for _, kinds := range c.byGroupAndKind {
		for k, n := range kinds {
			sum[k] += n
		}
	}
	return sum
}

func (c *byteCounter) totalsByGroup() map[string]map[Kind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := make(map[string]map[Kind]int64, len(c.byGroupAndKind))
	for g, kinds := range c.byGroupAndKind {
		groups[g] = maps.Clone(kinds)
	}
	return groups
}

// groupOfAddress returns group(address), or the empty group if group is nil.
func groupOfAddress(group func(string) string, address string) string {
	if group == nil {
		return ""
	}
	return group(address)
}
