package descriptor

import (
	"encoding/json"
	"fmt"
	"time"
)

// Each id is unique among the objects of its kind in one deployment, except where a smaller scope is stated.
type (
	// WorkspaceID names a workspace, the customer that holds guarantees.
	WorkspaceID string
	// ClassID names a class of work.
	ClassID string
	// JobID is unique within a workspace; callers choose it.
	JobID string
	// RequestID is unique within a workspace; callers choose it and repeat it on a retry.
	RequestID string
	// WorkerID names a worker, a VM that runs tasks.
	WorkerID string
	// RackID names a rack and is unique within a failure domain.
	RackID string
	// FailureDomainID names a failure domain, the unit that operators take out of service.
	FailureDomainID string
	// RegionID names a region, which consists of one or more failure domains connected by a fast network.
	RegionID string
	// EndpointID names an endpoint, a process that serves requests.
	EndpointID string
	// EntryID names a running entry process.
	EntryID string
	// ServiceID names the service that an endpoint offers, or whose workers may run a workload.
	ServiceID string
)

type (
	// Accelerators is a number of whole accelerators.
	Accelerators int
	// Cores is an amount of processor cores in units of one whole core, unlike MilliCores. It may be a fraction.
	Cores float64
	// Megabytes is an amount of memory in units of 1,000,000 bytes.
	Megabytes int64
	// Revision numbers accepted configurations; a higher one is newer.
	Revision int64
	// Epoch numbers the terms of a region's scheduler; a higher one is newer. A term is the time during which one entry
	// is the scheduler.
	Epoch int64
	// Attempt numbers the attempts to run one job, from 1.
	Attempt int
	// Share is a fraction of a workspace's guarantee, from 0 to 1.
	Share float64
)

// Duration is a time.Duration that is encoded in JSON as text, such as "1m30s".
type Duration time.Duration

// MarshalJSON encodes d as text in the form of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes text that time.ParseDuration accepts. A JSON number is an error.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration must be text such as \"30s\": %w", err)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// TimeDuration returns d for use with package time. Unlike d, the result is encoded in JSON as a number of nanoseconds.
func (d Duration) TimeDuration() time.Duration { return time.Duration(d) }

// Level says how close together the accelerators of a shape or gang must be.
type Level int

// The levels from the loosest to the tightest. The zero value is the loosest.
const (
	// LevelFailureDomain keeps all accelerators in one failure domain.
	LevelFailureDomain Level = iota
	// LevelRack keeps all accelerators in one rack.
	LevelRack
	// LevelWorker keeps all accelerators in one worker.
	LevelWorker
)

var levelNames = [...]string{"FailureDomain", "Rack", "Worker"}

// String returns the name that configuration files use, or "Level(n)" for an undefined level n.
func (l Level) String() string {
	if l < 0 || int(l) >= len(levelNames) {
		return fmt.Sprintf("Level(%d)", int(l))
	}
	return levelNames[l]
}

// MarshalText encodes l as String does. UnmarshalText does not accept the text of an undefined level.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText decodes the name of a level. It returns an error for any other text.
func (l *Level) UnmarshalText(text []byte) error {
	for i, n := range levelNames {
		if n == string(text) {
			*l = Level(i)
			return nil
		}
	}
	return fmt.Errorf("unknown level %q, want FailureDomain, Rack or Worker", text)
}
