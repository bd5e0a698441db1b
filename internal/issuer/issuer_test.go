package issuer_test

import (
	"context"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
)

func newAuthority(t *testing.T) *issuer.Authority {
	ca, err := issuer.NewAuthority()
	assert.NilError(t, err)
	return ca
}

func tenSecondContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestLoadErrorNamesFile guards against an error of Load that does not name the invalid file, and against a running
// process that loses its certificate when a file becomes invalid.
func TestLoadErrorNamesFile(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name     string
		corrupt  func(t *testing.T, files issuer.Files, ca *issuer.Authority) error
		wantFile func(files issuer.Files) string
		wantErr  error
	}{
		{
			name:     "key missing",
			corrupt:  func(_ *testing.T, files issuer.Files, _ *issuer.Authority) error { return os.Remove(files.Key) },
			wantFile: func(files issuer.Files) string { return files.Key },
			wantErr:  issuer.ErrUnreadable,
		},
		{
			name: "key invalid",
			corrupt: func(_ *testing.T, files issuer.Files, _ *issuer.Authority) error {
				return os.WriteFile(files.Key, []byte("key"), 0o600)
			},
			wantFile: func(files issuer.Files) string { return files.Key },
			wantErr:  issuer.ErrInvalid,
		},
		{
			name: "key of another certificate",
			corrupt: func(_ *testing.T, files issuer.Files, _ *issuer.Authority) error {
				return os.Rename(filepath.Join(filepath.Dir(files.Key), "agent.key"), files.Key)
			},
			wantFile: func(files issuer.Files) string { return files.Key },
			wantErr:  issuer.ErrMismatch,
		},
		{
			name: "certificate expired",
			corrupt: func(_ *testing.T, files issuer.Files, ca *issuer.Authority) error {
				_, err := ca.WriteCredentials(filepath.Dir(files.Key), messenger.RoleEntry, "entry-1", issuer.WithValidity(now.Add(-2*time.Hour), now.Add(-time.Hour)))
				return err
			},
			wantFile: func(files issuer.Files) string { return files.Certificate },
			wantErr:  issuer.ErrOutsideValidity,
		},
		{
			name: "certificate of another authority",
			corrupt: func(t *testing.T, files issuer.Files, _ *issuer.Authority) error {
				dir := t.TempDir()
				assert.NilError(t, newAuthority(t).WriteFiles(dir))
				return os.Rename(filepath.Join(dir, "authority.crt"), files.Authority)
			},
			wantFile: func(files issuer.Files) string { return files.Certificate },
			wantErr:  issuer.ErrMismatch,
		},
		{
			name: "authority invalid",
			corrupt: func(_ *testing.T, files issuer.Files, _ *issuer.Authority) error {
				return os.WriteFile(files.Authority, nil, 0o600)
			},
			wantFile: func(files issuer.Files) string { return files.Authority },
			wantErr:  issuer.ErrInvalid,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dir, ca := t.TempDir(), newAuthority(t)
			assert.NilError(t, ca.WriteFiles(dir))
			files := issuer.FilesIn(dir, messenger.RoleEntry)
			reloader, err := issuer.Load(files)
			assert.NilError(t, err)
			assert.NilError(t, tc.corrupt(t, files, ca))
			_, err = issuer.Load(files)
			assert.ErrorIs(t, err, tc.wantErr)
			assert.ErrorContains(t, err, tc.wantFile(files))
			// A Reloader that has loaded valid files reports the same error and keeps its certificate.
			reloader.ExpireCheckInterval()
			certificate, err := reloader.ServerTLS().GetCertificate(nil)
			assert.NilError(t, err)
			assert.Assert(t, certificate.Leaf.NotAfter.After(now))
			assert.ErrorIs(t, reloader.Err(), tc.wantErr)
		})
	}
}

// TestIssue guards against a certificate without its addresses, host names, role or name, and against a key file that
// others than its owner can read.
func TestIssue(t *testing.T) {
	ca := newAuthority(t)
	certificate, err := ca.Issue(messenger.RoleEntry, "entry-1", issuer.WithIPs(net.IPv4(192, 0, 2, 1)), issuer.WithDNSNames("entry.example"))
	assert.NilError(t, err)
	for _, host := range []string{"127.0.0.1", "::1", "192.0.2.1", "localhost", "entry.example"} {
		_, err := certificate.Leaf.Verify(x509.VerifyOptions{Roots: ca.Pool(), DNSName: host})
		assert.NilError(t, err)
	}
	id, err := messenger.CertificateIdentity(certificate.Leaf)
	assert.NilError(t, err)
	assert.Equal(t, id, messenger.Identity{Role: messenger.RoleEntry, Name: "entry-1"})
	files, err := ca.WriteCredentials(t.TempDir(), issuer.RoleOperator, "olivia")
	assert.NilError(t, err)
	info, err := os.Stat(files.Key)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
}

// TestReloadKeepsRunningCalls guards against replaced files that are not used for new connections, against a reload
// that interrupts running calls, and against certificates of the old authority that are still accepted.
func TestReloadKeepsRunningCalls(t *testing.T) {
	dir, oldAuthority, replacementAuthority := t.TempDir(), newAuthority(t), newAuthority(t)
	assert.NilError(t, oldAuthority.WriteFiles(dir))
	serverReloader, err := issuer.Load(issuer.FilesIn(dir, messenger.RoleAgent))
	assert.NilError(t, err)
	clientReloader, err := issuer.Load(issuer.FilesIn(dir, messenger.RoleEntry))
	assert.NilError(t, err)

	started, release := make(chan struct{}, 2), make(chan struct{})
	handle := func(_ context.Context, _ messenger.Identity, kind messenger.Kind, _ []byte) (any, error) {
		if kind == messenger.KindStart {
			started <- struct{}{}
			<-release
		}
		return messenger.Empty{}, nil
	}
	server := &messenger.Server{Address: "127.0.0.1:0", TLS: serverReloader.ServerTLS(), Handle: handle}
	assert.NilError(t, server.Listen())
	go server.Serve(tenSecondContext(t))
	callServer := func(kind messenger.Kind, client *messenger.Client) error {
		return client.Call(tenSecondContext(t), server.Addr(), kind, messenger.Empty{}, nil)
	}
	clientBeforeReload := &messenger.Client{TLS: clientReloader.ClientTLS()}
	defer clientBeforeReload.Close()
	callResult := make(chan error, 1)
	go func() { callResult <- callServer(messenger.KindStart, clientBeforeReload) }()
	<-started

	assert.NilError(t, replacementAuthority.WriteFiles(dir))
	serverReloader.ExpireCheckInterval()
	clientReloader.ExpireCheckInterval()
	clientAfterReload := &messenger.Client{TLS: clientReloader.ClientTLS()}
	defer clientAfterReload.Close()
	assert.NilError(t, callServer(messenger.KindHold, clientAfterReload))
	assert.NilError(t, callServer(messenger.KindHold, clientBeforeReload))
	oldTLS, err := oldAuthority.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	clientOfOldAuthority := &messenger.Client{TLS: oldTLS}
	defer clientOfOldAuthority.Close()
	assert.ErrorIs(t, callServer(messenger.KindHold, clientOfOldAuthority), messenger.ErrNotRun)
	close(release)
	assert.NilError(t, <-callResult)
	assert.NilError(t, server.Shutdown(tenSecondContext(t)))
}
