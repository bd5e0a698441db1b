package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"persimmontrail/pkg/descriptor"
)

// maxLineBytes limits the length of a line. A configuration with 420 workspaces takes about 100 KB.
const maxLineBytes = 4 << 20

// FormatError is an error in a trace, with its position.
type FormatError struct {
	// Line is the line number, starting at 1.
	Line int
	// Field is the path of the field, such as Job.Tasks or, with an index from 0, Fleet.0.ID; empty if the error concerns the
	// whole line.
	Field string
	Err   error
}

// Error returns the message with the line and, if known, the field.
func (e *FormatError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("trace line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("trace line %d: field %s: %v", e.Line, e.Field, e.Err)
}

// Unwrap returns Err, so that errors.Is and errors.As apply to it.
func (e *FormatError) Unwrap() error { return e.Err }

// Read reads and validates a trace. Its error is a *FormatError for the first invalid line; the trace then holds only what was
// read up to that line.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	c := checker{}
	for s.Scan() {
		c.line++
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			return t, &FormatError{Line: c.line, Err: errors.New("empty line")}
		}
		if err := c.readLine(&t, s.Bytes()); err != nil {
			return t, err
		}
	}
	if err := s.Err(); err != nil {
		return t, &FormatError{Line: c.line + 1, Err: err}
	}
	if c.line == 0 {
		return t, &FormatError{Line: 1, Err: errors.New("no header")}
	}
	return t, nil
}

// Write writes t as lines of JSON, the header first. It does not validate t, so that Read may reject what it writes.
func Write(w io.Writer, t Trace) error {
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	if err := e.Encode(t.Header); err != nil {
		return fmt.Errorf("write trace header: %w", err)
	}
	for i := range t.Events {
		if err := e.Encode(&t.Events[i]); err != nil {
			return fmt.Errorf("write trace event %d: %w", i+1, err)
		}
	}
	return nil
}

// checker validates each line against the lines before it.
type checker struct {
	// line is the number of the current line, starting at 1.
	line int
	// lastOffset is the offset of the last event, or 0 before the first, so that offsets can neither fall nor be negative.
	lastOffset descriptor.Duration
	// workers, domains and jobs hold the identifiers that earlier lines define.
	workers map[descriptor.WorkerID]bool
	domains map[descriptor.FailureDomainID]bool
	jobs    map[descriptor.JobKey]bool
}

// errorf returns a FormatError for the current line. An empty field means the whole line.
func (c *checker) errorf(field, format string, arguments ...any) error {
	return &FormatError{Line: c.line, Field: field, Err: fmt.Errorf(format, arguments...)}
}

// readLine decodes and validates one line: the first one is the header, all others are events.
func (c *checker) readLine(t *Trace, data []byte) error {
	if c.line == 1 {
		if err := c.decode(data, &t.Header); err != nil {
			return err
		}
		return c.checkHeader(&t.Header)
	}
	var e Event
	if err := c.decode(data, &e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return c.checkEvent(&e)
}

// decode decodes a line that must hold a single JSON value without unknown fields.
func (c *checker) decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err := d.Token(); err != io.EOF {
			return c.errorf("", "text after the JSON value")
		}
		return nil
	}
	return &FormatError{Line: c.line, Field: invalidField(data, reflect.TypeOf(v).Elem()), Err: err}
}

// invalidField returns the path of the first field in data that cannot be decoded into type t. The errors of encoding/json do
// not name the field when its type implements json.Unmarshaler or encoding.TextUnmarshaler.
func invalidField(data []byte, t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		var fields map[string]json.RawMessage
		if json.Unmarshal(data, &fields) != nil {
			return ""
		}
		for i := range t.NumField() {
			f := t.Field(i)
			if path, invalid := invalidPath(fields[f.Name], f.Type); invalid {
				return strings.TrimSuffix(f.Name+"."+path, ".")
			}
		}
	case reflect.Slice:
		var items []json.RawMessage
		if json.Unmarshal(data, &items) != nil {
			return ""
		}
		for i, item := range items {
			if path, invalid := invalidPath(item, t.Elem()); invalid {
				return strings.TrimSuffix(fmt.Sprintf("%d.%s", i, path), ".")
			}
		}
	}
	return ""
}

