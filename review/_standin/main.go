// Command standin runs one case of the review against the project's own processes and stand-ins for the platform. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases holds the cases by name. A case returns the breaks of its rule.
var cases = map[string]func(d *deployment) ([]string, error){
	"ends":   runEnds,
	"answer": runAnswer,
	"burst":  runBurst,
	"due":    runDue,
	"rename": runRename,
	"spec":   runSpec,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{file: file, start: time.Now()}
	rec.printf("case %s, with the disruption: %v", os.Args[1], trouble)
	d, err := newDeployment(rec, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	// The processes end also when the case is told to stop.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		d.close()
		os.Exit(2)
	}()
	breaks, err := cases[os.Args[1]](d)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	for i, b := range breaks {
		if i < 20 {
			rec.printf("BROKEN: %s", b)
		}
	}
	rec.printf("result: %d breaks of the rule", len(breaks))
	fmt.Printf("%d breaks of the rule\n", len(breaks))
	if len(breaks) > 0 {
		fmt.Println(breaks[0])
		return 1
	}
	return 0
}
