package commander

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/supervisor"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

// keyFlags are the flags for the TLS key files of a process.
type keyFlags struct {
	files issuer.Files
}

func (k *keyFlags) register(f *flag.FlagSet) {
	f.StringVar(&k.files.Authority, "tls-authority", "", "file with the certificate of the authority for the system's processes")
	f.StringVar(&k.files.Certificate, "tls-certificate", "", "file with this process's certificate")
	f.StringVar(&k.files.Key, "tls-key", "", "file with this process's private key")
}

// loadFiles loads the key files and checks that the certificate has the given role. Peers would refuse a
// certificate with another role, but only their logs would show it.
func (k *keyFlags) loadFiles(role messenger.Role) (*issuer.Reloader, error) {
	var fieldErrors validator.Errors
	for _, f := range []struct{ name, value string }{
		{"tls-authority", k.files.Authority},
		{"tls-certificate", k.files.Certificate},
		{"tls-key", k.files.Key},
	} {
		if f.value == "" {
			fieldErrors = append(fieldErrors, validator.FieldError{Field: f.name, Reason: "must name a file; the command keys makes one for trials"})
		}
	}
	if len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	r, err := issuer.Load(k.files)
	if err != nil {
		return nil, validator.Errors{{Field: "tls", Reason: err.Error()}}
	}
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return nil, validator.Errors{{Field: "tls", Reason: err.Error()}}
	}
	id, err := messenger.CertificateIdentity(pair.Leaf)
	if err == nil && id.Role != role {
		err = fmt.Errorf("the certificate has the role %q, want %q", id.Role, role)
	}
	if err != nil {
		return nil, validator.Errors{{Field: "tls-certificate", Reason: fmt.Sprintf("%s: %v", k.files.Certificate, err)}}
	}
	return r, nil
}

// joinFieldErrors joins the field errors of several checks, so that they are reported together. If there is
// another error, it returns the first such error alone.
func joinFieldErrors(errs ...error) error {
	var joined validator.Errors
	for _, err := range errs {
		var fieldErrors validator.Errors
		if errors.As(err, &fieldErrors) {
			joined = append(joined, fieldErrors...)
		} else if err != nil {
			return err
		}
	}
	if len(joined) == 0 {
		return nil
	}
	return joined
}

// uniqueName appends a random suffix to name. The suffix distinguishes a restarted entry from its predecessor
// and makes generated ids of jobs and requests unique.
func uniqueName(name string) string {
	var random [4]byte
	_, _ = rand.Read(random[:])
	return name + "-" + hex.EncodeToString(random[:])
}

// printAddresses prints the addresses as one line of JSON. A parent process that starts this one with port 0
// learns from it which ports the operating system has chosen.
func (p *Program) printAddresses(httpAddress, address string) {
	line, _ := json.Marshal(struct{ HTTPAddress, Address string }{httpAddress, address})
	fmt.Fprintln(p.Stdout, string(line))
}

func (p *Program) entryCommand() *ffcli.Command {
	f := newFlagSet("entry")
	var s coordinator.Settings
	var logs logFlags
	var keys keyFlags
	var name, region, domain, tokenFile string
	var httpFiles issuer.Files
	f.StringVar(&name, "name", "entry", "name of this entry; a random part is added at each start")
	f.StringVar(&region, "region", "", "region of this entry")
	f.StringVar(&domain, "failure-domain", "", "failure domain of this entry")
	f.StringVar(&s.Listen, "listen", "127.0.0.1:7400", "IP address and port for agents and entries, UDP and TCP")
	f.StringVar(&s.HTTPListen, "http-listen", "127.0.0.1:7401", "IP address and port for callers and operators")
	f.StringVar(&s.StoreURL, "store", "http://127.0.0.1:7000", "URL of the platform's store")
	f.StringVar(&tokenFile, "operator-token-file", "", "file with the operator's token; without it everyone may act as operator")
	f.StringVar(&httpFiles.Certificate, "http-tls-certificate", "", "file with the certificate for callers and operators; without it they use plain HTTP")
	f.StringVar(&httpFiles.Key, "http-tls-key", "", "file with the private key for http-tls-certificate")
	logs.register(f)
	keys.register(f)
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "persimmontrail entry [flags]",
		ShortHelp:  "Run an entry: HTTP for callers and operators, routing, and scheduling of a region.",
		LongHelp: `Example:
  persimmontrail entry --region qc-sud --failure-domain Montreal --store http://10.0.0.5:7000 \
    --listen 10.0.0.7:7400 --http-listen 10.0.0.7:7401 \
    --tls-authority keys/authority.crt --tls-certificate keys/entry.crt --tls-key keys/entry.key

SIGTERM shuts down gracefully within 30 s; a second signal stops at once.`,
		FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			s.Name = descriptor.EntryID(uniqueName(name))
			s.Region = descriptor.RegionID(region)
			s.FailureDomain = descriptor.FailureDomainID(domain)
			reloader, keyErr := keys.loadFiles(messenger.RoleEntry)
			logger, logErr := p.logger(logs, "entry")
			token, tokenErr := readToken("operator-token-file", tokenFile)
			httpTLS, httpErr := loadHTTPTLS(httpFiles)
			if err := joinFieldErrors(s.Validate(), keyErr, logErr, tokenErr, httpErr); err != nil {
				return err
			}
			s.Log = logger
			s.OperatorToken = token
			s.HTTPTLS = httpTLS
			s.ServerTLS = reloader.ServerTLS()
			s.ClientTLS = reloader.ClientTLS()
			s.Ready = p.printAddresses
			return coordinator.Run(ctx, s)
		},
	}
}

