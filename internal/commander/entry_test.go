package commander

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// testEntry is an entry that runs in the test process with a store stand-in.
type testEntry struct {
	t     *testing.T
	store *faker.Store
	// url is the base URL of the HTTP interface.
	url string
	// address is the address for messages of agents and entries.
	address string
	// entryFlags are the flags with which commands call the entry as the operator.
	entryFlags []string
}

const operatorToken = "operator's token"

// startEntry starts an entry that runs until the test ends. change, if not nil, modifies its settings before the
// start.
func startEntry(t *testing.T, change func(*coordinator.Settings)) *testEntry {
	t.Helper()
	e := &testEntry{t: t, store: &faker.Store{}}
	storeServer := httptest.NewServer(e.store)
	authority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	serverTLS, err := authority.Server(messenger.RoleEntry, "entry")
	assert.NilError(t, err)
	clientTLS, err := authority.Client(messenger.RoleEntry, "entry")
	assert.NilError(t, err)
	addresses := make(chan string, 2)
	s := coordinator.Settings{
		Name: "entry-1", Region: "Morava", FailureDomain: "Brno", Listen: "127.0.0.1:0", HTTPListen: "127.0.0.1:0",
		StoreURL: storeServer.URL, ServerTLS: serverTLS, ClientTLS: clientTLS,
		Ready: func(httpAddress, address string) { addresses <- httpAddress; addresses <- address },
	}
	if change != nil {
		change(&s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- coordinator.Run(ctx, s) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-stopped)
		storeServer.Close()
	})
	scheme := "http://"
	if s.HTTPTLS != nil {
		scheme = "https://"
	}
	select {
	case e.url = <-addresses:
		e.url = scheme + e.url
		e.address = <-addresses
	case err := <-stopped:
		stopped <- err
		t.Fatal(err)
	}
	e.entryFlags = []string{"--entry", e.url}
	return e
}

// writeTestFile writes text to a temporary file and returns its name.
func writeTestFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

// run runs a command, such as "job get", with the entry's flags before its arguments.
func (e *testEntry) run(command string, args ...string) (code int, stdout, stderr string) {
	e.t.Helper()
	allArgs := append(strings.Fields(command), e.entryFlags...)
	return runProgram(e.t, append(allArgs, args...)...)
}

// apply replaces the configuration of the entry with the example configuration, which change, if not nil,
// modifies first.
func (e *testEntry) apply(change func(*descriptor.Configuration)) {
	e.t.Helper()
	cfg := exampleConfiguration(e.t)
	if change != nil {
		change(&cfg)
	}
	code, stdout, stderr := e.run("apply", "--force", writeJSONFile(e.t, cfg))
	assert.Equal(e.t, code, ExitOK, stderr)
	assert.Assert(e.t, strings.HasPrefix(stdout, coordinator.ChangeAccepted), stdout)
}

// exampleConfiguration returns the configuration in examples/destovka.json.
func exampleConfiguration(t *testing.T) descriptor.Configuration {
	t.Helper()
	data, err := os.ReadFile("../../examples/destovka.json")
	assert.NilError(t, err)
	var cfg descriptor.Configuration
	assert.NilError(t, json.Unmarshal(data, &cfg))
	return cfg
}

// writeJSONFile writes v as JSON to a temporary file and returns its name.
func writeJSONFile(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	assert.NilError(t, err)
	return writeTestFile(t, string(data))
}

// snapshot returns the configuration and the accepted jobs, which invalid input must not change.
func (e *testEntry) snapshot() string {
	e.t.Helper()
	var bodies []string
	for _, path := range []string{"/v1/configuration", "/v1/jobs"} {
		_, body := e.call(http.MethodGet, path, operatorToken, "")
		bodies = append(bodies, body)
	}
	return strings.Join(bodies, "\n")
}

