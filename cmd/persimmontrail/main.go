// Command persimmontrail is the scheduler: entry, agent and command line in one binary.
package main

import (
	"os"

	"persimmontrail/internal/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:])) }