// readToken reads a token from a file, or returns "" if the file name is empty. flagName is the flag named in
// errors.
func readToken(flagName, file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", validator.Errors{{Field: flagName, Reason: err.Error()}}
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", validator.Errors{{Field: flagName, Reason: file + " is empty"}}
	}
	return token, nil
}

func (p *Program) agentCommand() *ffcli.Command {
	f := newFlagSet("agent")
	var s supervisor.Settings
	var logs logFlags
	var keys keyFlags
	var name, region, domain, entries string
	f.StringVar(&name, "name", "agent", "name of this agent; a random part is added at each start")
	f.StringVar(&region, "region", "", "region of this agent")
	f.StringVar(&domain, "failure-domain", "", "failure domain of this agent")
	f.StringVar(&s.Listen, "listen", "127.0.0.1:7500", "IP address and port for entries, UDP and TCP")
	f.StringVar(&s.HTTPListen, "http-listen", "127.0.0.1:7501", "IP address and port for the endpoint beside this agent")
	f.StringVar(&entries, "entries", "", "addresses of entries of the region, separated by commas; the others are learned from them")
	f.StringVar(&s.WorkerURL, "worker", "", "URL of the worker beside this agent; empty if it serves an endpoint only")
	logs.register(f)
	keys.register(f)
	return &ffcli.Command{
		Name:       "agent",
		ShortUsage: "persimmontrail agent [flags]",
		ShortHelp:  "Run the agent beside a worker or an endpoint.",
		LongHelp: `Example:
  persimmontrail agent --region qc-sud --failure-domain Montreal --entries 10.0.0.7:7400 \
    --listen 10.0.1.4:7500 --worker http://127.0.0.1:7100 \
    --tls-authority keys/authority.crt --tls-certificate keys/agent.crt --tls-key keys/agent.key

The endpoint beside the agent announces itself at http-listen. SIGTERM shuts down gracefully within 30 s.`,
		FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			s.Name = name
			s.Region = descriptor.RegionID(region)
			s.FailureDomain = descriptor.FailureDomainID(domain)
			s.Entries = splitCommaList(entries)
			reloader, keyErr := keys.loadFiles(messenger.RoleAgent)
			logger, logErr := p.logger(logs, "agent")
			if err := joinFieldErrors(validateAgentSettings(s), checkAddress("listen", s.Listen), checkAddress("http-listen", s.HTTPListen), keyErr, logErr); err != nil {
				return err
			}
			client := s.SetTransport(reloader.ServerTLS(), reloader.ClientTLS(messenger.RoleEntry))
			defer client.Close()
			s.Log = logger
			s.Ready = func(address, httpAddress string) { p.printAddresses(httpAddress, address) }
			return supervisor.Run(ctx, s)
		},
	}
}

// validateAgentSettings validates all settings except the TLS key files, which keyFlags.loadFiles checks.
// Settings.Validate requires a transport, so this copy of the settings gets one without TLS.
func validateAgentSettings(s supervisor.Settings) error {
	s.SetTransport(nil, nil)
	return s.Validate()
}

// checkAddress checks that address is an IP address and a port.
func checkAddress(field, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return validator.Errors{{Field: field, Reason: fmt.Sprintf("is %q, want an IP address and port such as 127.0.0.1:7500", address)}}
	}
	return nil
}

// splitCommaList splits text at commas, trims spaces around the parts and drops empty parts.
func splitCommaList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
