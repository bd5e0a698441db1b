package descriptor_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/pkg/descriptor"
)

// TestWorkloadCheck guards against an invalid workload that is accepted, or rejected with an error that does not name
// the field.
func TestWorkloadCheck(t *testing.T) {
	step := descriptor.Step{Count: 1}
	for _, test := range []struct {
		name     string
		workload descriptor.Workload
		want     string
	}{
		{"no id", descriptor.Workload{Steps: []descriptor.Step{step}}, "field ID is empty"},
		{"id with a dot", descriptor.Workload{ID: "a.b", Steps: []descriptor.Step{step}}, `field ID is "a.b", want 1 to 64 letters, digits, hyphens or underscores`},
		{"id that is no UTF-8", descriptor.Workload{ID: "a\xff", Steps: []descriptor.Step{step}}, `field ID is "a\xff", want 1 to 64 letters, digits, hyphens or underscores`},
		{"no steps", descriptor.Workload{ID: "j"}, "field Steps is empty"},
		{"no tasks", descriptor.Workload{ID: "j", Steps: []descriptor.Step{{}}}, "field Steps[0].Count is 0, want at least 1"},
		{"step after itself", descriptor.Workload{ID: "j", Steps: []descriptor.Step{{Count: 1, After: []int{0}}}}, "field Steps[0].After names step 0, want an earlier one"},
		{"negative size", descriptor.Workload{ID: "j", Steps: []descriptor.Step{{Count: 1, Size: descriptor.Capacity{Cores: -1}}}}, "field Steps[0].Size has a negative part"},
		{"too many tasks", descriptor.Workload{ID: "j", Steps: []descriptor.Step{{Count: descriptor.MaxWorkloadTasks + 1}}}, "field Steps has 4097 tasks, at most 4096"},
		{"negative times", descriptor.Workload{ID: "j", Times: -1, Steps: []descriptor.Step{step}}, "field Times is -1, want at least 0"},
		{"task counts that overflow", descriptor.Workload{ID: "j", Steps: []descriptor.Step{{Count: 1 << 62}, {Count: 1 << 62}}}, "field Steps has 4611686018427387904 tasks, at most 4096"},
		{"absurd size", descriptor.Workload{ID: "j", Steps: []descriptor.Step{{Count: 1, Size: descriptor.Capacity{Memory: 1 << 60}}}}, "field Steps[0].Size has a part above 1000000000"},
		{"too many times", descriptor.Workload{ID: "j", Times: 1 << 40, Steps: []descriptor.Step{step}}, "field Times is 1099511627776, at most 100000"},
		{"negative interval", descriptor.Workload{ID: "j", Times: 2, Interval: -1, Steps: []descriptor.Step{step}}, "field Interval is -1ns, want at least 0"},
		{"sound", descriptor.Workload{ID: "j", Steps: []descriptor.Step{step, {Count: 2, After: []int{0}}}}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.workload.Check()
			if test.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, test.want)
		})
	}
}

// TestTaskID guards against a task id that changes when it is formatted and parsed, and against malformed text that is
// parsed as a task id. Workers and logs use the text form.
func TestTaskID(t *testing.T) {
	id := descriptor.TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	got, err := descriptor.ParseTaskID(id.String())
	assert.NilError(t, err)
	assert.Equal(t, got, id)
	for _, bad := range []string{"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.-3", "a.1.2.3.4"} {
		_, err := descriptor.ParseTaskID(bad)
		assert.ErrorContains(t, err, "want job.occurrence.step.index", bad)
	}
}

// TestDueOfFarOccurrences guards against an occurrence that is due before its time because the sum overflows.
func TestDueOfFarOccurrences(t *testing.T) {
	first := time.UnixMilli(1765000000900)
	w := descriptor.Workload{Times: descriptor.MaxOccurrences, FirstDue: first}
	for _, interval := range []time.Duration{0, time.Millisecond, time.Hour, 1000 * time.Hour, 100 * 365 * 24 * time.Hour, math.MaxInt64} {
		w.Interval = interval
		former := first
		for k := range w.Times {
			due := w.Due(k)
			assert.Assert(t, !due.Before(former), "occurrence %d at intervals of %v is due at %v, the one before at %v", k, interval, due, former)
			former = due
		}
	}
	w.Interval = 1500 * time.Millisecond
	assert.Assert(t, w.Due(3).Equal(time.UnixMilli(1765000005400)))
}
