package timekeeper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBootTimeAdvances guards against a clock that stands still or has another unit than nanoseconds.
func TestBootTimeAdvances(t *testing.T) {
	before, start := BootTime(), time.Now()
	time.Sleep(20 * time.Millisecond)
	elapsed := BootTime() - before
	assert.Assert(t, elapsed >= 20*time.Millisecond, elapsed)
	assert.Assert(t, elapsed <= time.Since(start)+time.Millisecond, elapsed)
}
