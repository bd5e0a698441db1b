package loader_test

import (
	"bytes"
	"context"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/commander"
	"persimmontrail/internal/loader"
	"persimmontrail/pkg/validator"
)

// TestMain runs the commands of the program if the first argument names one, because Measure starts this test binary as
// entry, agent and group of agents.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		os.Exit(commander.Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// TestMeasure guards against counters that stay 0, for instance because a metric is read under a wrong name, and against jobs
// and configuration changes that never reach the workers and agents.
func TestMeasure(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var progress bytes.Buffer
	r, err := loader.Measure(ctx, loader.Options{
		Agents: []int{3}, Entries: []int{1}, Workspaces: []int{2}, Tasks: []int{2}, TasksPerLongJob: 2,
		UrgentRate: 5, RequestRate: 5, ConfigurationChanges: 1, MeasureDuration: 2 * time.Second, Seed: 1, Progress: &progress,
	})
	assert.NilError(t, err, progress.String())
	assert.Equal(t, len(r.Runs), 1)
	run := r.Runs[0]
	assert.Equal(t, run.TasksRunning, 6)
	assert.Equal(t, run.Failures, 0, progress.String())
	assert.Assert(t, run.UrgentStart.Count >= 5 && run.UrgentStart.P50 > 0, "%+v", run.UrgentStart)
	assert.Equal(t, run.Propagation.Count, 1)
	assert.Assert(t, run.Scheduler.Memory > 1 && run.Agent.Memory > 1, "%+v", run)
	assert.Assert(t, run.MessageBytes["Report"] > 0 && run.StoreCalls["Get"] > 0, "%+v", run)
	assert.Assert(t, run.Documents["jobs"] > 0 && run.Documents["configuration"] > 0, "%+v", run.Documents)
	var table bytes.Buffer
	assert.NilError(t, r.Print(&table))
	assert.Assert(t, strings.Contains(table.String(), "scheduler"))
}

// TestSlopes guards against a wrong fit: a linear function must be found exactly, and a quadratic one must not count as straight.
func TestSlopes(t *testing.T) {
	var linear, quadratic []loader.Run
	for _, agents := range []int{50, 150, 400} {
		for _, tasks := range []int{0, 2, 4} {
			r := loader.Run{Size: loader.Size{Agents: agents, Entries: 1}, TasksRunning: agents * tasks}
			r.Scheduler.CPU = 3 + 0.5*float64(agents) + 0.25*float64(r.TasksRunning)
			linear = append(linear, r)
			r.Scheduler.CPU = float64(agents * agents)
			quadratic = append(quadratic, r)
		}
	}
	s := loader.Slopes(linear)[0]
	assert.Assert(t, math.Abs(s.Base-3)+math.Abs(s.PerAgent-0.5)+math.Abs(s.PerTask-0.25) < 1e-6, "%+v", s)
	assert.Assert(t, s.Straight)
	assert.Assert(t, !loader.Slopes(quadratic)[0].Straight)
	assert.Equal(t, len(loader.Slopes(linear[:2])), 0)
}

// TestOptionLimits guards against runs that would overload the host because Measure does not reject options outside the limits,
// and against an error that names only some of them.
func TestOptionLimits(t *testing.T) {
	o := loader.Options{Agents: []int{100_000}, Entries: []int{0}, Tasks: []int{1}, Workspaces: []int{1}, TasksPerLongJob: 1, MeasureDuration: time.Hour}
	_, err := loader.Measure(t.Context(), o)
	assert.ErrorIs(t, err, validator.ErrInvalid)
	for _, field := range []string{"agents", "entries", "measure"} {
		assert.ErrorContains(t, err, field)
	}
}
