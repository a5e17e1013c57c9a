// Command topazctl is the operators' client of the control API of an instance. Its exit codes are 0 for success, 1 for
// failure, 2 for incorrect usage and 3 for partial success.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"topazfall/internal/control/client"
	"topazfall/internal/control/controlpb/controlpbconnect"
	"topazfall/internal/version"
)

// Exit codes other than 0.
const (
	exitFailure = 1
	exitUsage   = 2
	exitPartial = 3
)

// partialError is an error about some of the instances, which it names; the others have no fault.
type partialError struct{ error }

// operationError is an error of the requested operation. All errors but this and partialError are usage errors.
type operationError struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	var failure operationError
	var partial partialError
	switch {
	case err == nil:
	case errors.As(err, &partial):
		fmt.Fprintln(os.Stderr, "topazctl:", err)
		os.Exit(exitPartial)
	case errors.As(err, &failure):
		fmt.Fprintln(os.Stderr, "topazctl:", err)
		os.Exit(exitFailure)
	default:
		fmt.Fprintln(os.Stderr, "topazctl:", err)
		os.Exit(exitUsage)
	}
}

// globalOptions are the flags that all commands share.
type globalOptions struct {
	address string
	output  string
	timeout time.Duration
}

// client returns a client for the instance that the flags name.
func (o *globalOptions) client() (controlpbconnect.ControlClient, error) {
	if o.output != "table" && o.output != "json" {
		return nil, fmt.Errorf("--output %q: want table or json", o.output)
	}
	if o.address == "" {
		return nil, errors.New("no instance given: set --control or TOPAZFALL_CONTROL to unix:/absolute/path")
	}
	return client.New(o.address)
}

// explainError converts the error of an API call to an operationError that says what its code means.
func explainError(err error) error {
	if err == nil {
		return nil
	}
	var callError *connect.Error
	if errors.As(err, &callError) {
		switch callError.Code() {
		case connect.CodeAborted:
			return operationError{fmt.Errorf("rejected, another revision was applied in between: %s",
				callError.Message())}
		case connect.CodeInvalidArgument:
			return operationError{fmt.Errorf("rejected: %s", callError.Message())}
		case connect.CodeUnavailable:
			return operationError{fmt.Errorf("unavailable now: %s", callError.Message())}
		case connect.CodeFailedPrecondition:
			return operationError{fmt.Errorf("not here: %s", callError.Message())}
		}
	}
	return operationError{err}
}

func command() *cobra.Command {
	options := &globalOptions{}
	root := &cobra.Command{
		Use:           "topazctl",
		Short:         "Show and change the settings of a running topazfall agent, and show its hosts",
		Version:       version.String(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&options.address, "control", os.Getenv("TOPAZFALL_CONTROL"),
		"address of the instance's control API")
	flags.StringVarP(&options.output, "output", "o", "table", "output format: table or json")
	flags.DurationVar(&options.timeout, "timeout", 10*time.Second, "timeout of a call")
	root.AddCommand(settingsCommand(options), hostsCommand(options))
	return root
}
