package balancer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func workspace(name string) []Membership {
	return []Membership{{Class: Class{Kind: "Workspace", Name: name}}}
}

// TestFactorByDeficit has a rush in which one workspace of three is served far less than the others. It is moved up by at
// most maxFactor, until that is forgotten. A rush that all bear alike moves nobody up.
func TestFactorByDeficit(t *testing.T) {
	now := time.Unix(1000, 0)
	var uneven, even Ledger
	for range 10 {
		for _, name := range []string{"a", "b", "poor"} {
			even.Record(workspace(name), 0.3, now)
			served := 0.9
			if name == "poor" {
				served = 0.1
			}
			uneven.Record(workspace(name), served, now)
		}
		now = now.Add(time.Second)
	}
	assert.Equal(t, uneven.Factor(workspace("poor"), now), maxFactor)
	for _, name := range []string{"a", "b", "unknown"} {
		assert.Equal(t, uneven.Factor(workspace(name), now), 1.0)
	}
	assert.Equal(t, even.Factor(workspace("poor"), now), 1.0)
	assert.Equal(t, uneven.Factor(workspace("poor"), now.Add(3*decayTime)), 1.0)
}

// TestClassesAreBounded has a flood of workloads, each of a workspace of its own.
func TestClassesAreBounded(t *testing.T) {
	var l Ledger
	now := time.Unix(1000, 0)
	for i := range 3 * maxClasses {
		l.Record(workspace(fmt.Sprint(i)), 1, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	assert.Assert(t, len(l.accounts) <= maxClasses)
}
