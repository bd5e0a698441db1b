package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"persimmontrail/pkg/descriptor"
)

// BenchmarkPlan measures one plan over a full fleet with a long queue and a burst of urgent gangs.
func BenchmarkPlan(b *testing.B) {
	for _, racks := range []int{4, 20, 60} {
		b.Run(fmt.Sprintf("workers=%d", racks*3), func(b *testing.B) {
			f := newFixture(&testing.T{}, racks)
			for i := range racks * 4 {
				f.submit(descriptor.JobID(fmt.Sprintf("low%d", i)), 40, 1, 7*time.Second, priority(2))
				f.submit(descriptor.JobID(fmt.Sprintf("mid%d", i)), 6, 8, 7*time.Second, priority(1))
			}
			for i := range racks {
				f.submit(descriptor.JobID(fmt.Sprintf("urgent%d", i)), 5, 8, 2*time.Second, priority(0), sameRack)
			}
			f.planAndApply()
			f.now = f.now.Add(100 * time.Millisecond)
			f.reportAll()
			b.ResetTimer()
			for b.Loop() {
				f.core.Plan(f.now)
			}
		})
	}
}

// manySteps makes n single-task steps of a workload's first step.
func manySteps(n int) option {
	return func(w *descriptor.Workload) {
		first := w.Steps[0]
		first.Count = 1
		w.Steps = slices.Repeat([]descriptor.Step{first}, n)
	}
}

// chained makes each step wait for the one before.
func chained(w *descriptor.Workload) {
	for i := range w.Steps[1:] {
		w.Steps[i+1].After = []int{i}
	}
}

// afterWideStep prepends a step of n tasks to a workload, on which all others depend.
func afterWideStep(n int) option {
	return func(w *descriptor.Workload) {
		first := w.Steps[0]
		first.Count = n
		for i := range w.Steps {
			w.Steps[i].After = []int{0}
		}
		w.Steps = slices.Insert(w.Steps, 0, first)
	}
}

func size(c descriptor.Capacity) option {
	return func(w *descriptor.Workload) {
		for i := range w.Steps {
			w.Steps[i].Size = c
		}
	}
}

// small lets a worker of the fixture hold 1280 tasks of each step.
var small = size(descriptor.Capacity{Cores: 50, Memory: 64})

// largeWorkloads are shapes of workloads of n tasks that any caller may submit, by name.
func largeWorkloads(n int) map[string][]option {
	spread := func(w *descriptor.Workload) {
		for i := range w.Steps {
			w.Steps[i].MaxPerWorker, w.Steps[i].DataRack = 1, "r0"
		}
	}
	occurrences := func(w *descriptor.Workload) { w.Times, w.FirstDue = n, time.Unix(1, 0) }
	return map[string][]option{
		"steps":                {manySteps(n), priority(1)},
		"steps urgent":         {manySteps(n), priority(0)},
		"steps urgent spread":  {manySteps(n), priority(0), spread},
		"steps spread":         {manySteps(n), priority(2), spread},
		"steps small":          {manySteps(n), priority(1), small},
		"steps gang":           {manySteps(n), priority(0), gang},
		"steps gang same rack": {manySteps(n), priority(0), sameRack},
		"chain":                {manySteps(n), priority(1), chained},
		"after wide step":      {manySteps(n / 2), priority(1), afterWideStep(n / 2)},
		"occurrences":          {priority(1), occurrences},
		"occurrences urgent":   {priority(0), occurrences, small},
		"wide urgent":          {priority(0), func(w *descriptor.Workload) { w.Steps[0].Count = n }},
		"wide small":           {priority(1), small, func(w *descriptor.Workload) { w.Steps[0].Count = n }},
		"wide gang":            {priority(0), gang, small, func(w *descriptor.Workload) { w.Steps[0].Count = n - n/8 }},
	}
}

// largeFleet returns a fixture of 12 workers that run less urgent work, and four workloads of a shape with n tasks each.
func largeFleet(t *testing.T, shape []option) *fixture {
	f := newFixture(t, 4)
	for i := range 12 {
		f.submit(descriptor.JobID(fmt.Sprintf("low%d", i)), 8, 1, 60*time.Second, priority(3))
	}
	f.planAndApply()
	f.now = f.now.Add(100 * time.Millisecond)
	f.reportAll()
	for i := range 4 {
		f.submit(descriptor.JobID(fmt.Sprintf("large%d", i)), 1, 1, time.Second, shape...)
	}
	return f
}

// BenchmarkLargeWorkloads measures the first plan after four workloads of many tasks have arrived, a report of each
// worker, and the plan after that.
func BenchmarkLargeWorkloads(b *testing.B) {
	for _, n := range []int{512, 4096} {
		for name, shape := range largeWorkloads(n) {
			b.Run(fmt.Sprintf("%s/tasks=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					b.StopTimer()
					f := largeFleet(&testing.T{}, shape)
					b.StartTimer()
					f.planAndApply()
					f.now = f.now.Add(100 * time.Millisecond)
					f.reportAll()
					f.planAndApply()
				}
			})
		}
	}
}
