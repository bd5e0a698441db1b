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

// checkInterval is the minimum time between two checks of the files for changes. They are checked only during
// handshakes.
const checkInterval = time.Second

// Load and Reloader.Err return these errors, wrapped with the name of the file, except for ErrRole, which only
// handshakes return.
var (
	ErrUnreadable      = errors.New("file missing or unreadable")
	ErrInvalid         = errors.New("file invalid")
	ErrOutsideValidity = errors.New("certificate not valid at this time")
	// ErrMismatch means that the key does not belong to the certificate, or that the authority did not issue the
	// certificate.
	ErrMismatch = errors.New("file does not match the other files")
	// ErrRole means that a certificate presented in a handshake has a role that is not accepted.
	ErrRole = errors.New("role not accepted")
)

// Files are the names of the PEM files of a process.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// credentials are a process's certificate with its key, and the authorities that it trusts.
type credentials struct {
	certificate tls.Certificate
	trustedCAs  *x509.CertPool
}

// fileContents are the contents of the three files of a process. Changes are found by comparing them instead of
// modification times, since two writes within one tick of the kernel's clock have the same modification time.
type fileContents struct {
	authorityPEM   string
	certificatePEM string
	keyPEM         string
}

// Reloader loads credentials from files and loads them again when the files change. It checks them during handshakes
// only, at most once per checkInterval.
type Reloader struct {
	files Files
	now   func() time.Time

	mu             sync.Mutex
	current        *credentials
	loadedContents fileContents
	lastCheck      time.Time
	// lastError is the error of the last check, or nil.
	lastError error
}

// Load loads credentials from the files. Its errors contain the name of the file.
func Load(f Files) (*Reloader, error) {
	r := &Reloader{files: f, now: time.Now}
	r.lastCheck = r.now()
	if err := r.reload(r.lastCheck); err != nil {
		return nil, err
	}
	return r, nil
}

// ServerTLS returns a TLS configuration for servers. It accepts clients with one of acceptedRoles, by default entry and
// agent. Each handshake uses the current credentials.
func (r *Reloader) ServerTLS(acceptedRoles ...messenger.Role) *tls.Config {
	return serverTLS(r.currentCredentials, acceptedRoles)
}

// ClientTLS returns a TLS configuration for clients. It accepts servers with one of acceptedRoles, by default entry and
// agent. Each handshake uses the current credentials.
func (r *Reloader) ClientTLS(acceptedRoles ...messenger.Role) *tls.Config {
	return clientTLS(r.currentCredentials, acceptedRoles)
}

// HTTPServerTLS returns a TLS configuration for HTTPS servers whose clients need no certificate.
func (r *Reloader) HTTPServerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificateFrom(r.currentCredentials) },
	}
}

// Err returns the error of the last check of the files, or nil. After an error the previous credentials stay in use.
func (r *Reloader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastError
}

// currentCredentials returns the current credentials. It checks the files at most once per checkInterval. A failed
// check sets lastError and keeps the previous credentials, so the returned error is always nil.
func (r *Reloader) currentCredentials() (*credentials, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if now.Sub(r.lastCheck) >= checkInterval {
		r.lastCheck = now
		r.lastError = r.reload(now)
	}
	return r.current, nil
}

// reload replaces the current credentials if the files have changed and are valid together. If they have not changed,
// it checks that the credentials are still valid.
func (r *Reloader) reload(now time.Time) error {
	contents, err := r.files.read()
	if err != nil {
		return err
	}
	if r.current != nil && contents == r.loadedContents {
		return r.files.validate(r.current, now)
	}
	creds, err := r.files.parse(contents)
	if err != nil {
		return err
	}
	if err := r.files.validate(creds, now); err != nil {
		return err
	}
	r.current, r.loadedContents = creds, contents
	return nil
}

// fileError returns err wrapped with the name of the file and kind, one of the exported errors.
func fileError(name string, kind, err error) error {
	return fmt.Errorf("%s: %w: %w", name, kind, err)
}

func (f Files) read() (fileContents, error) {
	var contents fileContents
	for _, file := range []struct {
		name   string
		target *string
	}{{f.Authority, &contents.authorityPEM}, {f.Certificate, &contents.certificatePEM}, {f.Key, &contents.keyPEM}} {
		data, err := os.ReadFile(file.name)
		if err != nil {
			return contents, fileError(file.name, ErrUnreadable, err)
		}
		*file.target = string(data)
	}
	return contents, nil
}

func (f Files) parse(contents fileContents) (*credentials, error) {
	trustedCAs := x509.NewCertPool()
	if !trustedCAs.AppendCertsFromPEM([]byte(contents.authorityPEM)) {
		return nil, fmt.Errorf("%s: %w: no certificate in PEM", f.Authority, ErrInvalid)
	}
	leaf, err := parseCertificate([]byte(contents.certificatePEM))
	if err != nil {
		return nil, fileError(f.Certificate, ErrInvalid, err)
	}
	if err := checkKey([]byte(contents.keyPEM)); err != nil {
		return nil, fileError(f.Key, ErrInvalid, err)
	}
	keyPair, err := tls.X509KeyPair([]byte(contents.certificatePEM), []byte(contents.keyPEM))
	if err != nil {
		return nil, fileError(f.Key, ErrMismatch, err)
	}
	keyPair.Leaf = leaf
	return &credentials{certificate: keyPair, trustedCAs: trustedCAs}, nil
}

// validate checks the process's own certificate as remote processes do: validity period, authority and identity.
func (f Files) validate(creds *credentials, now time.Time) error {
	leaf := creds.certificate.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		return fmt.Errorf("%s: %w: valid from %s until %s", f.Certificate, ErrOutsideValidity, leaf.NotBefore.Format(time.RFC3339), leaf.NotAfter.Format(time.RFC3339))
	}
	if err := verifyChain(leaf, creds.trustedCAs, now); err != nil {
		return fileError(f.Certificate, ErrMismatch, err)
	}
	if _, err := messenger.CertificateIdentity(leaf); err != nil {
		return fileError(f.Certificate, ErrInvalid, err)
	}
	return nil
}

func verifyChain(leaf *x509.Certificate, trustedCAs *x509.CertPool, now time.Time) error {
	_, err := leaf.Verify(x509.VerifyOptions{Roots: trustedCAs, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	return err
}
