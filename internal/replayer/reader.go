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

// maxLine bounds one line of a trace. A configuration with 420 workspaces takes about 100 KB.
const maxLine = 4 << 20

// FormatError tells where a trace is wrong.
type FormatError struct {
	// Line counts from 1.
	Line int
	// Field is the path of the field, such as Job.Tasks; empty when the whole line is meant.
	Field string
	Err   error
}

// Error names line and field.
func (e *FormatError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("trace line %d: %v", e.Line, e.Err)
	}
	return fmt.Sprintf("trace line %d: field %s: %v", e.Line, e.Field, e.Err)
}

// Unwrap returns the cause.
func (e *FormatError) Unwrap() error { return e.Err }

// Read reads a trace and checks it.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	c := checker{}
	for s.Scan() {
		c.line++
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			return t, &FormatError{Line: c.line, Err: errors.New("empty line")}
		}
		if err := c.read(&t, s.Bytes()); err != nil {
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

// Write writes t in the form that Read reads.
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

// checker checks each line against those before it.
type checker struct {
	line    int
	last    descriptor.Duration
	workers map[descriptor.WorkerID]bool
	domains map[descriptor.FailureDomainID]bool
	jobs    map[descriptor.JobKey]bool
}

func (c *checker) fault(field, format string, arguments ...any) error {
	return &FormatError{Line: c.line, Field: field, Err: fmt.Errorf(format, arguments...)}
}

func (c *checker) read(t *Trace, data []byte) error {
	if c.line == 1 {
		if err := c.decode(data, &t.Header); err != nil {
			return err
		}
		return c.header(&t.Header)
	}
	var e Event
	if err := c.decode(data, &e); err != nil {
		return err
	}
	t.Events = append(t.Events, e)
	return c.event(&e)
}

func (c *checker) decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, err := d.Token(); err != io.EOF {
			return c.fault("", "text after the JSON value")
		}
		return nil
	}
	return &FormatError{Line: c.line, Field: faultyField(data, reflect.TypeOf(v).Elem()), Err: err}
}

// faultyField finds the field of a line that cannot be decoded. The errors of encoding/json do not name it when a type decodes itself.
func faultyField(data []byte, t reflect.Type) string {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Struct:
		var members map[string]json.RawMessage
		if json.Unmarshal(data, &members) != nil {
			return ""
		}
		for i := range t.NumField() {
			f := t.Field(i)
			if path, faulty := faultyPart(members[f.Name], f.Type); faulty {
				return strings.TrimSuffix(f.Name+"."+path, ".")
			}
		}
	case reflect.Slice:
		var items []json.RawMessage
		if json.Unmarshal(data, &items) != nil {
			return ""
		}
		for i, item := range items {
			if path, faulty := faultyPart(item, t.Elem()); faulty {
				return strings.TrimSuffix(fmt.Sprintf("%d.%s", i, path), ".")
			}
		}
	}
	return ""
}

func faultyPart(data json.RawMessage, t reflect.Type) (string, bool) {
	if data == nil {
		return "", false
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if d.Decode(reflect.New(t).Interface()) == nil {
		return "", false
	}
	return faultyField(data, t), true
}

func (c *checker) header(h *Header) error {
	switch {
	case h.Format != Format:
		return c.fault("Format", "is %q, want %q", h.Format, Format)
	case h.Duration <= 0:
		return c.fault("Duration", "must be above 0")
	case h.CheckpointTime < 0:
		return c.fault("CheckpointTime", "must not be negative")
	case len(h.Fleet) == 0:
		return c.fault("Fleet", "must not be empty")
	}
	c.jobs = make(map[descriptor.JobKey]bool)
	c.domains = make(map[descriptor.FailureDomainID]bool)
	for _, d := range h.Configuration.FailureDomains {
		c.domains[d.Name] = true
	}
	if err := c.fleet(h); err != nil {
		return err
	}
	return c.outcomes(h)
}

func (c *checker) fleet(h *Header) error {
	c.workers = make(map[descriptor.WorkerID]bool)
	for i, w := range h.Fleet {
		field := fmt.Sprintf("Fleet.%d.", i)
		switch {
		case w.ID == "" || c.workers[w.ID]:
			return c.fault(field+"ID", "%q is empty or repeated", w.ID)
		case !c.domains[w.FailureDomain]:
			return c.fault(field+"FailureDomain", "%q is not in the configuration", w.FailureDomain)
		case w.Region == "":
			return c.fault(field+"Region", "must not be empty")
		case w.Accelerators < 0 || w.Cores < 0 || w.Memory < 0:
			return c.fault(field+"Accelerators", "resources must not be negative")
		}
		c.workers[w.ID] = true
	}
	return nil
}

func (c *checker) outcomes(h *Header) error {
	for i, o := range h.Outcomes {
		if !slices.Contains(outcomeNames, o.Name) {
			return c.fault(fmt.Sprintf("Outcomes.%d.Name", i), "%q is unknown", o.Name)
		}
		if o.Name == OutcomeUrgentWithinTarget && classOf(&h.Configuration, o.Class) == nil {
			return c.fault(fmt.Sprintf("Outcomes.%d.Class", i), "%q is not in the configuration", o.Class)
		}
	}
	return nil
}

func (c *checker) event(e *Event) error {
	if e.At < c.last {
		return c.fault("At", "%v lies before the event above, or below 0", e.At.Std())
	}
	c.last = e.At
	switch e.Kind {
	case JobArrives:
		return c.arrival(e)
	case JobCancelled:
		if e.Key == nil || !c.jobs[*e.Key] {
			return c.fault("Key", "names no job that arrived before")
		}
	case WorkerFails, WorkerReturns, WorkerTurnsBad, WorkerTurnsGood:
		if !c.workers[e.Worker] {
			return c.fault("Worker", "%q is not in the fleet", e.Worker)
		}
	case FailureDomainOut, FailureDomainIn:
		if !c.domains[e.FailureDomain] {
			return c.fault("FailureDomain", "%q is not in the configuration", e.FailureDomain)
		}
	case ConfigurationChanges:
		if e.Configuration == nil {
			return c.fault("Configuration", "is missing")
		}
	default:
		return c.fault("Kind", "%q is unknown", e.Kind)
	}
	return nil
}

func (c *checker) arrival(e *Event) error {
	j := e.Job
	switch {
	case j == nil:
		return c.fault("Job", "is missing")
	case j.ID == "":
		return c.fault("Job.ID", "must not be empty")
	case c.jobs[j.Key()]:
		return c.fault("Job.ID", "%v arrived before", j.Key())
	case j.Tasks < 1 || j.Tasks > descriptor.MaxGang:
		return c.fault("Job.Tasks", "is %d, want 1 to %d", j.Tasks, descriptor.MaxGang)
	case j.PerTask.Accelerators < 0 || j.PerTask.Cores < 0 || j.PerTask.Memory < 0:
		return c.fault("Job.PerTask", "must not be negative")
	case j.Adjacency < 0:
		return c.fault("Job.Adjacency", "is unknown")
	case e.RunTime <= 0:
		return c.fault("RunTime", "must be above 0")
	}
	c.jobs[j.Key()] = true
	return nil
}

func classOf(cfg *descriptor.Configuration, name descriptor.ClassID) *descriptor.Class {
	for i := range cfg.Classes {
		if cfg.Classes[i].Name == name {
			return &cfg.Classes[i]
		}
	}
	return nil
}
