package issuer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"persimmontrail/internal/messenger"
)

// checkEvery is how often handshakes look for changed files.
const checkEvery = time.Second

// Errors of Load, wrapped with the name of the file.
var (
	ErrMissing = errors.New("file missing")
	ErrInvalid = errors.New("file invalid")
	ErrExpired = errors.New("certificate not valid at this time")
	// ErrMismatch means that the key does not belong to the certificate, or that the authority did not issue it.
	ErrMismatch = errors.New("file does not match")
	// ErrRole means that a peer has a certificate of a role that is not accepted.
	ErrRole = errors.New("role not accepted")
)

// Files names the PEM files of a process.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// keys is a consistent set of an own certificate and trusted authorities.
type keys struct {
	certificate tls.Certificate
	pool        *x509.CertPool
}

// fileState tells whether a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// Reloader holds keys from files and reads them again when the files change.
type Reloader struct {
	files Files
	// now is the clock.
	now func() time.Time

	mu      sync.Mutex
	current *keys
	states  [3]fileState
	checked time.Time
	failure error
}

// Load reads the files. Errors name the file.
func Load(f Files) (*Reloader, error) {
	r := &Reloader{files: f, now: time.Now}
	states, err := f.states()
	if err != nil {
		return nil, err
	}
	k, err := f.read(r.now())
	if err != nil {
		return nil, err
	}
	r.current, r.states, r.checked = k, states, r.now()
	return r, nil
}

// ServerTLS returns a configuration for servers that accepts clients of the roles, entry and agent by default.
// Each handshake uses the current files.
func (r *Reloader) ServerTLS(accept ...messenger.Role) *tls.Config {
	return serverTLS(r.get, accept)
}

// ClientTLS returns a configuration for clients that accepts servers of the roles, entry and agent by default.
// Each handshake uses the current files.
func (r *Reloader) ClientTLS(accept ...messenger.Role) *tls.Config {
	return clientTLS(r.get, accept)
}

// HTTPServerTLS returns a configuration for HTTPS servers whose clients need no certificate.
func (r *Reloader) HTTPServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificate(r.get) },
	}
}

// Err returns the error of the last reload, or nil. After an error the previous keys stay in use.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failure
}

// get returns the current keys. It looks at the files at most once per checkEvery.
func (r *Reloader) get() (*keys, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.checked) < checkEvery {
		return r.current, nil
	}
	r.checked = now
	states, err := r.files.states()
	if err == nil && states == r.states {
		return r.current, nil
	}
	if err != nil {
		r.failure = err
		return r.current, nil
	}
	k, err := r.files.read(now)
	r.failure = err
	if err != nil {
		return r.current, nil
	}
	r.current, r.states = k, states
	return k, nil
}

func (f Files) states() ([3]fileState, error) {
	var states [3]fileState
	for i, name := range []string{f.Authority, f.Certificate, f.Key} {
		info, err := os.Stat(name)
		if err != nil {
			return states, fileError(name, ErrMissing, err)
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

func fileError(name string, kind, err error) error {
	return fmt.Errorf("%s: %w: %w", name, kind, err)
}

func (f Files) read(now time.Time) (*keys, error) {
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, fileError(f.Authority, ErrMissing, err)
	}
	certificate, err := os.ReadFile(f.Certificate)
	if err != nil {
		return nil, fileError(f.Certificate, ErrMissing, err)
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, fileError(f.Key, ErrMissing, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, fmt.Errorf("%s: %w: no certificate in PEM", f.Authority, ErrInvalid)
	}
	leaf, err := parseCertificate(certificate)
	if err != nil {
		return nil, fileError(f.Certificate, ErrInvalid, err)
	}
	if err := parseKey(key); err != nil {
		return nil, fileError(f.Key, ErrInvalid, err)
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, fileError(f.Key, ErrMismatch, err)
	}
	pair.Leaf = leaf
	return &keys{certificate: pair, pool: pool}, f.check(leaf, pool, now)
}

// check verifies the own certificate as peers will.
func (f Files) check(leaf *x509.Certificate, pool *x509.CertPool, now time.Time) error {
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("%s: %w: valid from %s until %s", f.Certificate, ErrExpired, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if err := verify(leaf, pool, now); err != nil {
		return fileError(f.Certificate, ErrMismatch, err)
	}
	if _, err := messenger.CertificateIdentity(leaf); err != nil {
		return fileError(f.Certificate, ErrInvalid, err)
	}
	return nil
}

func verify(leaf *x509.Certificate, pool *x509.CertPool, now time.Time) error {
	_, err := leaf.Verify(x509.VerifyOptions{Roots: pool, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err
}
