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

// clientTimeout bounds a call that waits for no work. Requests wait for the target of their class.
const clientTimeout = 10 * time.Second

// clientFlags say which entry to call and how to print the answer.
type clientFlags struct {
	entry, tokenFile, authority, operator string
	output                                outputFlag
}

func (c *clientFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.entry, "entry", "http://127.0.0.1:7401", "URL of an entry")
	f.StringVar(&c.tokenFile, "token-file", "", "file with the token of a workspace or of the operator")
	f.StringVar(&c.authority, "http-authority", "", "file with the authority that signed the entry's certificate, for https")
	c.output.register(f)
	f.StringVar(&c.operator, "operator", "", "name that the audit trail records for changes")
}

// entryClient calls an entry over HTTP.
type entryClient struct {
	base, token, operator string
	http                  *http.Client
	printer
}

// printer writes answers as tables or as JSON.
type printer struct {
	json bool
	out  io.Writer
}

func (p *Program) client(c clientFlags) (*entryClient, error) {
	token, tokenErr := readToken("token-file", c.tokenFile)
	transport, transportErr := clientTransport(c.authority)
	if err := joinFaults(checkEntryURL(c.entry), tokenErr, transportErr, c.output.validate()); err != nil {
		return nil, err
	}
	client := &entryClient{base: strings.TrimSuffix(c.entry, "/"), token: token, operator: c.operator, http: &http.Client{Transport: transport}}
	client.printer = printer{json: c.output == "json", out: p.Stdout}
	return client, nil
}

// checkEntryURL accepts an empty URL, which replay uses for a replay without an entry.
func checkEntryURL(text string) error {
	u, err := url.Parse(text)
	if text == "" || err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return nil
	}
	return validator.Errors{{Field: "entry", Reason: fmt.Sprintf("is %q, want a URL such as http://127.0.0.1:7401", text)}}
}

func clientTransport(authority string) (http.RoundTripper, error) {
	if authority == "" {
		return http.DefaultTransport, nil
	}
	pool, err := readAuthority(authority)
	if err != nil {
		return nil, err
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}, nil
}

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

// answerError is an error that an entry answered.
type answerError struct {
	status  int
	problem coordinator.Problem
}

func (e *answerError) Error() string {
	text := e.problem.Error
	if e.problem.Result != "" {
		text += " (" + string(e.problem.Result) + ")"
	}
	return text
}

// Is makes an answer that refuses the input count as invalid input.
func (e *answerError) Is(target error) bool {
	isInput := e.status == http.StatusUnprocessableEntity || e.status == http.StatusBadRequest
	return target == validator.ErrInvalid && isInput
}

// call sends a request and decodes the answer into answer. Answers with a
// status below 300 or with a RequestAnswer body are no errors.
func (c *entryClient) call(ctx context.Context, method, path string, body, answer any) error {
	data, _, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, answer)
}

func (c *entryClient) do(ctx context.Context, method, path string, body any) ([]byte, int, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, 0, err
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, 0, validator.Errors{{Field: "entry", Reason: err.Error()}}
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if c.operator != "" {
		r.Header.Set("Operator", c.operator)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, fmt.Errorf("answer was cut: %w", err)
	}
	var problem coordinator.Problem
	if response.StatusCode >= 300 && json.Unmarshal(data, &problem) == nil && problem.Error != "" {
		return data, response.StatusCode, &answerError{status: response.StatusCode, problem: problem}
	}
	if response.StatusCode >= 300 && !json.Valid(data) {
		return data, response.StatusCode, fmt.Errorf("%s %s: %s", method, c.base+path, response.Status)
	}
	return data, response.StatusCode, nil
}

// print writes v as JSON, or as a table by the given function.
func (c *printer) print(v any, table func(w io.Writer)) error {
	if c.json {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// printText writes v as JSON, or as text that aligns its own columns.
func (c *printer) printText(v any, text func(w io.Writer)) error {
	if c.json {
		return c.print(v, nil)
	}
	var b bytes.Buffer
	text(&b)
	_, err := c.out.Write(b.Bytes())
	return err
}
