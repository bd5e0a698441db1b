// Command persimmontrail runs an entry, which accepts and schedules work, an agent, which starts work
// on a worker or an endpoint, or a client command.
//
// The worker runs the tasks of jobs, and the endpoint serves requests. One entry of each region is its
// scheduler for a term, which a lease in the store limits unless the store fails; the epoch numbers the
// terms. The tasks of a job form a gang, which starts together or not at all. Its start has four steps:
// hold and commit reserve resources at each agent, start runs the tasks, and confirm states that the
// gang runs on all of them. An attempt is a numbered start of a job. A permit is an agent's
// time-limited permission to start work, and names the failure domains in which nothing may start. The
// tests run these processes against stand-ins for the store, workers and endpoints of the platform.
//
// Command persimmontrail-node is the corresponding program for another platform, that of package
// platform; its entry and agent are built from other packages, such as leader and agent.
package main

import (
	"os"

	"persimmontrail/internal/commander"
)

func main() { os.Exit(commander.Main(os.Args[1:])) }
