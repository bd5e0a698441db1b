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
	ErrMissing = errors.New("file missing or unreadable")
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

// contents are the bytes of the three files of a process. They are compared instead of times of change, which two writes within a tick of the kernel's clock share.
type contents struct {
	authority   string
	certificate string
	key         string
}

// Reloader holds keys from files and reads them again when the files change.
type Reloader struct {
	files Files
	// now is the clock.
	now func() time.Time

	mu      sync.Mutex
	current *keys
	loaded  contents
	checked time.Time
	failure error
}

// Load reads the files. Errors name the file.
func Load(f Files) (*Reloader, error) {
	r := &Reloader{files: f, now: time.Now}
	r.checked = r.now()
	if err := r.reload(r.checked); err != nil {
		return nil, err
	}
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

// Err returns what was wrong with the files when they were last looked at, or nil. After an error the previous keys stay in use.
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
	if now.Sub(r.checked) >= checkEvery {
		r.checked = now
		r.failure = r.reload(now)
	}
	return r.current, nil
}

// reload replaces the current keys when the files have changed and are valid together.
func (r *Reloader) reload(now time.Time) error {
	c, err := r.files.read()
	if err != nil {
		return err
	}
	if r.current != nil && c == r.loaded {
		return r.files.check(r.current, now)
	}
	k, err := r.files.parse(c)
	if err != nil {
		return err
	}
	if err := r.files.check(k, now); err != nil {
		return err
	}
	r.current, r.loaded = k, c
	return nil
}

func fileError(name string, kind, err error) error {
	return fmt.Errorf("%s: %w: %w", name, kind, err)
}

func (f Files) read() (contents, error) {
	var c contents
	for _, f := range []struct {
		name string
		to   *string
	}{{f.Authority, &c.authority}, {f.Certificate, &c.certificate}, {f.Key, &c.key}} {
		data, err := os.ReadFile(f.name)
		if err != nil {
			return c, fileError(f.name, ErrMissing, err)
		}
		*f.to = string(data)
	}
	return c, nil
}

func (f Files) parse(c contents) (*keys, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(c.authority)) {
		return nil, fmt.Errorf("%s: %w: no certificate in PEM", f.Authority, ErrInvalid)
	}
	leaf, err := parseCertificate([]byte(c.certificate))
	if err != nil {
		return nil, fileError(f.Certificate, ErrInvalid, err)
	}
	if err := parseKey([]byte(c.key)); err != nil {
		return nil, fileError(f.Key, ErrInvalid, err)
	}
	pair, err := tls.X509KeyPair([]byte(c.certificate), []byte(c.key))
	if err != nil {
		return nil, fileError(f.Key, ErrMismatch, err)
	}
	pair.Leaf = leaf
	return &keys{certificate: pair, pool: pool}, nil
}

// check verifies the own certificate as peers will.
func (f Files) check(k *keys, now time.Time) error {
	leaf := k.certificate.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("%s: %w: valid from %s until %s", f.Certificate, ErrExpired, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if err := verify(leaf, k.pool, now); err != nil {
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
