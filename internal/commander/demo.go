package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/demonstrator"
)

func (p *Program) demoCommand() *ffcli.Command {
	f := newFlagSet("demo")
	reportFile := f.String("report", "", "file for the report in JSON")
	var logs logFlags
	var output outputFlag
	logs.register(f)
	output.register(f)
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "persimmontrail demo [flags]",
		ShortHelp:  "Run a whole deployment in one process on loopback and print what it did.",
		LongHelp: `Starts stand-ins for the platform, two entries and six agents in two regions and three failure domains,
serves requests and runs gang jobs, takes a failure domain out and back. It ends within 60 s, with exit
code 1 if anything was lost, doubled, started in part or started where nothing may start. Example:
  persimmontrail demo --report demo.json`,
		FlagSet: f,
		Exec: func(ctx context.Context, _ []string) error {
			if !isFlagSet(f, "log-level") {
				logs.level = "error"
			}
			logger, logErr := p.logger(logs, "demo")
			printer, outputErr := p.printer(output)
			if err := joinFieldErrors(logErr, outputErr); err != nil {
				return err
			}
			d := demonstrator.Demo{Out: p.Stdout, Log: logger}
			if printer.json {
				d.Out = p.Stderr
			}
			report, err := d.Run(ctx)
			if err != nil {
				return err
			}
			if *reportFile != "" {
				if err := writeReport(*reportFile, report); err != nil {
					return err
				}
			}
			if printer.json {
				if err := printer.print(report, nil); err != nil {
					return err
				}
			}
			return report.Check()
		},
	}
}

// writeReport writes a report to a file as indented JSON.
func writeReport(file string, report any) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
