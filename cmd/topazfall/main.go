// Command topazfall is one dispatcher: it takes messages from clients, has them served by south side hosts
// as the decision module says, and gives each its one final answer.
package main

import (
	"log/slog"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"topazfall/internal/instance"
	"topazfall/internal/logs"
	"topazfall/internal/version"
)

func main() {
	slog.SetDefault(logs.New(os.Stderr))
	if err := command().Execute(); err != nil {
		slog.Error("main", "error", err)
		os.Exit(1)
	}
}

// command is the command line. Without arguments the program is as the platform starts it: all that it is told comes
// from the environment.
func command() *cobra.Command {
	root := &cobra.Command{
		Use:   "topazfall",
		Short: "One dispatcher: has each message served by a south side host and gives it one final answer",
		Long: "topazfall runs one dispatcher. LB_CONFIG names its configuration; LB_NAME, LB_LISTEN, LB_DISCOVERY\n" +
			"and LB_MANAGEMENT overrule what that says. SIGHUP reads it again, SIGTERM ends the program without loss.",
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE:          func(*cobra.Command, []string) error { return instance.Run(nil) },
	}
	root.AddCommand(&cobra.Command{
		Use: "agent [flags]",
		Short: "The same dispatcher with the control API and further sources of hosts (runs " +
			"topazfall-agent)",
		DisableFlagParsing: true,
		// What the agent links in would cost the bare program some megabytes, so it is a program of its own.
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
