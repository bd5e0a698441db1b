// Package coordinator implements the entry process. It serves callers and operators over HTTP, routes requests to
// endpoints, accepts jobs, issues start permits to agents, and schedules the jobs of its region while it holds the
// region's term. The package is part of the program persimmontrail; the entries of the program persimmontrail-node keep
// other documents in the store.
//
// An agent manages a worker, which runs the tasks of jobs, an endpoint, which serves requests, or both. Each run of an
// entry or agent process is an incarnation. The scheduler of a region is the entry that holds the region's term, a
// lease in the store. An epoch numbers the terms; agents refuse messages of an epoch below the highest that they have
// seen. While the store is down, an entry may act as scheduler without the lease, under an epoch of its own. A revision
// numbers the configurations. A start permit allows an agent to start work for a limited time. Non-idempotent work runs
// at most once: before it starts, a claim in the store names the attempt of a job or the agent of a request that may
// run. An attempt is a numbered start of a job. A gang is the tasks of one attempt, which start together or not at all;
// a member is the part of a gang at one agent. The roster lists the entries of the deployment; entries on it may vote
// on whether a configuration is the newest one while the store cannot be read. In a graceful shutdown, an entry ends
// its term, leaves the roster and lets running requests finish.
package coordinator

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/url"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

// Settings configures an entry.
type Settings struct {
	// Name identifies one incarnation of an entry; a restarted entry needs a new name.
	Name          descriptor.EntryID
	Region        descriptor.RegionID
	FailureDomain descriptor.FailureDomainID
	// Listen is the IP address and port for messages from agents and other entries, over UDP and TCP.
	Listen string
	// HTTPListen is the IP address and port for callers and operators.
	HTTPListen string
	// StoreURL is the URL of the platform's store.
	StoreURL string
	// OperatorToken authorizes operators. If it is empty, every caller has operator rights, for tests on a single
	// host.
	OperatorToken string
	// ServerTLS and ClientTLS configure the connections from and to agents and other entries.
	ServerTLS, ClientTLS *tls.Config
	// HTTPTLS configures connections of callers and operators; nil serves plain HTTP.
	HTTPTLS *tls.Config
	Log     *log.Logger
	// Store replaces the client for StoreURL in tests.
	Store *keeper.Store
	// Call replaces the client for agents and entries in tests.
	Call CallFunc
	// Ready, if set, is called once the entry listens, with the actual addresses for HTTPListen and Listen.
	Ready func(httpAddress, address string)
	// Now replaces time.Now in tests.
	Now func() time.Time
}

// CallFunc sends a message to the process at address, waits for its answer, and decodes it into answer, a pointer.
type CallFunc func(ctx context.Context, address string, kind messenger.Kind, request, answer any) error

// Validate returns an error that lists all invalid settings, or nil.
func (s *Settings) Validate() error {
	var errs validator.Errors
	addError := func(field, reason string) {
		errs = append(errs, validator.FieldError{Field: field, Reason: reason})
	}
	if s.Region == "" {
		addError("region", "must not be empty")
	}
	if s.FailureDomain == "" {
		addError("failure-domain", "must not be empty")
	}
	if err := checkAddress(s.Listen); err != nil {
		addError("listen", err.Error())
	}
	if err := checkAddress(s.HTTPListen); err != nil {
		addError("http-listen", err.Error())
	}
	if u, err := url.Parse(s.StoreURL); s.Store == nil && (err != nil || u.Host == "") {
		addError("store", "must be a URL such as http://127.0.0.1:7000")
	}
	if len(errs) == 0 {
		return nil
	}
	return errs
}

func checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return errors.New("must be an IP address and port such as 127.0.0.1:7400")
	}
	if net.ParseIP(host) == nil {
		return errors.New("host must be an IP address")
	}
	return nil
}
