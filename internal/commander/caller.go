package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/coordinator"
	"persimmontrail/pkg/descriptor"
	"persimmontrail/pkg/validator"
)

func decodeJSON(data []byte, v any) error { return json.Unmarshal(data, v) }

func (p *Program) jobCommand() *ffcli.Command {
	c := &ffcli.Command{
		Name:       "job",
		ShortUsage: "persimmontrail job submit|get|list|cancel|explain [flags]",
		ShortHelp:  "Submit, watch, cancel and explain jobs.",
		LongHelp:   "Example:\n  persimmontrail job submit --workspace atelier --class Draft --accelerators 8 --run-time 2h",
		FlagSet:    newFlagSet("job"),
		Subcommands: []*ffcli.Command{
			p.submitJobCommand(),
			p.singleJobCommand("get", "Show one job.", http.MethodGet, ""),
			p.listJobsCommand(),
			p.singleJobCommand("cancel", "Cancel a job.", http.MethodDelete, ""),
			p.explainJobCommand(),
		},
	}
	c.Exec = requireSubcommand(c)
	return c
}

// jobFlags are the flags that describe a job. accelerators, cores and memory (in megabytes) are for
// each task.
type jobFlags struct {
	id, workspace, class, region, adjacency, payload string
	tasks, accelerators                              int
	cores                                            float64
	memory                                           int64
	runTime                                          time.Duration
	nonIdempotent                                    bool
}

func (j *jobFlags) register(f *flag.FlagSet) {
	f.StringVar(&j.id, "id", "", "id of the job, unique in the workspace; made up if empty")
	f.StringVar(&j.workspace, "workspace", "", "workspace of the job")
	f.StringVar(&j.class, "class", "", "class of the job")
	f.StringVar(&j.region, "region", "", "region in which the job runs; empty for that of the entry")
	f.StringVar(&j.adjacency, "adjacency", "FailureDomain", "where all accelerators must be: FailureDomain, Rack or Worker")
	f.StringVar(&j.payload, "payload", "", "payload that the worker gets")
	f.IntVar(&j.tasks, "tasks", 1, "number of tasks that run together or not at all")
	f.IntVar(&j.accelerators, "accelerators", 1, "accelerators for each task")
	f.Float64Var(&j.cores, "cores", 1, "cores for each task")
	f.Int64Var(&j.memory, "memory", 1000, "memory for each task in megabytes")
	f.DurationVar(&j.runTime, "run-time", time.Minute, "expected run time")
	f.BoolVar(&j.nonIdempotent, "non-idempotent", false, "run the job at most once")
}

// job returns the job that the flags describe, with a generated id if none was given. Of the values, it checks only
// the adjacency; the entry validates the others.
func (j *jobFlags) job() (descriptor.Job, error) {
	job := descriptor.Job{
		ID:        descriptor.JobID(j.id),
		Workspace: descriptor.WorkspaceID(j.workspace),
		Class:     descriptor.ClassID(j.class),
		Region:    descriptor.RegionID(j.region),
		Tasks:     j.tasks,
		PerTask: descriptor.Resources{
			Cores:        descriptor.Cores(j.cores),
			Memory:       descriptor.Megabytes(j.memory),
			Accelerators: descriptor.Accelerators(j.accelerators),
		},
		DeclaredRunTime: descriptor.Duration(j.runTime),
		NonIdempotent:   j.nonIdempotent,
		Payload:         []byte(j.payload),
	}
	if job.ID == "" {
		job.ID = descriptor.JobID(uniqueName("job"))
	}
	if err := job.Adjacency.UnmarshalText([]byte(j.adjacency)); err != nil {
		return job, validator.Errors{{Field: "adjacency", Reason: err.Error()}}
	}
	return job, nil
}

