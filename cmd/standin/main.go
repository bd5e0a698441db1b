// Command standin runs a stand-in for the platform's store, a worker or an endpoint in a separate process.
package main

import (
	"context"
	"os"

	"persimmontrail/internal/faker"
)

func main() {
	os.Exit(faker.RunCommand(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
