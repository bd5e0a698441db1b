package validator

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
)

// ParseConfiguration parses a configuration file in JSON without validating it. Unknown fields are errors, and so is
// anything after the first JSON value. Its errors match ErrInvalid.
func ParseConfiguration(data []byte) (*descriptor.Configuration, error) {
	var cfg descriptor.Configuration
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&cfg); err != nil {
		return nil, Errors{{Field: "configuration", Reason: jsonErrorReason(err, d.InputOffset())}}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, Errors{{Field: "configuration", Reason: "holds more than one JSON value"}}
	}
	return &cfg, nil
}

func jsonErrorReason(err error, offset int64) string {
	return fmt.Sprintf("%v (near byte %d)", err, offset)
}

// CheckConfiguration validates cfg and checks that all guarantees fit at the same time on the expected fleet or, if cfg
// describes no fleet, on the given workers. If workers is empty as well, or if cfg has other errors, it does not check
// whether the guarantees fit. It returns nil or Errors.
func CheckConfiguration(cfg *descriptor.Configuration, workers []descriptor.Worker) error {
	var c checker
	c.checkFailureDomains(cfg)
	c.checkWorkspaces(cfg)
	c.checkClasses(cfg)
	c.checkFleet(cfg)
	if len(c.errors) == 0 {
		c.checkGuaranteesFit(cfg, workers)
	}
	return c.err()
}

func (c *checker) checkFailureDomains(cfg *descriptor.Configuration) {
	if len(cfg.FailureDomains) == 0 {
		c.addf("FailureDomains", "must name at least one failure domain")
	}
	seen := map[descriptor.FailureDomainID]bool{}
	for i, d := range cfg.FailureDomains {
		field := fmt.Sprintf("FailureDomains[%d]", i)
		c.checkName(field+".Name", string(d.Name))
		c.checkName(field+".Region", string(d.Region))
		if seen[d.Name] {
			c.addf(field+".Name", "%q is used twice", d.Name)
		}
		seen[d.Name] = true
	}
}

func (c *checker) checkWorkspaces(cfg *descriptor.Configuration) {
	if len(cfg.Workspaces) > MaxWorkspaces {
		c.addf("Workspaces", "lists %d, at most %d are allowed", len(cfg.Workspaces), MaxWorkspaces)
	}
	copyCount := 0
	seen := map[descriptor.WorkspaceID]bool{}
	for i, w := range cfg.Workspaces {
		field := fmt.Sprintf("Workspaces[%d]", i)
		c.checkName(field+".Name", string(w.Name))
		if seen[w.Name] {
			c.addf(field+".Name", "%q is used twice", w.Name)
		}
		seen[w.Name] = true
		if w.TokenHash != "" && len(w.TokenHash) != 64 {
			c.addf(field+".TokenHash", "has %d characters, want the 64 of a SHA-256 in hex", len(w.TokenHash))
		}
		if _, err := hex.DecodeString(w.TokenHash); err != nil {
			c.addf(field+".TokenHash", "is not the hex of a SHA-256: %v", err)
		}
		for j, s := range w.Guarantees {
			c.checkShape(fmt.Sprintf("%s.Guarantees[%d]", field, j), s, cfg)
			// The sum is capped at one above the limit, so that it cannot overflow.
			copyCount = min(copyCount+min(s.Copies(), MaxGuaranteeCopies+1), MaxGuaranteeCopies+1)
		}
	}
	if copyCount > MaxGuaranteeCopies {
		c.addf("Workspaces", "guarantee more than %d shapes together", MaxGuaranteeCopies)
	}
}

func (c *checker) checkShape(field string, s descriptor.Shape, cfg *descriptor.Configuration) {
	if s.Accelerators < 1 || s.Accelerators > MaxAccelerators {
		c.addf(field+".Accelerators", "is %d, want 1 to %d", s.Accelerators, MaxAccelerators)
	}
	if s.Count < 0 {
		c.addf(field+".Count", "is %d, want 0 or more", s.Count)
	}
	if s.Region != "" && !hasRegion(cfg, s.Region) {
		c.addf(field+".Region", "no failure domain lies in region %q", s.Region)
	}
}