func (p *Program) submitJobCommand() *ffcli.Command {
	f := newFlagSet("submit")
	var c clientFlags
	var j jobFlags
	c.register(f)
	j.register(f)
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "persimmontrail job submit [flags]",
		ShortHelp:  "Submit a job. Repeating it with the same id is safe.",
		LongHelp: `Example:
  persimmontrail job submit --workspace atelier --class Draft --tasks 3 --accelerators 8 --adjacency Rack --run-time 2h`,
		FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			job, jobErr := j.job()
			client, clientErr := p.client(c)
			if err := joinFieldErrors(jobErr, clientErr); err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var jobStatus coordinator.JobStatus
			if err := client.call(ctx, http.MethodPost, "/v1/jobs", job, &jobStatus); err != nil {
				return err
			}
			return client.printJobs(jobStatus, []coordinator.JobStatus{jobStatus})
		},
	}
}

// printJobs prints document, the answer of the entry, as JSON, or the jobs in it as a table.
func (c *entryClient) printJobs(document any, jobs []coordinator.JobStatus) error {
	return c.print(document, func(w io.Writer) {
		fmt.Fprintln(w, "WORKSPACE\tJOB\tCLASS\tTASKS\tACCELERATORS\tSTATE\tATTEMPT\tRESULT\tREASON")
		for _, v := range jobs {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%s\t%s\n", v.Job.Workspace, v.Job.ID, v.Job.Class, v.Job.Tasks, v.Job.Accelerators(), v.State, v.Attempt, v.Result, v.Reason)
		}
	})
}

func jobPath(workspace, id string) string {
	return "/v1/jobs/" + url.PathEscape(workspace) + "/" + url.PathEscape(id)
}

// parseJobArguments expects exactly two arguments, the workspace and the job id. Its error wraps errUsage.
func parseJobArguments(args []string) (workspace, id string, err error) {
	if len(args) != 2 {
		return "", "", fmt.Errorf("%w: want two arguments, the workspace and the job, and not %q; flags stand before arguments", errUsage, args)
	}
	return args[0], args[1], nil
}

// singleJobCommand returns a command that makes one HTTP call about a job and prints the job. suffix is
// appended to the URL path of the job.
func (p *Program) singleJobCommand(name, help, method, suffix string) *ffcli.Command {
	f := newFlagSet(name)
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "persimmontrail job " + name + " [flags] WORKSPACE JOB",
		ShortHelp:  help,
		LongHelp:   "Example:\n  persimmontrail job " + name + " atelier draft-17",
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			workspace, id, err := parseJobArguments(args)
			if err != nil {
				return err
			}
			client, err := p.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var jobStatus coordinator.JobStatus
			if err := client.call(ctx, method, jobPath(workspace, id)+suffix, nil, &jobStatus); err != nil {
				return err
			}
			return client.printJobs(jobStatus, []coordinator.JobStatus{jobStatus})
		},
	}
}

func (p *Program) listJobsCommand() *ffcli.Command {
	f := newFlagSet("list")
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "persimmontrail job list [flags]",
		ShortHelp:  "List the jobs of the entry's region.",
		LongHelp:   "Example:\n  persimmontrail job list --output json",
		FlagSet:    f,
		Exec: func(ctx context.Context, _ []string) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var answer struct{ Jobs []coordinator.JobStatus }
			if err := client.call(ctx, http.MethodGet, "/v1/jobs", nil, &answer); err != nil {
				return err
			}
			return client.printJobs(answer, answer.Jobs)
		},
	}
}

func (p *Program) explainJobCommand() *ffcli.Command {
	f := newFlagSet("explain")
	var c clientFlags
	c.register(f)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "persimmontrail job explain [flags] WORKSPACE JOB",
		ShortHelp:  "Say why a job is in its state and what would change it.",
		LongHelp:   "Example:\n  persimmontrail job explain atelier draft-17",
		FlagSet:    f,
		Exec: func(ctx context.Context, args []string) error {
			workspace, id, err := parseJobArguments(args)
			if err != nil {
				return err
			}
			client, err := p.client(c)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, clientTimeout)
			defer cancel()
			var x coordinator.JobExplanation
			if err := client.call(ctx, http.MethodGet, jobPath(workspace, id)+"/explain", nil, &x); err != nil {
				return err
			}
			return client.printText(x, func(w io.Writer) { printExplanation(w, x) })
		},
	}
}

