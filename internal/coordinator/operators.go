package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/registrar"
	"persimmontrail/internal/scheduler"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

// acknowledgeTimeout bounds the wait for other entries to acknowledge a change after it is stored.
const acknowledgeTimeout = 2 * time.Second

// Values of ChangeResponse.State.
const (
	// ChangeAccepted means that the change is durable and that all start permits for older revisions expire within
	// permitLifetime.
	ChangeAccepted = "Accepted"
	// ChangeStored means that the change is durable, but too few entries have acknowledged it to rule out new permits
	// for an older revision.
	ChangeStored = "Stored"
)

// ChangeResponse is the response to an operator's change.
type ChangeResponse struct {
	State    string
	Revision descriptor.Revision
	// Missing lists the entries that have not acknowledged the change.
	Missing []descriptor.EntryID `json:",omitempty"`
}

func (e *Entry) getConfiguration(ctx context.Context, _ caller, _ *http.Request) (any, error) {
	cfg, err := e.configurations.Read(ctx)
	if err != nil {
		cfg = e.basis.configuration()
	}
	if cfg == nil || cfg.Revision == 0 {
		return nil, httpErrorf(http.StatusNotFound, "no configuration has been accepted yet")
	}
	return cfg, nil
}

// putConfiguration replaces the configuration. The Revision in the body is the one that the change is based on, or 0 if
// there is no configuration yet.
func (e *Entry) putConfiguration(ctx context.Context, _ caller, r *http.Request) (any, error) {
	var next descriptor.Configuration
	if err := decodeBody(r, &next); err != nil {
		return nil, err
	}
	if err := validator.CheckConfiguration(&next, nil); err != nil {
		return nil, err
	}
	by := operatorName(r)
	base := next.Revision
	stored, err := e.replaceConfiguration(ctx, &next, base, by)
	if errors.Is(err, keeper.ErrRevisionChanged) {
		return nil, httpErrorf(http.StatusConflict, "%s", e.describeConflict(ctx, base, &next))
	}
	if err != nil {
		return nil, err
	}
	e.audit("configuration", fmt.Sprintf("revision %d", stored.Revision), "by "+by)
	return e.distribute(ctx, stored), nil
}

// operatorName returns the name of the operator for the audit trail. The client sets it freely, so it must not be
// used for authorization.
func operatorName(r *http.Request) string {
	if name := r.Header.Get("Operator"); name != "" {
		return name
	}
	return "operator"
}

func (e *Entry) replaceConfiguration(ctx context.Context, next *descriptor.Configuration, base descriptor.Revision, by string) (*descriptor.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, storeAccessTimeout)
	defer cancel()
	writeID := fmt.Sprintf("%s-%d", e.settings.Name, e.writeCount.Add(1))
	return e.configurations.Replace(ctx, next, base, by, writeID)
}

// describeConflict returns an error text that names the operator who changed the configuration concurrently, and the
// parts in which the current configuration differs from next.
func (e *Entry) describeConflict(ctx context.Context, base descriptor.Revision, next *descriptor.Configuration) string {
	current, err := e.configurations.Read(ctx)
	if err != nil {
		return fmt.Sprintf("the configuration is no longer at revision %d", base)
	}
	return fmt.Sprintf("the configuration is at revision %d, accepted from %s at %s, and the change is based on revision %d; these parts differ: %s",
		current.Revision, current.AcceptedBy, current.AcceptedAt.Format(time.RFC3339), base, strings.Join(differingParts(current, next), ", "))
}

// differingParts returns the names of the top-level fields in which two configurations differ, or "none".
func differingParts(a, b *descriptor.Configuration) []string {
	var parts []string
	compare := func(name string, x, y any) {
		p, _ := json.Marshal(x)
		q, _ := json.Marshal(y)
		if string(p) != string(q) {
			parts = append(parts, name)
		}
	}
	compare("Workspaces", a.Workspaces, b.Workspaces)
	compare("Classes", a.Classes, b.Classes)
	compare("FailureDomains", a.FailureDomains, b.FailureDomains)
	compare("Fleet", a.Fleet, b.Fleet)
	if len(parts) == 0 {
		return []string{"none"}
	}
	return parts
}

