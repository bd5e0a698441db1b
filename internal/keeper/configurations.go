package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// ConfigurationKey is the store key of the configuration document.
const ConfigurationKey = "configuration"

// maxRecordedChanges is the number of accepted changes kept in the configuration document to detect repeated ones. At
// 2,200 changes a day, these cover more than half an hour, far longer than a client keeps repeating a change.
const maxRecordedChanges = 64

// ErrRevisionChanged means that the current revision is not the one that the change was based on.
var ErrRevisionChanged = errors.New("the configuration has changed")

// Configurations reads and replaces the configuration set by the operators.
type Configurations struct{ Store *Store }

// configurationDocument is the stored configuration with its recent changes.
type configurationDocument struct {
	descriptor.Configuration
	// History lists the latest accepted changes, oldest first.
	History []acceptedChange `json:",omitempty"`
}

// acceptedChange records a change, so that a repeated Replace can be answered with its outcome.
type acceptedChange struct {
	WriteID  string
	Revision descriptor.Revision
	At       time.Time
	By       string `json:",omitempty"`
}

// Read returns the configuration. Before the first change it is empty and has revision 0.
func (c Configurations) Read(ctx context.Context) (*descriptor.Configuration, error) {
	data, _, err := c.Store.Get(ctx, ConfigurationKey)
	if errors.Is(err, ErrNotFound) {
		return &descriptor.Configuration{}, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeConfiguration(data)
}

// ConfigurationReader reads the configuration repeatedly. It caches the latest one, so that the document is
// transferred and decoded only after a change. It is safe for concurrent use and must not be copied.
type ConfigurationReader struct {
	Store *Store

	mu     sync.Mutex
	cached *descriptor.Configuration
	// version is the version of cached, 0 while nothing is cached.
	version Version
}

// Read returns the current configuration, which callers must not modify. It is empty while none is stored. If the store
// cannot be read, Read returns an error and not the cached configuration.
func (r *ConfigurationReader) Read(ctx context.Context) (*descriptor.Configuration, error) {
	r.mu.Lock()
	cached, version := r.cached, r.version
	r.mu.Unlock()
	data, v, err := r.Store.getChanged(ctx, ConfigurationKey, version)
	if errors.Is(err, ErrUnchanged) {
		return cached, nil
	}
	if errors.Is(err, ErrNotFound) {
		return &descriptor.Configuration{}, nil
	}
	if err != nil {
		return nil, err
	}
	configuration, err := decodeConfiguration(data)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v > r.version {
		r.cached, r.version = configuration, v
	}
	return configuration, nil
}

// Watch blocks until the version of the configuration document differs from after, then returns the configuration and
// its version. If after is 0, it returns the current configuration at once, or waits for the first one to be stored.
func (c Configurations) Watch(ctx context.Context, after Version) (*descriptor.Configuration, Version, error) {
	data, v, err := c.Store.Watch(ctx, ConfigurationKey, after)
	if err != nil {
		return nil, 0, err
	}
	configuration, err := decodeConfiguration(data)
	return configuration, v, err
}

func decodeConfiguration(data []byte) (*descriptor.Configuration, error) {
	var d configurationDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("document %s: %w", ConfigurationKey, err)
	}
	return &d.Configuration, nil
}

// Replace stores next as the configuration if the current revision is base, and returns it as accepted. writeID must be
// unique to the change: if it is among those of the last 64 accepted changes (maxRecordedChanges), Replace changes
// nothing and returns next with the revision that it was accepted as. With ErrRevisionChanged, Replace also returns the
// current configuration.
func (c Configurations) Replace(ctx context.Context, next *descriptor.Configuration, base descriptor.Revision, by, writeID string) (*descriptor.Configuration, error) {
	accepted := *next
	var current descriptor.Configuration
	_, err := Update(ctx, c.Store, ConfigurationKey, "", func(d *configurationDocument) (bool, error) {
		for _, a := range d.History {
			if a.WriteID == writeID {
				accepted.Revision, accepted.AcceptedAt, accepted.AcceptedBy = a.Revision, a.At, a.By
				return false, nil
			}
		}
		if d.Revision != base {
			current = d.Configuration
			return false, d.revisionError(base)
		}
		a := acceptedChange{WriteID: writeID, Revision: base + 1, At: time.Now().UTC(), By: by}
		accepted.Revision, accepted.AcceptedAt, accepted.AcceptedBy = a.Revision, a.At, a.By
		d.Configuration = accepted
		d.History = append(d.History, a)
		d.History = d.History[max(0, len(d.History)-maxRecordedChanges):]
		return true, nil
	})
	if errors.Is(err, ErrRevisionChanged) {
		return &current, err
	}
	if err != nil {
		return nil, err
	}
	return &accepted, nil
}

func (d *configurationDocument) revisionError(base descriptor.Revision) error {
	return fmt.Errorf("%w: the change is based on revision %d, the present revision is %d by %q at %s",
		ErrRevisionChanged, base, d.Revision, d.AcceptedBy, d.AcceptedAt.Format(time.RFC3339))
}