// errRequestNotDone is wrapped by the error for a request whose result, already printed, is not Done.
var errRequestNotDone = errors.New("request not done")

func (p *Program) requestCommand() *ffcli.Command {
	f := newFlagSet("request")
	var c clientFlags
	c.register(f)
	id := f.String("id", "", "id of the request, unique in the workspace; made up if empty; repeat it on a retry")
	workspace := f.String("workspace", "", "workspace of the request")
	class := f.String("class", "", "class of the request")
	body := f.String("body", "", "body of the request; @FILE reads a file")
	timeout := f.Duration("timeout", 2*time.Minute, "how long to wait for the answer")
	ask := f.Bool("ask", false, "ask what became of the request with this id")
	return &ffcli.Command{
		Name:       "request",
		ShortUsage: "persimmontrail request [flags]",
		ShortHelp:  "Send one request, or ask what became of it.",
		LongHelp: `The result is Done, NotRun (it did not run and will not), Failed, or Unknown (ask later with --ask).
Example:
  persimmontrail request --workspace atelier --class Preview --body @measures.json`,
		FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			client, clientErr := p.client(c)
			bodyData, bodyErr := readBody(*body)
			err := joinFieldErrors(clientErr, bodyErr, checkAskHasID(*ask, *id))
			if err != nil {
				return err
			}
			// An id given by the user may have been sent before; a generated one has not.
			mayBeRepeated := *id != ""
			if !mayBeRepeated {
				*id = uniqueName("request")
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			var response coordinator.RequestResponse
			if *ask {
				err = client.call(ctx, http.MethodGet, "/v1/requests/"+url.PathEscape(*workspace)+"/"+url.PathEscape(*id), nil, &response)
			} else {
				request := descriptor.Request{ID: descriptor.RequestID(*id), Workspace: descriptor.WorkspaceID(*workspace), Class: descriptor.ClassID(*class), Body: bodyData, Repeated: mayBeRepeated}
				err = client.call(ctx, http.MethodPost, "/v1/requests", request, &response)
			}
			// An answerError is returned as an error, and so is any failure with --ask. Other failures are
			// printed as the result NotRun or Unknown, see resultWithoutAnswer.
			var entryErr *answerError
			if errors.As(err, &entryErr) || err != nil && *ask {
				return fmt.Errorf("request %s: %w", *id, err)
			}
			if err != nil {
				response = coordinator.RequestResponse{Request: descriptor.RequestID(*id), Workspace: descriptor.WorkspaceID(*workspace), Result: resultWithoutAnswer(err), Reason: err.Error()}
			}
			return client.printRequestResponse(response)
		},
	}
}

// resultWithoutAnswer returns the result of a request whose answer did not arrive: NotRun if no
// connection was established, otherwise Unknown.
func resultWithoutAnswer(err error) descriptor.Result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return descriptor.ResultNotRun
	}
	return descriptor.ResultUnknown
}

// checkAskHasID rejects --ask without --id.
func checkAskHasID(ask bool, id string) error {
	if ask && id == "" {
		return validator.Errors{{Field: "id", Reason: "must be set with ask"}}
	}
	return nil
}

// readBody returns text itself or, if text is @ and a file name, the content of the file.
func readBody(text string) ([]byte, error) {
	if len(text) > 1 && text[0] == '@' {
		data, err := os.ReadFile(text[1:])
		if err != nil {
			return nil, validator.Errors{{Field: "body", Reason: err.Error()}}
		}
		return data, nil
	}
	return []byte(text), nil
}

// printRequestResponse prints the response. It returns an error that wraps errRequestNotDone unless the result is Done.
func (c *entryClient) printRequestResponse(response coordinator.RequestResponse) error {
	err := c.print(response, func(w io.Writer) {
		fmt.Fprintf(w, "%s\t%s\t%s\n", response.Request, response.Result, response.Reason)
		if len(response.Body) > 0 {
			fmt.Fprintf(w, "%s\n", response.Body)
		}
	})
	if err == nil && response.Result != descriptor.ResultDone {
		return fmt.Errorf("%w: %s", errRequestNotDone, response.Result)
	}
	return err
}