// call sends an HTTP request without entryClient and the checks of the command line. It returns the status and the
// body of the response.
func (e *testEntry) call(method, path, token, body string) (int, string) {
	e.t.Helper()
	r, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	assert.NilError(e.t, err)
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	assert.NilError(e.t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(e.t, err)
	return response.StatusCode, string(data)
}

// TestInvalidInputNamesFieldAndChangesNothing guards against invalid input that is accepted or changes
// something, and against errors that lack the field or the reason.
func TestInvalidInputNamesFieldAndChangesNothing(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	before := e.snapshot()
	changedFile := func(change func(*descriptor.Configuration)) string {
		cfg := exampleConfiguration(t)
		cfg.Revision = 1
		change(&cfg)
		return writeJSONFile(t, cfg)
	}
	largeFile := writeTestFile(t, strings.Repeat("x", 1_000_001))
	jobArgs := func(args ...string) []string {
		return append([]string{"--workspace", "obec", "--class", "Survey"}, args...)
	}
	for _, c := range []struct {
		name, command string
		args          []string
		code          int
		want          []string
	}{
		{"unknown field", "apply", []string{writeTestFile(t, `{"Weights": 3}`)}, ExitUsage, []string{"configuration:", "Weights"}},
		{"share above the guarantee", "apply", []string{changedFile(func(c *descriptor.Configuration) { c.Classes[1].Share = 1.5 })}, ExitUsage, []string{"Classes[1].Share:", "cannot claim more than its workspace's guarantee"}},
		{"guarantees that do not fit together", "apply", []string{changedFile(func(c *descriptor.Configuration) { c.Workspaces[3].Guarantees[0].Count = 40 })}, ExitUsage, []string{"Workspaces:", `"obec"`, "does not fit together"}},
		{"wrong revision", "apply", []string{changedFile(func(c *descriptor.Configuration) { c.Revision = 7 })}, ExitFailed, []string{"at revision 1", "based on revision 7"}},
		{"unknown region", "job submit", jobArgs("--region", "Čechý"), ExitUsage, []string{"Region:", "Čechý", "NotRun"}},
		{"gang larger than the fleet", "job submit", jobArgs("--tasks", "200", "--accelerators", "8", "--cores", "0", "--memory", "0"), ExitUsage, []string{"Tasks:", "can never fit", "NotRun"}},
		{"no tasks and negative cores", "job submit", jobArgs("--tasks", "0", "--cores", "-1"), ExitUsage, []string{"Tasks:", "PerTask.Cores:"}},
		{"unknown workspace and class", "job submit", []string{"--workspace", "x", "--class", "y"}, ExitUsage, []string{"Workspace:", "Class:"}},
		{"payload over the limit", "job submit", jobArgs("--payload", strings.Repeat("x", 40_000)), ExitUsage, []string{"Payload:", "8000"}},
		{"body over 1 MB", "request", []string{"--workspace", "obec", "--class", "Sizing", "--body", "@" + largeFile}, ExitUsage, []string{"Body:", "1000000"}},
		{"class without service", "request", []string{"--workspace", "obec", "--class", "Survey"}, ExitUsage, []string{"Class:", "names no service"}},
		{"unknown failure domain", "domain out", []string{"Praha?#%/x"}, ExitFailed, []string{"FailureDomain:", "Praha?#%/x"}},
		{"unknown job", "job get", []string{"obec", "j/1?x=%41"}, ExitFailed, []string{"no job obec/j/1?x=%41"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := e.run(c.command, c.args...)
			assert.Equal(t, code, c.code, stderr)
			assert.Equal(t, stdout, "")
			for _, w := range c.want {
				assert.Assert(t, strings.Contains(stderr, w), "%q is missing in %s", w, stderr)
			}
			assert.Equal(t, e.snapshot(), before)
		})
	}
}

// TestEntryValidatesHTTPInput guards against an entry that leaves validation to the command line.
func TestEntryValidatesHTTPInput(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	before := e.snapshot()
	var domains []string
	for i := range 8000 {
		domains = append(domains, fmt.Sprintf(`{"Name":"%s%d","Region":"Morava"}`, strings.Repeat("n", 110), i))
	}
	overOneMegabyte := `{"Revision":1,"FailureDomains":[` + strings.Join(domains, ",") + `]}`
	for _, c := range []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"unknown field of a job", http.MethodPost, "/v1/jobs", `{"ID":"j","Weight":3}`, http.StatusBadRequest, "Weight"},
		{"text after a job", http.MethodPost, "/v1/jobs", `{"ID":"j","Workspace":"obec","Class":"Survey","Tasks":1,"PerTask":{"Cores":1},"DeclaredRunTime":"1s"} {}`, http.StatusBadRequest, "more than one JSON value"},
		{"unknown field of a request", http.MethodPost, "/v1/requests", `{"ID":"j","Priority":3}`, http.StatusBadRequest, "Priority"},
		{"body over the limit", http.MethodPost, "/v1/requests", `{"Body":"` + strings.Repeat("A", 2_100_000) + `"}`, http.StatusRequestEntityTooLarge, "Body"},
		{"share above 1", http.MethodPut, "/v1/configuration", `{"Revision":1,"FailureDomains":[{"Name":"Brno","Region":"Morava"}],"Classes":[{"Name":"a","FinishWithin":"1s","Share":2}]}`, http.StatusUnprocessableEntity, "Classes[0].Share"},
		{"configuration over 1 MB", http.MethodPut, "/v1/configuration", overOneMegabyte, http.StatusRequestEntityTooLarge, "1 MB"},
		{"failure domain without Out", http.MethodPut, "/v1/failure-domains/Brno", `{}`, http.StatusBadRequest, "Out"},
		{"unknown path", http.MethodGet, "/v1/nothing", "", http.StatusNotFound, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, body := e.call(c.method, c.path, "", c.body)
			assert.Equal(t, status, c.status, "%.300s", body)
			assert.Assert(t, strings.Contains(body, c.want), "%q is missing in %.300s", c.want, body)
			assert.Equal(t, e.snapshot(), before)
		})
	}
}

