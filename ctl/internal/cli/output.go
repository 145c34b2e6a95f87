package cli

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// Status is an exit status of gypsumctl.
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
	// Unknown reports that a change may or may not have taken effect.
	Unknown Status = 4
)

const statusHelp = `Exit status: 0 done, 1 findings or conflict, 2 usage,
3 platform unreachable, 4 outcome unknown.`

// commandLineError reports an invalid command line, including files and addresses
// that it names and that cannot be used.
type commandLineError struct {
	message string
}

func (e *commandLineError) Error() string { return e.message }

// errUnreachable reports that a host could not be reached and changed nothing.
var errUnreachable = errors.New("host is unreachable")

// errOutcomeUnknown reports that a host may have executed the request.
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

// UnmarshalText parses the name of an output format.
func (f *outputFormat) UnmarshalText(b []byte) error {
	switch v := outputFormat(b); v {
	case textOutput, jsonOutput:
		*f = v
		return nil
	default:
		return fmt.Errorf("%q is not an output format: expected text or json", b)
	}
}

// runResult is the JSON output of a command.
type runResult struct {
	Status Status `json:"status"`
	Error  string `json:"error,omitempty"`
	Result report `json:"result,omitempty"`
}

// writeResult prints the report and the error of a command in the given format. As
// text, the report goes to stdout and the error to stderr; as JSON, both go to stdout.
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
