package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"persimmontrail/internal/coordinator"
	"persimmontrail/pkg/validator"
)

// clientTimeout bounds calls that do not wait for work to finish. The request command, which does wait, has a
// timeout flag instead.
const clientTimeout = 10 * time.Second

// clientFlags are the flags that select the entry, the credentials for it, the operator's name in the audit trail and
// the output format.
type clientFlags struct {
	entry, tokenFile, authorityFile, operator string
	output                                    outputFlag
}

func (c *clientFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", "http://127.0.0.1:7401", "URL of an entry")
	f.StringVar(&c.tokenFile, "token-file", "", "file with the token of a workspace or of the operator")
	f.StringVar(&c.authorityFile, "http-authority", "", "file with the authority that signed the entry's certificate, for https")
	c.output.register(f)
	f.StringVar(&c.operator, "operator", "", "name that the audit trail records for changes")
}

// entryClient calls an entry over HTTP and prints its answers.
type entryClient struct {
	baseURL, token, operator string
	httpClient               *http.Client
	printer
}

// printer writes results as tables or as JSON.
type printer struct {
	json bool
	out  io.Writer
}

// client returns a client for the entry that the flags select. It reports all invalid flags together.
func (p *Program) client(c clientFlags) (*entryClient, error) {
	token, tokenErr := readToken("token-file", c.tokenFile)
	transport, transportErr := clientTransport(c.authorityFile)
	if err := joinFieldErrors(checkEntryURL(c.entry), tokenErr, transportErr, c.output.validate()); err != nil {
		return nil, err
	}
	client := &entryClient{baseURL: strings.TrimSuffix(c.entry, "/"), token: token, operator: c.operator, httpClient: &http.Client{Transport: transport}}
	client.printer = printer{json: c.output == "json", out: p.Stdout}
	return client, nil
}

// checkEntryURL checks that text is an HTTP or HTTPS URL. It accepts an empty text, since the command replay
// works without an entry.
func checkEntryURL(text string) error {
	u, err := url.Parse(text)
	if text == "" || err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return nil
	}
	return validator.Errors{{Field: "entry", Reason: fmt.Sprintf("is %q, want a URL such as http://127.0.0.1:7401", text)}}
}

// clientTransport returns a transport that trusts only the certificates in authorityFile, or the default
// transport if authorityFile is empty.
func clientTransport(authorityFile string) (http.RoundTripper, error) {
	if authorityFile == "" {
		return http.DefaultTransport, nil
	}
	pool, err := readAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}, nil
}

// readAuthority reads the PEM certificates in a file. Its errors name the flag http-authority.
func readAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, validator.Errors{{Field: "http-authority", Reason: err.Error()}}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, validator.Errors{{Field: "http-authority", Reason: file + " holds no certificate"}}
	}
	return pool, nil
}

// answerError is an error response of an entry whose body is a coordinator.ErrorResponse.
type answerError struct {
	status   int
	response coordinator.ErrorResponse
}

func (e *answerError) Error() string {
	text := e.response.Error
	if e.response.Result != "" {
		text += " (" + string(e.response.Result) + ")"
	}
	return text
}

// Is reports an answer with status 400 or 422 as validator.ErrInvalid, so that the exit code is
// ExitUsage.
func (e *answerError) Is(target error) bool {
	isInvalidInput := e.status == http.StatusUnprocessableEntity || e.status == http.StatusBadRequest
	return target == validator.ErrInvalid && isInvalidInput
}

// call sends a request and decodes the JSON body of the response into answer. It returns an answerError
// if an error response holds a coordinator.ErrorResponse. Any other JSON body is decoded whatever the status,
// because a coordinator.RequestResponse may come with an error status.
func (c *entryClient) call(ctx context.Context, method, path string, body, answer any) error {
	data, _, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

// do sends a request and returns the body and status of the response. If the status is 300 or above, do also
// returns an answerError if the body is a coordinator.ErrorResponse, or another error if the body is not JSON.
func (c *entryClient) do(ctx context.Context, method, path string, body any) ([]byte, int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, 0, err
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, 0, validator.Errors{{Field: "entry", Reason: err.Error()}}
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.operator != "" {
		r.Header.Set("Operator", c.operator)
	}
	response, err := c.httpClient.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, fmt.Errorf("answer was cut: %w", err)
	}
	var errorResponse coordinator.ErrorResponse
	if response.StatusCode >= 300 && json.Unmarshal(data, &errorResponse) == nil && errorResponse.Error != "" {
		return data, response.StatusCode, &answerError{status: response.StatusCode, response: errorResponse}
	}
	if response.StatusCode >= 300 && !json.Valid(data) {
		return data, response.StatusCode, fmt.Errorf("%s %s: %s", method, c.baseURL+path, response.Status)
	}
	return data, response.StatusCode, nil
}

// print writes v as JSON, or the output of table with aligned columns. table is not called for JSON and may
// then be nil.
func (p *printer) print(v any, table func(w io.Writer)) error {
	if p.json {
		e := json.NewEncoder(p.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printText writes v as JSON, or the output of text unchanged.
func (p *printer) printText(v any, text func(w io.Writer)) error {
	if p.json {
		return p.print(v, nil)
	}
	var b bytes.Buffer
	text(&b)
	_, err := p.out.Write(b.Bytes())
	return err
}