// distribute sends a stored configuration to all entries. It waits until enough of them have acknowledged it that the
// others can no longer permit starts for an older revision, or until acknowledgeTimeout has passed.
func (e *Entry) distribute(ctx context.Context, cfg *descriptor.Configuration) ChangeResponse {
	e.adopt(cfg)
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	response := ChangeResponse{State: ChangeStored, Revision: cfg.Revision}
	acknowledged := map[descriptor.EntryID]bool{e.settings.Name: true}
	for {
		roster, err := e.readRoster(ctx)
		if err == nil {
			for _, a := range e.peers.exchange(ctx) {
				if a.Revision >= cfg.Revision {
					acknowledged[a.Entry] = true
				}
			}
			response.Missing = missingEntries(roster, acknowledged)
			if registrar.CanAccept(roster, acknowledged) {
				response.State = ChangeAccepted
				return response
			}
		}
		select {
		case <-ctx.Done():
			return response
		case <-time.After(changeRetryInterval):
		}
	}
}

// readRoster reads the roster from the store. It must be called after a change is stored, so that the roster lists
// every entry that had joined by then.
func (e *Entry) readRoster(ctx context.Context) (*registrar.Roster, error) {
	data, _, err := e.store.Get(ctx, registrar.StoreKey)
	if err != nil {
		return nil, err
	}
	var roster registrar.Roster
	if err := json.Unmarshal(data, &roster); err != nil {
		return nil, fmt.Errorf("decode roster: %w", err)
	}
	e.peers.updateRoster(&roster)
	return &roster, nil
}

// missingEntries returns the entries on the roster that have not acknowledged a change.
func missingEntries(roster *registrar.Roster, acknowledged map[descriptor.EntryID]bool) []descriptor.EntryID {
	var missing []descriptor.EntryID
	for _, m := range roster.Members {
		if !acknowledged[m.Entry] {
			missing = append(missing, m.Entry)
		}
	}
	return missing
}

func (e *Entry) listFailureDomains(context.Context, caller, *http.Request) (any, error) {
	cfg, err := e.requireConfiguration()
	if err != nil {
		return nil, err
	}
	return struct {
		Revision       descriptor.Revision
		FailureDomains []descriptor.FailureDomain
	}{cfg.Revision, cfg.FailureDomains}, nil
}

// putFailureDomain removes a failure domain from use or returns it to use. It changes no other part of the
// configuration, so it is retried on the newest one after a conflict with another operator's change.
func (e *Entry) putFailureDomain(ctx context.Context, _ caller, r *http.Request) (any, error) {
	var body struct{ Out *bool }
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	// Out is a pointer so that a missing field is rejected instead of returning the failure domain to use.
	if body.Out == nil {
		return nil, httpErrorf(http.StatusBadRequest, "Out: must be true or false")
	}
	name := descriptor.FailureDomainID(r.PathValue("name"))
	ctx, cancel := context.WithTimeout(ctx, storeAccessTimeout)
	defer cancel()
	for {
		stored, err := e.setFailureDomain(ctx, name, *body.Out, operatorName(r))
		if err == nil {
			e.audit("failure domain "+string(name), fmt.Sprintf("Out=%v", *body.Out), "by "+operatorName(r))
			return e.distribute(context.WithoutCancel(ctx), stored), nil
		}
		if !errors.Is(err, keeper.ErrRevisionChanged) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, httpErrorf(http.StatusConflict, "other operators change the configuration all the time; nothing was changed")
		case <-time.After(changeRetryInterval):
		}
	}
}

func (e *Entry) setFailureDomain(ctx context.Context, name descriptor.FailureDomainID, out bool, by string) (*descriptor.Configuration, error) {
	current, err := e.configurations.Read(ctx)
	if err != nil {
		return nil, err
	}
	if current.Revision == 0 {
		return nil, httpErrorf(http.StatusNotFound, "no configuration has been accepted yet")
	}
	i := slices.IndexFunc(current.FailureDomains, func(d descriptor.FailureDomain) bool { return d.Name == name })
	if i < 0 {
		return nil, httpErrorf(http.StatusNotFound, "FailureDomain: no failure domain %q", name)
	}
	if current.FailureDomains[i].Out == out {
		return current, nil
	}
	next := *current
	next.FailureDomains = slices.Clone(current.FailureDomains)
	next.FailureDomains[i].Out = out
	return e.replaceConfiguration(ctx, &next, current.Revision, by)
}

// RegionStatus is the state of a region as known to its scheduler.
type RegionStatus struct {
	Region        descriptor.RegionID
	Scheduler     descriptor.EntryID
	Epoch         string
	Guarantees    []scheduler.GuaranteeStatus
	Fragmentation scheduler.Fragmentation
	// Jobs is the number of jobs that the scheduler handles in its current term and has not ended.
	Jobs int
	// Gangs is the number of gangs that the scheduler is responsible for: at most one for each job, that of its current
	// attempt.
	Gangs int
}

