package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// Status is an exit status.
type Status int

// The exit statuses.
const (
	Done Status = 0
	// Refused reports findings in the input, a conflict with another operator,
	// or a request that a host refused.
	Refused Status = 1
	Usage   Status = 2
	// Unreachable reports that the platform or a host could not be reached;
	// nothing was changed.
	Unreachable Status = 3
	// Unknown reports that a change may have taken effect.
	Unknown Status = 4
)

const statusHelp = `Exit status: 0 done, 1 findings or conflict, 2 usage,
3 platform unreachable, 4 outcome unknown.`

// commandLineError reports a wrong command line.
type commandLineError struct {
	message string
}

func (e *commandLineError) Error() string { return e.message }

// errUnreachable reports that a host could not be reached and did nothing.
var errUnreachable = errors.New("host is unreachable")

// errOutcomeUnknown reports that a host may have done what was asked.
var errOutcomeUnknown = errors.New("outcome is unknown")

// exitStatus maps the error of a command to the exit status.
func exitStatus(err error) Status {
	var wrongUsage *commandLineError
	var outcome *confstore.OutcomeUnknownError
	switch {
	case err == nil:
		return Done
	case errors.As(err, &wrongUsage):
		return Usage
	case errors.As(err, &outcome), errors.Is(err, platform.ErrUnknown), errors.Is(err, errOutcomeUnknown):
		return Unknown
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited), errors.Is(err, errUnreachable):
		return Unreachable
	default:
		return Refused
	}
}

// outputFormat is the value of --output.
type outputFormat string

const (
	textOutput outputFormat = "text"
	jsonOutput outputFormat = "json"
)

// UnmarshalText accepts the names of the formats.
func (f *outputFormat) UnmarshalText(b []byte) error {
	switch v := outputFormat(b); v {
	case textOutput, jsonOutput:
		*f = v
		return nil
	default:
		return fmt.Errorf("%q is not an output format: expected text or json", b)
	}
}

// runResult is the JSON form of a run.
type runResult struct {
	Status Status `json:"status"`
	Error  string `json:"error,omitempty"`
	Result report `json:"result,omitempty"`
}

// writeResult prints the outcome of a run.
func writeResult(env Environment, format outputFormat, rep report, status Status, err error) {
	if format == jsonOutput {
		writeJSON(env, rep, status, err)
		return
	}
	if rep != nil {
		rep.writeText(env.Stdout)
	}
	if err != nil {
		fmt.Fprintln(env.Stderr, "gypsumctl:", err)
	}
}

func writeJSON(env Environment, rep report, status Status, err error) {
	out := runResult{Status: status, Result: rep}
	if err != nil {
		out.Error = err.Error()
	}
	encoder := json.NewEncoder(env.Stdout)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(out); err != nil {
		fmt.Fprintln(env.Stderr, "gypsumctl:", err)
	}
}
