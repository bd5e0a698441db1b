// Command review-2 plays the cases 6, 7, 9 and 10 of the review, and the trials of trials.go. It starts the node program as separate processes on loopback
// addresses, together with stand-ins for the platform's store, its workers and its clients, writes what was sent,
// answered and run to record.txt in the case's folder, and judges the rule that the case names by that.
//
//	review-2 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// cases maps the name of a case to its function, which returns whether the rule was broken, and why.
var cases = map[string]func(d *deployment) (bool, string){
	"late-leave": lateLeave, "late-report": lateReport, "cancel-before-write": cancelBeforeWrite,
	"silent-stop": silentStop,
	// Trials that are no cases.
	"guarantee-split": guaranteeSplit, "rack-wait": rackWait, "late-heartbeat": lateHeartbeat, "odd-heartbeats": oddHeartbeats, "sweep-stall": sweepStall,
}

// trouble is false if the disruption is to be left out.
var trouble = os.Getenv("TROUBLE") != "0"

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
	// quiet leaves lines out, as long as it is set.
	quiet bool
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quiet {
		return
	}
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as in the record.
func (r *recorder) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.startAt).Seconds()) }

// cannotRun is the panic value of a case that could not run.
type cannotRun string

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, startAt: time.Now()}
	d := &deployment{rec: rec}
	defer d.close()
	defer func() {
		switch p := recover().(type) {
		case nil:
		case cannotRun:
			rec.add("the case could not run: %s", string(p))
			fmt.Println("the case could not run:", string(p))
			code = 2
		default:
			panic(p)
		}
	}()
	time.AfterFunc(115*time.Second, func() {
		rec.add("the case took too long")
		d.close()
		os.Exit(2)
	})
	rec.add("case %s, disruption %v", os.Args[1], trouble)
	broken, why := cases[os.Args[1]](d)
	if broken {
		rec.add("BROKEN: %s", why)
		fmt.Println("broken:", why)
		return 1
	}
	rec.add("HELD: %s", why)
	fmt.Println("held:", why)
	return 0
}