func (c *checker) checkClasses(cfg *descriptor.Configuration) {
	if len(cfg.Classes) > MaxClasses {
		c.addf("Classes", "lists %d, at most %d are allowed", len(cfg.Classes), MaxClasses)
	}
	seen := map[descriptor.ClassID]bool{}
	for i, class := range cfg.Classes {
		field := fmt.Sprintf("Classes[%d]", i)
		c.checkName(field+".Name", string(class.Name))
		if seen[class.Name] {
			c.addf(field+".Name", "%q is used twice", class.Name)
		}
		seen[class.Name] = true
		if class.Service != "" {
			c.checkName(field+".Service", string(class.Service))
		}
		if class.Share <= 0 || class.Share > 1 {
			c.addf(field+".Share", "is %g, want more than 0 and at most 1: a class cannot claim more than its workspace's guarantee", float64(class.Share))
		}
		if class.FinishWithin <= 0 || class.FinishWithin.TimeDuration() > MaxFinishWithin {
			c.addf(field+".FinishWithin", "is %v, want more than 0s and at most %v", class.FinishWithin.TimeDuration(), MaxFinishWithin)
		}
	}
}

func (c *checker) checkFleet(cfg *descriptor.Configuration) {
	workerCount := 0
	for i, r := range cfg.Fleet {
		field := fmt.Sprintf("Fleet[%d]", i)
		if regionOf(cfg, r.FailureDomain) == "" {
			c.addf(field+".FailureDomain", "no failure domain %q", r.FailureDomain)
		}
		if r.Racks < 1 || r.Workers < 1 || r.Accelerators < 0 {
			c.addf(field, "wants at least 1 rack, 1 worker and 0 accelerators, has %d, %d and %d", r.Racks, r.Workers, r.Accelerators)
			continue
		}
		if r.Accelerators > MaxAccelerators {
			c.addf(field+".Accelerators", "is %d, at most %d are allowed", r.Accelerators, MaxAccelerators)
		}
		// The values are capped at one above the limit, so that neither product nor sum can overflow.
		workerCount = min(workerCount+min(r.Racks, MaxWorkers+1)*min(r.Workers, MaxWorkers+1), MaxWorkers+1)
	}
	if workerCount > MaxWorkers {
		c.addf("Fleet", "lists more than %d workers", MaxWorkers)
	}
}

// checkGuaranteesFit uses a new scheduler.Core, so that validation and scheduling cannot disagree about what fits.
// Failure domains that are out of service count as available, because taking one out for maintenance must not require a
// change of guarantees.
func (c *checker) checkGuaranteesFit(cfg *descriptor.Configuration, workers []descriptor.Worker) {
	if len(cfg.Fleet) > 0 {
		workers = ExpectedWorkers(cfg)
	}
	if len(workers) == 0 {
		return
	}
	allInService := *cfg
	allInService.FailureDomains = nil
	for _, d := range cfg.FailureDomains {
		d.Out = false
		allInService.FailureDomains = append(allInService.FailureDomains, d)
	}
	var core scheduler.Core
	now := time.Now()
	core.Configure(&allInService, now)
	for _, w := range workers {
		core.SetWorker(w, now)
	}
	for _, g := range core.Guarantees(now) {
		if g.Possible < g.Shape.Copies() {
			c.addf("Workspaces", "guarantee of workspace %q (%d accelerators within one %s) does not fit together with the others: %s", g.Workspace, g.Shape.Accelerators, g.Shape.Adjacency, g.Cause)
		}
	}
}

// ExpectedWorkers returns the workers that the Fleet field of cfg describes. Their ids and racks are generated, and
// they have no cores or memory, which guarantees do not cover.
func ExpectedWorkers(cfg *descriptor.Configuration) []descriptor.Worker {
	var workers []descriptor.Worker
	for i, r := range cfg.Fleet {
		for k := range r.Racks {
			rack := descriptor.RackID(fmt.Sprintf("%s-%d-%d", r.FailureDomain, i, k))
			for n := range r.Workers {
				workers = append(workers, descriptor.Worker{
					ID:            descriptor.WorkerID(fmt.Sprintf("%s-%d", rack, n)),
					Rack:          rack,
					FailureDomain: r.FailureDomain,
					Region:        regionOf(cfg, r.FailureDomain),
					Accelerators:  r.Accelerators,
				})
			}
		}
	}
	return workers
}

// regionOf returns the region of a failure domain, or an empty id if cfg does not name the failure domain.
func regionOf(cfg *descriptor.Configuration, name descriptor.FailureDomainID) descriptor.RegionID {
	for _, d := range cfg.FailureDomains {
		if d.Name == name {
			return d.Region
		}
	}
	return ""
}