// AgentStatus is the state of an agent as known to an entry.
type AgentStatus struct {
	Agent         string
	State         messenger.AgentState
	FailureDomain descriptor.FailureDomainID
	Worker        *descriptor.Worker        `json:",omitempty"`
	Endpoint      *messenger.EndpointReport `json:",omitempty"`
	// Tasks is the number of attempts of which the agent reports tasks. It does not count the tasks themselves.
	Tasks    int
	Revision descriptor.Revision
	// Silent is true if the agent receives no new work because it has not reported for silentTimeout.
	Silent bool
}

// Status is the response to a status request.
type Status struct {
	Entry        descriptor.EntryID
	Region       descriptor.RegionID
	Revision     descriptor.Revision
	StoreReached bool
	// PermitLeft is the time for which starts remain permitted without a new confirmation of the configuration.
	PermitLeft descriptor.Duration
	Entries    []registrar.Member
	Agents     []AgentStatus
	Regions    []RegionStatus
	// FailureDomains lists the failure domains of the configuration in force at this entry.
	FailureDomains []descriptor.FailureDomain
	// Notes lists the parts of the status that are unavailable, with the reason.
	Notes []string `json:",omitempty"`
}

func (e *Entry) getStatus(ctx context.Context, _ caller, _ *http.Request) (any, error) {
	now := e.now()
	s := Status{
		Entry:        e.settings.Name,
		Region:       e.settings.Region,
		Revision:     e.basis.revision(),
		StoreReached: e.basis.storeReached(now),
		PermitLeft:   descriptor.Duration(e.basis.permit(now).ValidFor),
		Entries:      e.peers.members(),
	}
	if cfg := e.basis.configuration(); cfg != nil {
		s.FailureDomains = cfg.FailureDomains
	}
	for _, a := range e.agents.snapshot() {
		if a.replaced {
			continue
		}
		s.Agents = append(s.Agents, AgentStatus{
			Agent:         a.report.Agent,
			State:         a.report.State,
			FailureDomain: a.report.FailureDomain,
			Worker:        a.report.Worker,
			Endpoint:      a.report.Endpoint,
			Tasks:         len(a.report.Tasks),
			Revision:      a.report.Revision,
			Silent:        a.isSilent(now),
		})
	}
	for _, region := range append([]descriptor.RegionID{e.settings.Region}, e.otherRegions()...) {
		document, err := e.queryScheduler(ctx, region, messenger.KindStatus, messenger.StatusQuery{})
		if err != nil {
			s.Notes = append(s.Notes, err.Error())
			continue
		}
		var rs RegionStatus
		if err := json.Unmarshal(document, &rs); err != nil {
			return nil, fmt.Errorf("status of region %s: %w", region, err)
		}
		s.Regions = append(s.Regions, rs)
	}
	return s, nil
}

func (e *Entry) getAudit(_ context.Context, _ caller, r *http.Request) (any, error) {
	return struct{ Records any }{e.auditTrail.Find(r.URL.Query().Get("subject"), auditLimit)}, nil
}

// answerQuery answers an ExplainQuery or a StatusQuery with a JSON document.
func (d *schedulingDuty) answerQuery(ctx context.Context, query any) (json.RawMessage, error) {
	var result any
	err := d.runInLoop(ctx, func(t *termState) error {
		now := d.entry.now()
		switch q := query.(type) {
		case messenger.ExplainQuery:
			explanation, err := t.core.Explain(q.Key, now)
			result = explanation
			return err
		default:
			result = d.regionStatus(t, now)
			return nil
		}
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(result)
}

func (d *schedulingDuty) regionStatus(t *termState, now time.Time) RegionStatus {
	return RegionStatus{
		Region:        d.entry.settings.Region,
		Scheduler:     d.entry.settings.Name,
		Epoch:         formatEpoch(t.epoch),
		Guarantees:    t.core.Guarantees(now),
		Fragmentation: t.core.Fragmentation(now),
		Jobs:          len(t.submitted),
		Gangs:         len(t.gangs),
	}
}

func (d *schedulingDuty) answerExplain(ctx context.Context, k descriptor.JobKey) (any, error) {
	document, err := d.answerQuery(ctx, messenger.ExplainQuery{Key: k})
	return messenger.JSONDocument{JSON: document}, err
}

func (d *schedulingDuty) answerStatus(ctx context.Context) (any, error) {
	document, err := d.answerQuery(ctx, messenger.StatusQuery{})
	return messenger.JSONDocument{JSON: document}, err
}
