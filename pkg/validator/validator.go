// Package validator checks configurations, jobs and requests before they are
// accepted. Every error names the field and the reason, and all errors of one
// object are returned together.
package validator

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"persimmontrail/pkg/descriptor"
)

// ErrInvalid matches every error of this package with errors.Is.
var ErrInvalid = errors.New("invalid")

// Limits of what is accepted.
const (
	// MaxPayload in bytes. A job document of the store holds up to about 100 jobs
	// that have not ended, at the target size in one region, within 1 MB.
	MaxPayload = 8_000
	// MaxBody is the largest body of a request in bytes.
	MaxBody = 1_000_000
	// MaxName is the longest name or id in bytes.
	MaxName = 128
	// MaxWorkspaces and MaxClasses bound the configuration document.
	MaxWorkspaces = 2_000
	MaxClasses    = 200
	// MaxCopies bounds the copies of all guaranteed shapes together, and MaxWorkers the
	// expected fleet, at twice the largest deployment planned. The check that guarantees
	// fit grows with their product: 20,000 of each took 7 s, in which an entry is busy.
	MaxCopies  = 8_000
	MaxWorkers = 8_000
	// MaxAccelerators bounds the accelerators of one shape and of one worker.
	MaxAccelerators = 1_000_000
	// MaxFinishWithin is the longest target of a class.
	MaxFinishWithin = 30 * 24 * time.Hour
)

// FieldError is one fault of one field.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns "Field: reason".
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// Errors lists all faults of one object.
type Errors []FieldError

// Error returns all faults, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (e Errors) Is(target error) bool { return target == ErrInvalid }

type checker struct {
	errors Errors
}

func (c *checker) failf(field, format string, args ...any) {
	c.errors = append(c.errors, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, name string) {
	switch {
	case name == "":
		c.failf(field, "must not be empty")
	case len(name) > MaxName:
		c.failf(field, "is %d bytes long, at most %d are allowed", len(name), MaxName)
	case strings.ContainsFunc(name, isForbidden):
		c.failf(field, "%q contains a slash, a space or a control character", name)
	}
}

func isForbidden(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }

func (c *checker) result() error {
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

// Job checks a job against a configuration.
func Job(job *descriptor.Job, cfg *descriptor.Configuration) error {
	var c checker
	c.name("ID", string(job.ID))
	c.workspaceAndClass(job.Workspace, job.Class, cfg)
	if job.Region != "" && !hasRegion(cfg, job.Region) {
		c.failf("Region", "no failure domain lies in region %q", job.Region)
	}
	if job.Tasks < 1 || job.Tasks > descriptor.MaxGang {
		c.failf("Tasks", "is %d, want 1 to %d", job.Tasks, descriptor.MaxGang)
	}
	c.resources(job.PerTask)
	if job.DeclaredRunTime <= 0 {
		c.failf("DeclaredRunTime", "is %v, want more than 0s", job.DeclaredRunTime.Std())
	}
	if len(job.Payload) > MaxPayload {
		c.failf("Payload", "is %d bytes, at most %d are allowed", len(job.Payload), MaxPayload)
	}
	return c.result()
}

// Request checks a request against a configuration.
func Request(request *descriptor.Request, cfg *descriptor.Configuration) error {
	var c checker
	c.name("ID", string(request.ID))
	c.workspaceAndClass(request.Workspace, request.Class, cfg)
	if class := FindClass(cfg, request.Class); class != nil && class.Service == "" {
		c.failf("Class", "class %q names no service, so it takes jobs only", request.Class)
	}
	if len(request.Body) > MaxBody {
		c.failf("Body", "is %d bytes, at most %d are allowed", len(request.Body), MaxBody)
	}
	return c.result()
}

func (c *checker) workspaceAndClass(w descriptor.WorkspaceID, class descriptor.ClassID, cfg *descriptor.Configuration) {
	if FindWorkspace(cfg, w) == nil {
		c.failf("Workspace", "no workspace %q in configuration revision %d", w, cfg.Revision)
	}
	if FindClass(cfg, class) == nil {
		c.failf("Class", "no class %q in configuration revision %d", class, cfg.Revision)
	}
}

func (c *checker) resources(r descriptor.Resources) {
	if r.Accelerators < 0 {
		c.failf("PerTask.Accelerators", "is %d, want 0 or more", r.Accelerators)
	}
	if r.Cores < 0 {
		c.failf("PerTask.Cores", "is %g, want 0 or more", float64(r.Cores))
	}
	if r.Memory < 0 {
		c.failf("PerTask.Memory", "is %d, want 0 or more", r.Memory)
	}
	if r == (descriptor.Resources{}) {
		c.failf("PerTask", "asks for no resources")
	}
}

// FindWorkspace returns the workspace with the given name, or nil.
func FindWorkspace(cfg *descriptor.Configuration, name descriptor.WorkspaceID) *descriptor.Workspace {
	for i := range cfg.Workspaces {
		if cfg.Workspaces[i].Name == name {
			return &cfg.Workspaces[i]
		}
	}
	return nil
}

// FindClass returns the class with the given name, or nil.
func FindClass(cfg *descriptor.Configuration, name descriptor.ClassID) *descriptor.Class {
	for i := range cfg.Classes {
		if cfg.Classes[i].Name == name {
			return &cfg.Classes[i]
		}
	}
	return nil
}

func hasRegion(cfg *descriptor.Configuration, region descriptor.RegionID) bool {
	for _, d := range cfg.FailureDomains {
		if d.Region == region {
			return true
		}
	}
	return false
}
