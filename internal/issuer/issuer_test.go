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

func authority(t *testing.T) *issuer.Authority {
	a, err := issuer.NewAuthority()
	assert.NilError(t, err)
	return a
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against errors that do not name the file that is wrong.
func TestLoadNamesTheFile(t *testing.T) {
	now := time.Now()
	cases := []struct {
		name  string
		spoil func(t *testing.T, f issuer.Files, a *issuer.Authority) error
		file  func(f issuer.Files) string
		want  error
	}{
		{
			name:  "key missing",
			spoil: func(_ *testing.T, f issuer.Files, _ *issuer.Authority) error { return os.Remove(f.Key) },
			file:  func(f issuer.Files) string { return f.Key },
			want:  issuer.ErrMissing,
		},
		{
			name: "key invalid",
			spoil: func(_ *testing.T, f issuer.Files, _ *issuer.Authority) error {
				return os.WriteFile(f.Key, []byte("key"), 0o600)
			},
			file: func(f issuer.Files) string { return f.Key },
			want: issuer.ErrInvalid,
		},
		{
			name: "key of another certificate",
			spoil: func(_ *testing.T, f issuer.Files, _ *issuer.Authority) error {
				return os.Rename(filepath.Join(filepath.Dir(f.Key), "agent.key"), f.Key)
			},
			file: func(f issuer.Files) string { return f.Key },
			want: issuer.ErrMismatch,
		},
		{
			name: "certificate expired",
			spoil: func(_ *testing.T, f issuer.Files, a *issuer.Authority) error {
				_, err := a.Write(filepath.Dir(f.Key), messenger.RoleEntry, "entry-1", issuer.WithValidity(now.Add(-2*time.Hour), now.Add(-time.Hour)))
				return err
			},
			file: func(f issuer.Files) string { return f.Certificate },
			want: issuer.ErrExpired,
		},
		{
			name: "certificate of another authority",
			spoil: func(t *testing.T, f issuer.Files, _ *issuer.Authority) error {
				dir := t.TempDir()
				assert.NilError(t, authority(t).WriteFiles(dir))
				return os.Rename(filepath.Join(dir, "authority.crt"), f.Authority)
			},
			file: func(f issuer.Files) string { return f.Certificate },
			want: issuer.ErrMismatch,
		},
		{
			name: "authority invalid",
			spoil: func(_ *testing.T, f issuer.Files, _ *issuer.Authority) error {
				return os.WriteFile(f.Authority, nil, 0o600)
			},
			file: func(f issuer.Files) string { return f.Authority },
			want: issuer.ErrInvalid,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			dir, a := t.TempDir(), authority(t)
			assert.NilError(t, a.WriteFiles(dir))
			f := issuer.FilesIn(dir, messenger.RoleEntry)
			r, err := issuer.Load(f)
			assert.NilError(t, err)
			assert.NilError(t, tc.spoil(t, f, a))
			_, err = issuer.Load(f)
			assert.ErrorIs(t, err, tc.want)
			assert.ErrorContains(t, err, tc.file(f))
			// A running process reports the same error and keeps its keys.
			r.Advance()
			c, err := r.ServerTLS().GetCertificate(nil)
			assert.NilError(t, err)
			assert.Assert(t, c.Leaf.NotAfter.After(now))
			assert.ErrorIs(t, r.Err(), tc.want)
		})
	}
}

// Guards against certificates without the addresses or the role that peers look for, and against readable keys.
func TestIssue(t *testing.T) {
	a := authority(t)
	c, err := a.Issue(messenger.RoleEntry, "entry-1", issuer.WithIPs(net.IPv4(192, 0, 2, 1)), issuer.WithHosts("entry.example"))
	assert.NilError(t, err)
	for _, host := range []string{"127.0.0.1", "::1", "192.0.2.1", "localhost", "entry.example"} {
		_, err := c.Leaf.Verify(x509.VerifyOptions{Roots: a.Pool(), DNSName: host})
		assert.NilError(t, err)
	}
	id, err := messenger.CertificateIdentity(c.Leaf)
	assert.NilError(t, err)
	assert.Equal(t, id, messenger.Identity{Role: messenger.RoleEntry, Name: "entry-1"})
	f, err := a.Write(t.TempDir(), issuer.RoleOperator, "olivia")
	assert.NilError(t, err)
	info, err := os.Stat(f.Key)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
}

// Guards against a reload that cuts a running call, that is not noticed, or that leaves the old authority trusted.
func TestReloadCutsNoCall(t *testing.T) {
	dir, before, after := t.TempDir(), authority(t), authority(t)
	assert.NilError(t, before.WriteFiles(dir))
	server, err := issuer.Load(issuer.FilesIn(dir, messenger.RoleAgent))
	assert.NilError(t, err)
	client, err := issuer.Load(issuer.FilesIn(dir, messenger.RoleEntry))
	assert.NilError(t, err)

	started, release := make(chan struct{}, 2), make(chan struct{})
	handle := func(_ context.Context, _ messenger.Identity, kind messenger.Kind, _ []byte) (any, error) {
		if kind == messenger.KindStart {
			started <- struct{}{}
			<-release
		}
		return messenger.Empty{}, nil
	}
	s := &messenger.Server{Address: "127.0.0.1:0", TLS: server.ServerTLS(), Handle: handle}
	assert.NilError(t, s.Listen())
	go s.Serve(within(t))
	call := func(kind messenger.Kind, c *messenger.Client) error {
		return c.Call(within(t), s.Addr(), kind, messenger.Empty{}, nil)
	}
	running := &messenger.Client{TLS: client.ClientTLS()}
	defer running.Close()
	answered := make(chan error, 1)
	go func() { answered <- call(messenger.KindStart, running) }()
	<-started

	assert.NilError(t, after.WriteFiles(dir))
	server.Advance()
	client.Advance()
	renewed := &messenger.Client{TLS: client.ClientTLS()}
	defer renewed.Close()
	assert.NilError(t, call(messenger.KindHold, renewed))
	assert.NilError(t, call(messenger.KindHold, running))
	oldTLS, err := before.Client(messenger.RoleEntry, "entry-1")
	assert.NilError(t, err)
	outdated := &messenger.Client{TLS: oldTLS}
	defer outdated.Close()
	assert.ErrorIs(t, call(messenger.KindHold, outdated), messenger.ErrNotSent)
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, s.Shutdown(within(t)))
}
