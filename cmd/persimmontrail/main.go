// Command persimmontrail is the scheduler: entry, agent and command line in one binary.
package main

func main() {}
