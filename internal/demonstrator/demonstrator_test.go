package demonstrator

import (
	"context"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDemoFindsNoViolations guards against lost work and violations in the demo, which new users run
// first, and against a demo that refuses 8 or more of its 190 requests.
func TestDemoFindsNoViolations(t *testing.T) {
	t.Parallel()
	var out strings.Builder
	d := Demo{Out: &out}
	report, err := d.Run(context.Background())
	assert.NilError(t, err, out.String())
	assert.NilError(t, report.Check(), out.String())
	assert.Assert(t, report.Accepted > 200 && report.Completed == report.Accepted, out.String())
}

// TestCheckReportsViolations guards against a Report.Check that accepts lost work or a violation.
func TestCheckReportsViolations(t *testing.T) {
	reports := map[string]Report{
		"lost":           {Accepted: 2, Completed: 1, Lost: 1},
		"ran twice":      {RanTwice: 1},
		"partial gang":   {PartialGangs: 1},
		"removed domain": {StartsInRemovedDomain: 1},
		"false not run":  {FalseNotRun: 1},
		"uncounted":      {Accepted: 1},
	}
	for name, r := range reports {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, errors.Is(r.Check(), ErrViolation))
		})
	}
	clean := Report{Accepted: 3, Completed: 3}
	assert.NilError(t, clean.Check())
}
