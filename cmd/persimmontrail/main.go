// Command persimmontrail runs an entry, which accepts and schedules work, an agent, which starts work
// on a worker or an endpoint, or a client command.
package main

import (
	"os"

	"persimmontrail/internal/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:])) }
