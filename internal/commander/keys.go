package commander

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/issuer"
	"persimmontrail/pkg/validator"
)

func (p *Program) keysCommand() *ffcli.Command {
	f := newFlagSet("keys")
	dir := f.String("dir", "keys", "directory for the files; it is created if missing")
	var output outputFlag
	output.register(f)
	ips := f.String("ips", "", "IP addresses besides loopback that the certificates name, separated by commas")
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "persimmontrail keys [flags]",
		ShortHelp:  "Make a local authority with certificates for a trial.",
		LongHelp: `The files are authority.crt and, for entry, agent and operator, ROLE.crt and ROLE.key. Keep the keys of a
real deployment with your own authority; the role stands in the subject's organizational unit. Example:
  persimmontrail keys --dir keys --ips 10.0.0.7,10.0.1.4`,
		FlagSet: f,
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return fmt.Errorf("%w: unknown command %q, want token", errUsage, args[0])
			}
			printer, outputErr := p.printer(output)
			addresses, ipErr := parseIPs(*ips)
			if err := joinFieldErrors(outputErr, ipErr); err != nil {
				return err
			}
			if err := os.MkdirAll(*dir, 0o700); err != nil {
				return validator.Errors{{Field: "dir", Reason: err.Error()}}
			}
			if err := os.MkdirAll(*dir, 0o700); err != nil {
				return validator.Errors{{Field: "dir", Reason: err.Error()}}
			}
			authority, err := issuer.NewAuthority()
			if err != nil {
				return err
			}
			if err := authority.WriteFiles(*dir, issuer.WithIPs(addresses...)); err != nil {
				return err
			}
			written := struct {
				Directory string
				Roles     []string
			}{*dir, []string{"entry", "agent", "operator"}}
			return printer.print(written, func(w io.Writer) {
				fmt.Fprintf(w, "wrote authority.crt and the keys of entry, agent and operator to %s\n", *dir)
			})
		},
		Subcommands: []*ffcli.Command{p.tokenCommand()},
	}
}

// parseIPs parses IP addresses separated by commas. Its errors name the flag ips.
func parseIPs(text string) ([]net.IP, error) {
	var addresses []net.IP
	var fieldErrors validator.Errors
	for _, part := range splitCommaList(text) {
		ip := net.ParseIP(part)
		if ip == nil {
			fieldErrors = append(fieldErrors, validator.FieldError{Field: "ips", Reason: fmt.Sprintf("%q is no IP address", part)})
		}
		addresses = append(addresses, ip)
	}
	if len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	return addresses, nil
}

// tokenBytes is the number of random bytes in a token, enough that it cannot be guessed.
const tokenBytes = 32

func (p *Program) tokenCommand() *ffcli.Command {
	f := newFlagSet("token")
	var output outputFlag
	output.register(f)
	tokenFile := f.String("out", "", "file for the token; it must not exist yet")
	return &ffcli.Command{
		Name:       "token",
		ShortUsage: "persimmontrail keys token [flags]",
		ShortHelp:  "Make a random token and print its hash.",
		LongHelp: `The file goes to the caller, who names it with --token-file, or to entries as --operator-token-file. The hash
of a workspace's token is the TokenHash of the workspace in the configuration. Example:
  persimmontrail keys token --out atelier.token`,
		FlagSet: f,
		Exec: func(context.Context, []string) error {
			printer, outputErr := p.printer(output)
			var fileErr error
			if *tokenFile == "" {
				fileErr = validator.Errors{{Field: "out", Reason: "must name a file"}}
			}
			if err := joinFieldErrors(outputErr, fileErr); err != nil {
				return err
			}
			random := make([]byte, tokenBytes)
			if _, err := rand.Read(random); err != nil {
				return err
			}
			token := hex.EncodeToString(random)
			if err := createPrivateFile(*tokenFile, token+"\n"); err != nil {
				return validator.Errors{{Field: "out", Reason: err.Error()}}
			}
			sum := sha256.Sum256([]byte(token))
			created := struct{ File, TokenHash string }{*tokenFile, hex.EncodeToString(sum[:])}
			return printer.print(created, func(w io.Writer) {
				fmt.Fprintf(w, "file\t%s\nTokenHash\t%s\n", created.File, created.TokenHash)
			})
		},
	}
}

// createPrivateFile writes text to a new file that only its owner can read. It fails if the file exists, since
// that could hold a token in use.
func createPrivateFile(name, text string) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(text); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// loadHTTPTLS returns the TLS configuration of the HTTP interface, or nil if no files are set. It returns an error if
// the certificate is not valid at this time. At each handshake the files are read again, so that they can be replaced
// at run time; if they cannot be loaded, the last loaded certificate stays in use. The validity is not checked then.
func loadHTTPTLS(files issuer.Files) (*tls.Config, error) {
	if files.Certificate == "" && files.Key == "" {
		return nil, nil
	}
	if files.Certificate == "" || files.Key == "" {
		return nil, validator.Errors{{Field: "http-tls-certificate, http-tls-key", Reason: "must be set together"}}
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, validator.Errors{{Field: "http-tls-certificate, http-tls-key", Reason: fmt.Sprintf("%s, %s: %v", files.Certificate, files.Key, err)}}
	}
	if now := time.Now(); now.Before(certificate.Leaf.NotBefore) || now.After(certificate.Leaf.NotAfter) {
		return nil, validator.Errors{{Field: "http-tls-certificate", Reason: fmt.Sprintf("%s is valid from %s until %s only", files.Certificate, certificate.Leaf.NotBefore.Format(time.RFC3339), certificate.Leaf.NotAfter.Format(time.RFC3339))}}
	}
	var lastLoaded atomic.Pointer[tls.Certificate]
	lastLoaded.Store(&certificate)
	getCertificate := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if c, err := tls.LoadX509KeyPair(files.Certificate, files.Key); err == nil {
			lastLoaded.Store(&c)
		}
		return lastLoaded.Load(), nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: getCertificate}, nil
}
