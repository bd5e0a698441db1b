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

// ConfigurationKey is the key of the configuration document.
const ConfigurationKey = "configuration"

// maxHistory is the number of accepted changes that the configuration document remembers: at 2,200 changes
// a day this is more than half an hour, far longer than an operator's change is repeated.
const maxHistory = 64

// ErrRevisionChanged means that the configuration has another revision than the change was based on.
var ErrRevisionChanged = errors.New("the configuration has changed")

// Configurations reads and replaces the operators' configuration.
type Configurations struct{ Store *Store }

// configurationDocument is a descriptor.Configuration with the recent changes.
type configurationDocument struct {
	descriptor.Configuration
	// History are the latest accepted changes, oldest first.
	History []accepted `json:",omitempty"`
}

type accepted struct {
	WriteID  string
	Revision descriptor.Revision
	At       time.Time
	By       string `json:",omitempty"`
}

// Read returns the configuration. Before the first change it is empty, with revision 0.
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

// ConfigurationReader reads the configuration again and again. It keeps the last one, so that the document is
// transferred and decoded only after a change. A reader is used by pointer and safe for concurrent use.
type ConfigurationReader struct {
	Store *Store

	mu      sync.Mutex
	held    *descriptor.Configuration
	version Version
}

// Read returns the present configuration, which callers must not change.
func (r *ConfigurationReader) Read(ctx context.Context) (*descriptor.Configuration, error) {
	r.mu.Lock()
	held, version := r.held, r.version
	r.mu.Unlock()
	data, v, err := r.Store.getChanged(ctx, ConfigurationKey, version)
	if errors.Is(err, ErrUnchanged) {
		return held, nil
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
		r.held, r.version = configuration, v
	}
	return configuration, nil
}

// Watch returns the configuration when its document has another version than after, which is 0 at first.
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

// Replace makes next the configuration if the present one has revision base, and returns it as accepted. writeID is
// unique for the change; repeating a change with the same writeID returns the first outcome. With ErrRevisionChanged
// it returns the present configuration.
func (c Configurations) Replace(ctx context.Context, next *descriptor.Configuration, base descriptor.Revision, by, writeID string) (*descriptor.Configuration, error) {
	result := *next
	var present descriptor.Configuration
	_, err := Update(ctx, c.Store, ConfigurationKey, "", func(d *configurationDocument) (bool, error) {
		for _, a := range d.History {
			if a.WriteID == writeID {
				result.Revision, result.AcceptedAt, result.AcceptedBy = a.Revision, a.At, a.By
				return false, nil
			}
		}
		if d.Revision != base {
			present = d.Configuration
			return false, d.changedSince(base)
		}
		a := accepted{WriteID: writeID, Revision: base + 1, At: time.Now().UTC(), By: by}
		result.Revision, result.AcceptedAt, result.AcceptedBy = a.Revision, a.At, a.By
		d.Configuration = result
		d.History = append(d.History, a)
		d.History = d.History[max(0, len(d.History)-maxHistory):]
		return true, nil
	})
	if errors.Is(err, ErrRevisionChanged) {
		return &present, err
	}
	if err != nil {
		return nil, err
	}
	return &result, nil
}

func (d *configurationDocument) changedSince(base descriptor.Revision) error {
	return fmt.Errorf("%w: the change is based on revision %d, the present revision is %d by %q at %s",
		ErrRevisionChanged, base, d.Revision, d.AcceptedBy, d.AcceptedAt.Format(time.RFC3339))
}
