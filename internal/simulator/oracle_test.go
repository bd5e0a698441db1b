package simulator

import (
	"sync"
	"testing"
	"time"
)

// longTail returns the scenario with run times of which some are many times the mean, and declared run times that say
// little about them.
func longTail(s Scenario) Scenario {
	s.Name += "LongTail"
	s.Classes = append([]Class(nil), s.Classes...)
	for i := range s.Classes {
		c := &s.Classes[i]
		c.RunTimeSpread, c.MaxRunTime, c.EstimateError = 1.1, 60*time.Second, 0.9
	}
	return s
}

// TestPrintGainOfKnownRunTimes checks nothing: it logs how much a planner gains that learns run times, and one that is
// told the true ones.
func TestPrintGainOfKnownRunTimes(t *testing.T) {
	seeds, scenarios := 1, []Scenario{longTail(Scenarios()[3])}
	if testing.Verbose() {
		seeds, scenarios = 16, Scenarios()
		for _, s := range Scenarios() {
			scenarios = append(scenarios, longTail(s))
		}
	}
	for _, s := range scenarios {
		for _, variant := range []string{"mean", "learned", "known"} {
			s.LearnRunTimes, s.RunTimesKnown = variant == "learned", variant == "known"
			var mu sync.Mutex
			var wg sync.WaitGroup
			var net, total float64
			stops := 0
			work := make(chan uint64, seeds)
			for i := range seeds {
				work <- uint64(i + 1)
			}
			close(work)
			for range 3 {
				wg.Go(func() {
					for seed := range work {
						r := Simulate(s, seed)
						mu.Lock()
						net, total, stops = net+r.NetShare/float64(seeds), total+r.TotalShare/float64(seeds), stops+r.StopOrders
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			t.Logf("%-22s %-7s net %.3f total %.3f stops %d", s.Name, variant, net, total, stops/seeds)
		}
	}
}
