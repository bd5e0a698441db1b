// Package validator checks configurations, jobs and requests before they are accepted. Every error names the field and
// the reason, and all errors of one object are returned together. The objects and terms are those of package
// descriptor.
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

const (
	// MaxPayload is the maximum size of a job's payload in bytes. In a deployment of the target size with one region, each
	// job document in the store holds up to about 100 jobs that have not ended. The document must stay
	// within 1 MB.
	MaxPayload = 8_000
	// MaxBody is the maximum size of a request's body in bytes.
	MaxBody = 1_000_000
	// MaxNameLength is the maximum length of a name or id in bytes.
	MaxNameLength = 128
	// MaxWorkspaces and MaxClasses limit the size of the configuration document.
	MaxWorkspaces = 2_000
	MaxClasses    = 200
	// MaxGuaranteeCopies limits the total number of copies of guaranteed shapes to twice that of the largest planned
	// deployment. The check that guarantees fit keeps an entry busy for a time that grows with the number of copies times
	// the number of workers: 7 s for 20,000 copies and 20,000 workers.
	MaxGuaranteeCopies = 8_000
	// MaxWorkers limits the number of workers in the expected fleet, for the same reason and likewise to twice that of the
	// largest planned deployment.
	MaxWorkers = 8_000
	// MaxAccelerators limits the accelerators of one shape and of one worker.
	MaxAccelerators = 1_000_000
	// MaxFinishWithin is the longest completion target of a class.
	MaxFinishWithin = 30 * 24 * time.Hour
)

// FieldError says why one field is invalid. Field is the path of the field, such as "Classes[0].Share", or the name of
// a setting.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason, as in "Tasks: is 0, want 1 to 256".
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// Errors lists all errors of one object.
type Errors []FieldError

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Is makes errors.Is(e, ErrInvalid) true for all Errors.
func (e Errors) Is(target error) bool { return target == ErrInvalid }

// checker collects the errors of one object.
type checker struct {
	errors Errors
}

// addf adds an error with a formatted reason.
func (c *checker) addf(field, format string, args ...any) {
	c.errors = append(c.errors, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// checkName adds an error unless name has 1 to MaxNameLength bytes and contains no slash, space or ASCII control
// character.
func (c *checker) checkName(field, name string) {
	switch {
	case name == "":
		c.addf(field, "must not be empty")
	case len(name) > MaxNameLength:
		c.addf(field, "is %d bytes long, at most %d are allowed", len(name), MaxNameLength)
	case strings.ContainsFunc(name, isForbiddenInName):
		c.addf(field, "%q contains a slash, a space or a control character", name)
	}
}

func isForbiddenInName(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }

// err returns the collected errors, or nil if there are none.
func (c *checker) err() error {
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

// CheckJob checks the fields of a job, and that cfg names its workspace, its class and, unless it is empty, its region. It
// returns nil or Errors. It does not check whether the job fits on any workers.
func CheckJob(job *descriptor.Job, cfg *descriptor.Configuration) error {
	var c checker
	c.checkName("ID", string(job.ID))
	c.checkWorkspaceAndClass(job.Workspace, job.Class, cfg)
	if job.Region != "" && !hasRegion(cfg, job.Region) {
		c.addf("Region", "no failure domain lies in region %q", job.Region)
	}
	if job.Tasks < 1 || job.Tasks > descriptor.MaxGang {
		c.addf("Tasks", "is %d, want 1 to %d", job.Tasks, descriptor.MaxGang)
	}
	c.checkResources(job.PerTask)
	if job.DeclaredRunTime <= 0 {
		c.addf("DeclaredRunTime", "is %v, want more than 0s", job.DeclaredRunTime.TimeDuration())
	}
	if len(job.Payload) > MaxPayload {
		c.addf("Payload", "is %d bytes, at most %d are allowed", len(job.Payload), MaxPayload)
	}
	return c.err()
}

// CheckRequest checks the fields of a request, that cfg names its workspace and class, and that the class has a service. It
// returns nil or Errors.
func CheckRequest(request *descriptor.Request, cfg *descriptor.Configuration) error {
	var c checker
	c.checkName("ID", string(request.ID))
	c.checkWorkspaceAndClass(request.Workspace, request.Class, cfg)
	if class := FindClass(cfg, request.Class); class != nil && class.Service == "" {
		c.addf("Class", "class %q names no service, so it takes jobs only", request.Class)
	}
	if len(request.Body) > MaxBody {
		c.addf("Body", "is %d bytes, at most %d are allowed", len(request.Body), MaxBody)
	}
	return c.err()
}

func (c *checker) checkWorkspaceAndClass(w descriptor.WorkspaceID, class descriptor.ClassID, cfg *descriptor.Configuration) {
	if FindWorkspace(cfg, w) == nil {
		c.addf("Workspace", "no workspace %q in configuration revision %d", w, cfg.Revision)
	}
	if FindClass(cfg, class) == nil {
		c.addf("Class", "no class %q in configuration revision %d", class, cfg.Revision)
	}
}

func (c *checker) checkResources(r descriptor.Resources) {
	if r.Accelerators < 0 {
		c.addf("PerTask.Accelerators", "is %d, want 0 or more", r.Accelerators)
	}
	if r.Cores < 0 {
		c.addf("PerTask.Cores", "is %g, want 0 or more", float64(r.Cores))
	}
	if r.Memory < 0 {
		c.addf("PerTask.Memory", "is %d, want 0 or more", r.Memory)
	}
	if r == (descriptor.Resources{}) {
		c.addf("PerTask", "asks for no resources")
	}
}

// FindWorkspace returns the workspace with the given name in cfg, not a copy, or nil.
func FindWorkspace(cfg *descriptor.Configuration, name descriptor.WorkspaceID) *descriptor.Workspace {
	for i := range cfg.Workspaces {
		if cfg.Workspaces[i].Name == name {
			return &cfg.Workspaces[i]
		}
	}
	return nil
}

// FindClass returns the class with the given name in cfg, not a copy, or nil.
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
