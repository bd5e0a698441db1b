package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// maxCase bounds a case.
const maxCase = 110 * time.Second

// cases are the cases by name. Each returns what broke the rule; nil means that the rule held.
var cases = map[string]func(ctx context.Context, rec *record, trouble bool) ([]string, error){
	"odd-heartbeat": oddHeartbeat,
	"odd-writer":    oddWriter,
	"odd-zone":      oddZone,
	"lasting-gang":  lastingGang,
}

// Exit codes: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func main() {
	name := flag.String("case", "", "`name` of the case")
	path := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(2)
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %t", *name, trouble)
	ctx, cancel := context.WithTimeout(context.Background(), maxCase)
	defer cancel()
	broken, err := run(ctx, rec, trouble)
	switch {
	case err != nil:
		rec.line("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case len(broken) > 0:
		for _, b := range broken {
			rec.line("broken: %s", b)
			fmt.Println(b)
		}
		os.Exit(1)
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
}
