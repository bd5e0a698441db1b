// Command standin runs a stand-in for the platform's store, a worker or an endpoint as a process of its own.
package main

import (
	"context"
	"os"

	"persimmontrail/internal/faker"
)

func main() {
	os.Exit(faker.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
