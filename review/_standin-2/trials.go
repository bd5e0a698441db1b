package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"persimmontrail/platform/emulator"
)

// The functions of this file are trials that REPORT-2.md names, but no cases.

// guaranteeSplit: small jobs of one tenant, one on each worker, keep another tenant from its guarantee.
func guaranteeSplit(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	if trouble {
		for i := range 3 {
			d.submit(i%3, 0, "couture", newID(), 1, 1, 90*time.Second, fmt.Sprintf(`,"data_rack":"r1-%d"`, i+1))
		}
		time.Sleep(5 * time.Second)
	}
	id := newID()
	d.submit(0, 0, "atelier", id, 1, 8, 2*time.Second, "")
	accepted := time.Now()
	for time.Since(accepted) < 40*time.Second {
		if runs := d.history.runsOf(id); len(runs) > 0 {
			wait := runs[0].start.Sub(accepted)
			if wait > 3400*time.Millisecond {
				return true, "RECLAIM: the job's task began only " + seconds(wait) + " after its acknowledgement; reclaim_ms is 3.4 s"
			}
			return false, "the job's task began " + seconds(wait) + " after its acknowledgement"
		}
		time.Sleep(50 * time.Millisecond)
	}
	a := d.client(http.MethodGet, 0, 0, "atelier", id, "")
	return true, fmt.Sprintf("RECLAIM: the job's only task has not begun %s after the acknowledgement, its state is %q; reclaim_ms is 3.4 s", seconds(time.Since(accepted)), a.state)
}

// rackWait: a gang that is slower on more than one rack waits for a rack, while most of the service is idle.
func rackWait(d *deployment) (bool, string) {
	d.launch(3, []string{"r1-1", "r1-1", "r1-1", "r1-2", "r1-2", "r1-2", "r1-3", "r1-3", "r1-3"}, []tenant{{"atelier", 24}, {"couture", 3}}, nil)
	if trouble {
		for i := range 3 {
			d.submit(i%3, 0, "couture", newID(), 1, 1, 100*time.Second, fmt.Sprintf(`,"data_rack":"r1-%d"`, i+1))
		}
		time.Sleep(5 * time.Second)
	}
	id := newID()
	d.submit(0, 0, "atelier", id, 3, 8, 100*time.Second, `,"gang":true,"same_rack":true`)
	return d.watchLost(id, 30*time.Second)
}

// sweepStall: some time after a leader was killed, its successor removes all jobs that had ended by then, and does nothing else
// meanwhile; jobs that are cancelled run on.
func sweepStall(d *deployment) (bool, string) {
	d.statusS = 24
	d.launch(3, []string{"r1-1", "r1-2", "r1-3"}, atelier, nil)
	// 4 ms an answer, and 1.4 ms one way between two zones.
	d.store.Inject(emulator.StoreFaults{Delay: 6800 * time.Microsecond})
	// The jobs that the large site hands in within the time for which ended jobs are kept: 6.8 a second for 180 s.
	const ended, rate = 1200, 36
	var clients sync.WaitGroup
	body := `{"spec":"cut the pattern","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_runtime_ms":50}]}`
	ids := make([]string, ended)
	ticks := time.NewTicker(time.Second / rate)
	d.rec.quiet = true
	for i := range ids {
		<-ticks.C
		ids[i] = newID()
		d.history.addJob(ids[i], 0, 50*time.Millisecond)
		clients.Go(func() { d.client(http.MethodPost, i%3, 2, "atelier", ids[i], body) })
	}
	ticks.Stop()
	clients.Wait()
	time.Sleep(2 * time.Second)
	d.rec.quiet = false
	d.rec.add("client: %d small jobs were handed in and have run", ended)
	if trouble {
		leads := d.leader()
		d.entries[leads].kill()
		d.rec.add("platform: %s, which leads, is killed", d.entries[leads].name)
		time.Sleep(time.Second)
		d.entries[leads].start()
		d.rec.add("platform: it is started again")
	}
	changed := time.Now()
	time.Sleep(28 * time.Second)
	var long []string
	for i := range 16 {
		id := newID()
		long = append(long, id)
		d.submit(i%3, 1, "atelier", id, 1, 1, 60*time.Second, "")
	}
	time.Sleep(time.Until(changed.Add(34 * time.Second)))
	worst, worstID := time.Duration(0), ""
	acked := map[string]time.Time{}
	for i, id := range long {
		if a := d.client(http.MethodDelete, i%3, 1, "atelier", id, ""); a.status == http.StatusOK {
			acked[id] = time.Now()
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	for id, at := range acked {
		for _, r := range d.history.runsOf(id) {
			end := r.end
			if end.IsZero() {
				end = time.Now()
			}
			if end.Sub(at) > worst {
				worst, worstID = end.Sub(at), r.task
			}
		}
	}
	if worst > 3900*time.Millisecond {
		return true, fmt.Sprintf("UNASKED: %s runs on until %s after the acknowledgement of its job's cancelling; cancel_ms and stop_grace_ms are 3.9 s", worstID, seconds(worst))
	}
	return false, fmt.Sprintf("%d jobs were cancelled, their tasks were gone %s later at most", len(acked), seconds(worst))
}
