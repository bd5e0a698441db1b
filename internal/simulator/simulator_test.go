package simulator

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSameSeedGivesSameResult guards against results that differ between runs of one seed. Such results could not be
// used to compare policies.
func TestSameSeedGivesSameResult(t *testing.T) {
	s := Scenarios()[3]
	assert.DeepEqual(t, Simulate(s, 7), Simulate(s, 7))
}

// TestPrintScenarioMeans checks nothing: it logs the mean metrics of each scenario for the comparison of policies. It
// runs 2 seeds, or 16 with -v.
func TestPrintScenarioMeans(t *testing.T) {
	seedCount := 2
	if testing.Verbose() {
		seedCount = 16
	}
	for _, s := range Scenarios() {
		results := make([]Result, seedCount)
		var wg sync.WaitGroup
		for i := range results {
			wg.Go(func() { results[i] = Simulate(s, uint64(i+1)) })
		}
		wg.Wait()
		var net, total, wasted, used, preview, draft, nest float64
		stopCount := 0
		for _, r := range results {
			net += r.NetShare / float64(seedCount)
			total += r.TotalShare / float64(seedCount)
			wasted += r.WastedShare / float64(seedCount)
			used += r.UsedShare / float64(seedCount)
			preview += r.ValueShares["Preview"] / float64(seedCount)
			draft += r.ValueShares["Draft"] / float64(seedCount)
			nest += r.ValueShares["Nest"] / float64(seedCount)
			stopCount += r.StopOrders
		}
		t.Logf("%-14s net %.3f total %.3f preview %.3f draft %.3f nest %.3f used %.3f wasted %.4f stops %d",
			s.Name, net, total, preview, draft, nest, used, wasted, stopCount/seedCount)
	}
}
