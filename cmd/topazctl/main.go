// Command topazctl is for operators: it speaks to the control API of an instance. Its exit codes are 0 for done, 1 for
// not done, 2 for wrong use and 3 for done in part.
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

const (
	notDone    = 1
	wrongUse   = 2
	doneInPart = 3
)

// partial is an error of what was done at some instances and not at others, which it names.
type partial struct{ error }

// failure is an error of what was to be done; all others are of how it was asked for.
type failure struct{ error }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := command().ExecuteContext(ctx)
	var f failure
	var p partial
	switch {
	case err == nil:
	case errors.As(err, &p):
		fmt.Fprintln(os.Stderr, "topazctl:", err)
		os.Exit(doneInPart)
	case errors.As(err, &f):
		fmt.Fprintln(os.Stderr, "topazctl:", err)
		os.Exit(notDone)
	default:
		fmt.Fprintln(os.Stderr, "topazctl:", err)
		os.Exit(wrongUse)
	}
}

// tool is what the commands have in common.
type tool struct {
	address string
	output  string
	limit   time.Duration
}

func (t *tool) client() (controlpbconnect.ControlClient, error) {
	if t.output != "table" && t.output != "json" {
		return nil, fmt.Errorf("--output %q: want table or json", t.output)
	}
	if t.address == "" {
		return nil, errors.New("no instance is named: --control, or TOPAZFALL_CONTROL, is unix:/absolute/path")
	}
	return client.New(t.address)
}

// failed turns an error of a call into one that names what it means.
func failed(err error) error {
	if err == nil {
		return nil
	}
	var e *connect.Error
	if errors.As(err, &e) {
		switch e.Code() {
		case connect.CodeAborted:
			return failure{fmt.Errorf("turned down, another revision came between: %s", e.Message())}
		case connect.CodeInvalidArgument:
			return failure{fmt.Errorf("turned down: %s", e.Message())}
		case connect.CodeUnavailable:
			return failure{fmt.Errorf("not now: %s", e.Message())}
		case connect.CodeFailedPrecondition:
			return failure{fmt.Errorf("not here: %s", e.Message())}
		}
	}
	return failure{err}
}

func command() *cobra.Command {
	t := &tool{}
	root := &cobra.Command{
		Use:           "topazctl",
		Short:         "Shows and changes a running topazfall agent",
		Version:       version.String(),
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.address, "control", os.Getenv("TOPAZFALL_CONTROL"), "address of the instance's control API")
	flags.StringVarP(&t.output, "output", "o", "table", "table or json")
	flags.DurationVar(&t.limit, "timeout", 10*time.Second, "for a call")
	root.AddCommand(settingsCommand(t), hostsCommand(t))
	return root
}
