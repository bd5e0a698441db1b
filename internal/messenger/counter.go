package messenger

import (
	"maps"
	"sync"
)

// KindPing is the kind under which the bytes of heartbeats are counted.
const KindPing Kind = "Ping"

// maxCountedKinds bounds the counters, since a peer chooses the kinds that it sends.
const maxCountedKinds = 64

// kindOther counts the kinds over maxCountedKinds.
const kindOther Kind = "Other"

// counter counts bytes sent and received, payload plus framing, by peer address group and kind.
type counter struct {
	mu    sync.Mutex
	bytes map[string]map[Kind]int64
}

func (c *counter) add(group string, kind Kind, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes == nil {
		c.bytes = make(map[string]map[Kind]int64)
	}
	kinds := c.bytes[group]
	if kinds == nil {
		kinds = make(map[Kind]int64)
		c.bytes[group] = kinds
	}
	if _, ok := kinds[kind]; !ok && len(kinds) >= maxCountedKinds {
		kind = kindOther
	}
	kinds[kind] += int64(n)
}

// byKind returns the sum over all groups.
func (c *counter) byKind() map[Kind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[Kind]int64)
	for _, kinds := range c.bytes {
		for k, n := range kinds {
			sum[k] += n
		}
	}
	return sum
}

func (c *counter) byGroup() map[string]map[Kind]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := make(map[string]map[Kind]int64, len(c.bytes))
	for g, kinds := range c.bytes {
		groups[g] = maps.Clone(kinds)
	}
	return groups
}

func groupOf(group func(string) string, address string) string {
	if group == nil {
		return ""
	}
	return group(address)
}
