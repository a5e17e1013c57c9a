// Command topazfall runs one dispatcher: it receives messages (requests) from clients, relays each to the worker that
// the decision module selects, and sends each client one final answer.
package main

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"topazfall/internal/instance"
	"topazfall/internal/logs"
	"topazfall/internal/version"
)

func main() { os.Exit(logs.RunProgram(command().Execute)) }

// command returns the command line. The platform starts the program without arguments, and configures it by the
// environment.
func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "topazfall",
		Short: "One dispatcher: relays each message to a worker and sends its client one final answer",
		Long: "topazfall runs one dispatcher. LB_CONFIG names its configuration; LB_NAME, LB_LISTEN, LB_DISCOVERY\n" +
			"and LB_MANAGEMENT override its values. SIGHUP reads it again, SIGTERM ends the program without loss.",
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(*cobra.Command, []string) error { return instance.Run(nil) },
	}
	root.AddCommand(&cobra.Command{
		Use: "agent [flags]",
		Short: "The same dispatcher with the control API and more sources of workers (runs " +
			"topazfall-agent)",
		DisableFlagParsing: true,
		// The agent is a separate program because its dependencies would add some megabytes to this one.
		RunE: func(_ *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			agent := filepath.Join(filepath.Dir(self), "topazfall-agent")
			return syscall.Exec(agent, append([]string{agent}, args...), os.Environ())
		},
	})
	return root
}