// TestNamesInURLsAreEscaped guards against names that are truncated or altered in URLs because they hold ?, #, % or
// letters outside ASCII.
func TestNamesInURLsAreEscaped(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(func(c *descriptor.Configuration) {
		c.Fleet = nil
		c.FailureDomains = append(c.FailureDomains, descriptor.FailureDomain{Name: "Ústí?a=1#%41", Region: "Čechy"})
	})
	code, stdout, stderr := e.run("domain out", "--operator", "Jiří Dvořák", "Ústí?a=1#%41")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "revision 2"), stdout)
	_, stdout, _ = e.run("domain list")
	assert.Assert(t, strings.Contains(strings.Join(strings.Fields(stdout), " "), "Ústí?a=1#%41 Čechy out"), stdout)
	_, stdout, _ = e.run("audit", "failure domain Ústí?a=1#%41")
	assert.Assert(t, strings.Contains(stdout, "Jiří Dvořák"), stdout)
	code, _, stderr = e.run("job submit", "--workspace", "obec", "--class", "Survey", "--region", "Čechy", "--id", "příjem?1#%2F")
	assert.Equal(t, code, ExitOK, stderr)
	code, stdout, stderr = e.run("job get", "obec", "příjem?1#%2F")
	assert.Equal(t, code, ExitOK, stderr)
	assert.Assert(t, strings.Contains(stdout, "příjem?1#%2F"), stdout)
}