// invalidPath reports whether data cannot be decoded into type t, and returns the path of the invalid field within it. An absent
// field, for which data is nil, is valid.
func invalidPath(data json.RawMessage, t reflect.Type) (string, bool) {
	if data == nil {
		return "", false
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if d.Decode(reflect.New(t).Interface()) == nil {
		return "", false
	}
	return invalidField(data, t), true
}

func (c *checker) checkHeader(h *Header) error {
	switch {
	case h.Format != Format:
		return c.errorf("Format", "is %q, want %q", h.Format, Format)
	case h.Duration <= 0:
		return c.errorf("Duration", "must be above 0")
	case h.CheckpointTime < 0:
		return c.errorf("CheckpointTime", "must not be negative")
	case len(h.Fleet) == 0:
		return c.errorf("Fleet", "must not be empty")
	}
	c.jobs = make(map[descriptor.JobKey]bool)
	c.domains = make(map[descriptor.FailureDomainID]bool)
	for _, d := range h.Configuration.FailureDomains {
		c.domains[d.Name] = true
	}
	if err := c.checkFleet(h); err != nil {
		return err
	}
	return c.checkOutcomes(h)
}

func (c *checker) checkFleet(h *Header) error {
	c.workers = make(map[descriptor.WorkerID]bool)
	for i, w := range h.Fleet {
		fieldPrefix := fmt.Sprintf("Fleet.%d.", i)
		switch {
		case w.ID == "" || c.workers[w.ID]:
			return c.errorf(fieldPrefix+"ID", "%q is empty or repeated", w.ID)
		case !c.domains[w.FailureDomain]:
			return c.errorf(fieldPrefix+"FailureDomain", "%q is not in the configuration", w.FailureDomain)
		case w.Region == "":
			return c.errorf(fieldPrefix+"Region", "must not be empty")
		case w.Accelerators < 0 || w.Cores < 0 || w.Memory < 0:
			return c.errorf(fieldPrefix+"Accelerators", "resources must not be negative")
		}
		c.workers[w.ID] = true
	}
	return nil
}

func (c *checker) checkOutcomes(h *Header) error {
	for i, o := range h.Outcomes {
		if !slices.Contains(outcomeNames, o.Name) {
			return c.errorf(fmt.Sprintf("Outcomes.%d.Name", i), "%q is unknown", o.Name)
		}
		if o.Name == OutcomeUrgentWithinTarget && findClass(&h.Configuration, o.Class) == nil {
			return c.errorf(fmt.Sprintf("Outcomes.%d.Class", i), "%q is not in the configuration", o.Class)
		}
	}
	return nil
}

func (c *checker) checkEvent(e *Event) error {
	if e.At < c.lastOffset {
		return c.errorf("At", "%v lies before the event above, or below 0", e.At.TimeDuration())
	}
	c.lastOffset = e.At
	switch e.Kind {
	case JobArrives:
		return c.checkArrival(e)
	case JobCancelled:
		if e.Key == nil || !c.jobs[*e.Key] {
			return c.errorf("Key", "names no job that arrived before")
		}
	case WorkerFails, WorkerReturns, WorkerTurnsBad, WorkerTurnsGood:
		if !c.workers[e.Worker] {
			return c.errorf("Worker", "%q is not in the fleet", e.Worker)
		}
	case FailureDomainOut, FailureDomainIn:
		if !c.domains[e.FailureDomain] {
			return c.errorf("FailureDomain", "%q is not in the configuration", e.FailureDomain)
		}
	case ConfigurationChanges:
		if e.Configuration == nil {
			return c.errorf("Configuration", "is missing")
		}
	default:
		return c.errorf("Kind", "%q is unknown", e.Kind)
	}
	return nil
}

func (c *checker) checkArrival(e *Event) error {
	j := e.Job
	switch {
	case j == nil:
		return c.errorf("Job", "is missing")
	case j.ID == "":
		return c.errorf("Job.ID", "must not be empty")
	case c.jobs[j.Key()]:
		return c.errorf("Job.ID", "%v arrived before", j.Key())
	case j.Tasks < 1 || j.Tasks > descriptor.MaxGang:
		return c.errorf("Job.Tasks", "is %d, want 1 to %d", j.Tasks, descriptor.MaxGang)
	case j.PerTask.Accelerators < 0 || j.PerTask.Cores < 0 || j.PerTask.Memory < 0:
		return c.errorf("Job.PerTask", "must not be negative")
	case j.Adjacency < 0:
		return c.errorf("Job.Adjacency", "is unknown")
	case e.RunTime <= 0:
		return c.errorf("RunTime", "must be above 0")
	}
	c.jobs[j.Key()] = true
	return nil
}

// findClass returns the class with the given name, or nil if there is none.
func findClass(cfg *descriptor.Configuration, name descriptor.ClassID) *descriptor.Class {
	for i := range cfg.Classes {
		if cfg.Classes[i].Name == name {
			return &cfg.Classes[i]
		}
	}
	return nil
}