// hashToken returns the SHA-256 of a token in lower-case hex, which the configuration holds as a workspace's TokenHash.
func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// TestAuthorizationByToken guards against a workspace that sees or changes the work of another workspace, and
// against operator calls by anyone but the operator.
func TestAuthorizationByToken(t *testing.T) {
	e := startEntry(t, func(s *coordinator.Settings) { s.OperatorToken = operatorToken })
	e.entryFlags = append(e.entryFlags, "--token-file", writeTestFile(t, operatorToken))
	e.apply(func(c *descriptor.Configuration) {
		c.Workspaces[0].TokenHash = hashToken("token of brno")
		// Hexadecimal digits may be in upper case.
		c.Workspaces[3].TokenHash = strings.ToUpper(hashToken("token of obec"))
	})
	jobJSON := func(workspace string) string {
		return `{"ID":"j1","Workspace":"` + workspace + `","Class":"Survey","Region":"Morava","Tasks":1,"PerTask":{"Accelerators":1},"DeclaredRunTime":"1m"}`
	}
	expect := func(token, method, path, body string, want int) string {
		t.Helper()
		status, answer := e.call(method, path, token, body)
		assert.Equal(t, status, want, "%s %s as %q: %s", method, path, token, answer)
		return answer
	}
	expect("token of brno", http.MethodPost, "/v1/jobs", jobJSON("brno-instal"), http.StatusOK)
	// The token of a workspace implies the workspace of a job that names none.
	expect("token of obec", http.MethodPost, "/v1/jobs", strings.Replace(jobJSON(""), "j1", "j2", 1), http.StatusOK)

	expect("token of obec", http.MethodPost, "/v1/jobs", jobJSON("brno-instal"), http.StatusForbidden)
	expect("token of obec", http.MethodPost, "/v1/requests", `{"ID":"r1","Workspace":"brno-instal","Class":"Sizing"}`, http.StatusForbidden)
	for _, path := range []string{"/v1/jobs/brno-instal/%s", "/v1/jobs/brno-instal/%s/explain"} {
		// The answer must not reveal whether a job of another workspace exists.
		exists := expect("token of obec", http.MethodGet, fmt.Sprintf(path, "j1"), "", http.StatusNotFound)
		absent := expect("token of obec", http.MethodGet, fmt.Sprintf(path, "j9"), "", http.StatusNotFound)
		assert.Equal(t, strings.ReplaceAll(absent, "j9", "j1"), exists)
		expect("token of brno", http.MethodGet, fmt.Sprintf(path, "j1"), "", http.StatusOK)
	}
	expect("token of obec", http.MethodDelete, "/v1/jobs/brno-instal/j1", "", http.StatusNotFound)
	ownAnswer := expect("token of obec", http.MethodGet, "/v1/requests/obec/r9", "", http.StatusNotFound)
	foreignAnswer := expect("token of obec", http.MethodGet, "/v1/requests/brno-instal/r9", "", http.StatusNotFound)
	assert.Equal(t, ownAnswer, foreignAnswer)
	jobList := expect("token of obec", http.MethodGet, "/v1/jobs", "", http.StatusOK)
	assert.Assert(t, strings.Contains(jobList, `"j2"`) && !strings.Contains(jobList, "brno-instal"), jobList)
	assert.Assert(t, strings.Contains(expect(operatorToken, http.MethodGet, "/v1/jobs", "", http.StatusOK), "brno-instal"))

	for _, token := range []string{"", "wrong", hashToken("token of obec")} {
		expect(token, http.MethodGet, "/v1/jobs", "", http.StatusUnauthorized)
		expect(token, http.MethodPost, "/v1/jobs", jobJSON("obec"), http.StatusUnauthorized)
		expect(token, http.MethodPut, "/v1/failure-domains/Brno", `{"Out":true}`, http.StatusUnauthorized)
	}
	for _, call := range []struct{ method, path, body string }{
		{http.MethodGet, "/v1/configuration", ""},
		{http.MethodPut, "/v1/configuration", `{}`},
		{http.MethodGet, "/v1/failure-domains", ""},
		{http.MethodPut, "/v1/failure-domains/Brno", `{"Out":true}`},
		{http.MethodGet, "/v1/status", ""},
		{http.MethodGet, "/v1/audit", ""},
	} {
		expect("token of obec", call.method, call.path, call.body, http.StatusForbidden)
	}
	_, stdout, _ := e.run("domain list")
	assert.Assert(t, !strings.Contains(stdout, "out"), stdout)
}

// TestTokensAreCheckedBeforeTheFirstConfiguration guards against calls that succeed without a valid token
// before the first configuration is applied.
func TestTokensAreCheckedBeforeTheFirstConfiguration(t *testing.T) {
	e := startEntry(t, func(s *coordinator.Settings) { s.OperatorToken = operatorToken })
	for _, token := range []string{"", "wrong"} {
		status, body := e.call(http.MethodGet, "/v1/jobs", token, "")
		assert.Equal(t, status, http.StatusServiceUnavailable, body)
		status, body = e.call(http.MethodPut, "/v1/configuration", token, `{}`)
		assert.Equal(t, status, http.StatusForbidden, body)
	}
}

// TestHTTPCertificateReloadUnderLoad guards against requests that fail while the HTTP certificate is
// replaced, and against a new certificate that is not used.
func TestHTTPCertificateReloadUnderLoad(t *testing.T) {
	dir := t.TempDir()
	authority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	files, err := authority.WriteCredentials(dir, messenger.RoleEntry, "first")
	assert.NilError(t, err)
	httpTLS, err := loadHTTPTLS(files)
	assert.NilError(t, err)
	e := startEntry(t, func(s *coordinator.Settings) { s.HTTPTLS = httpTLS })
	e.entryFlags = append(e.entryFlags, "--http-authority", files.Authority)
	stop := make(chan struct{})
	failures := make(chan error, 1)
	go func() {
		defer close(failures)
		for {
			select {
			case <-stop:
				return
			default:
			}
			// Each command opens a new connection, so that it performs a handshake.
			if code, _, stderr := e.run("job list"); code != ExitOK {
				failures <- errors.New(stderr)
				return
			}
		}
	}()
	servedName := func() string {
		transport, err := clientTransport(files.Authority)
		assert.NilError(t, err)
		response, err := (&http.Client{Transport: transport}).Get(e.url + "/healthz")
		assert.NilError(t, err)
		defer response.Body.Close()
		return response.TLS.PeerCertificates[0].Subject.CommonName
	}
	assert.Equal(t, servedName(), "first")
	for i := range 20 {
		name := fmt.Sprint("replacement ", i)
		_, err := authority.WriteCredentials(dir, messenger.RoleEntry, name)
		assert.NilError(t, err)
		assert.Equal(t, servedName(), name)
	}
	close(stop)
	assert.NilError(t, <-failures)

	// A client that trusts only another authority must reject the certificate.
	foreignDir := t.TempDir()
	foreignAuthority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	foreignFiles, err := foreignAuthority.WriteCredentials(foreignDir, messenger.RoleEntry, "strange")
	assert.NilError(t, err)
	code, _, stderr := runProgram(t, "job", "list", "--entry", e.url, "--http-authority", foreignFiles.Authority)
	assert.Equal(t, code, ExitFailed)
	assert.Assert(t, strings.Contains(stderr, "certificate"), stderr)
}

// TestInvalidKeyFilesAreNamed guards against an entry that starts with invalid key files, and against errors that do
// not name the file or flag.
func TestInvalidKeyFilesAreNamed(t *testing.T) {
	dir := t.TempDir()
	authority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	good, err := authority.WriteCredentials(dir, messenger.RoleEntry, "entry")
	assert.NilError(t, err)
	expired, err := authority.WriteCredentials(t.TempDir(), messenger.RoleEntry, "entry", issuer.WithValidity(time.Now().Add(-2*time.Hour), time.Now().Add(-time.Hour)))
	assert.NilError(t, err)
	otherPair, err := authority.WriteCredentials(t.TempDir(), messenger.RoleEntry, "entry")
	assert.NilError(t, err)
	agentFiles, err := authority.WriteCredentials(t.TempDir(), messenger.RoleAgent, "agent")
	assert.NilError(t, err)
	for _, c := range []struct {
		name, field, file string
		files             issuer.Files
	}{
		{"missing", "tls", "absent.key", issuer.Files{Authority: good.Authority, Certificate: good.Certificate, Key: filepath.Join(dir, "absent.key")}},
		{"expired", "tls", expired.Certificate, expired},
		{"key of another certificate", "tls", otherPair.Key, issuer.Files{Authority: good.Authority, Certificate: good.Certificate, Key: otherPair.Key}},
		{"no PEM", "tls", good.Key, issuer.Files{Authority: good.Key, Certificate: good.Certificate, Key: good.Key}},
		{"role of an agent", "tls", agentFiles.Certificate, agentFiles},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The context is cancelled, so that an entry that starts despite the invalid files stops at once.
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			var stderr strings.Builder
			p := &Program{Stdout: io.Discard, Stderr: &stderr, Getenv: os.Getenv}
			code := p.Run(ctx, []string{
				"entry", "--region", "Morava", "--failure-domain", "Brno", "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0",
				"--tls-authority", c.files.Authority, "--tls-certificate", c.files.Certificate, "--tls-key", c.files.Key,
			})
			assert.Equal(t, code, ExitUsage, stderr.String())
			assert.Assert(t, strings.Contains(stderr.String(), c.field) && strings.Contains(stderr.String(), c.file), stderr.String())
		})
	}
	for _, files := range []issuer.Files{
		{Certificate: good.Certificate},
		{Certificate: good.Certificate, Key: otherPair.Key},
		{Certificate: expired.Certificate, Key: expired.Key},
		{Certificate: filepath.Join(dir, "absent.crt"), Key: good.Key},
	} {
		_, err := loadHTTPTLS(files)
		assert.ErrorContains(t, err, "http-tls-")
	}
}

// TestAgentOfForeignAuthorityIsRefused guards against an agent with a certificate of another authority that gets
// a start permit, learns addresses or is listed in the status.
func TestAgentOfForeignAuthorityIsRefused(t *testing.T) {
	e := startEntry(t, nil)
	e.apply(nil)
	foreignAuthority, err := issuer.NewAuthority()
	assert.NilError(t, err)
	clientTLS, err := foreignAuthority.Client(messenger.RoleAgent, "agent")
	assert.NilError(t, err)
	// The client skips the verification of the server, as an attacker would, so that only the entry can refuse.
	clientTLS.VerifyConnection = nil
	client := &messenger.Client{TLS: clientTLS}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var answer messenger.ReportAnswer
	err = client.Call(ctx, e.address, messenger.KindReport, messenger.Report{Agent: "a", Sequence: 1}, &answer)
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, answer, messenger.ReportAnswer{})
	_, stdout, _ := e.run("status", "--output", "json")
	assert.Assert(t, strings.Contains(stdout, `"Agents": null`), stdout)
}
