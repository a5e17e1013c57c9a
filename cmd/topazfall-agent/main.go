// Command topazfall-agent runs a dispatcher (load balancer) with the control API, and with DNS SRV records as a source
// of hosts (workers). "topazfall agent" starts it.
package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"topazfall/internal/agent"
	"topazfall/internal/configsync"
	"topazfall/internal/instance"
	"topazfall/internal/logs"
	"topazfall/internal/version"
)

func main() { os.Exit(logs.RunProgram(command().Execute)) }

func command() *cobra.Command {
	var o agent.Options
	var roster string
	c := &cobra.Command{
		Use:   "topazfall agent",
		Short: "Run one dispatcher with the control API and DNS SRV records as a source of hosts",
		Long: "The agent runs the same dispatcher as topazfall, configured by the same environment, and accepts\n" +
			"further settings through its control API (see topazctl). It saves its state in the state folder,\n" +
			"which is all that a restart needs. If discovery is \"none\", hosts come from DNS alone.",
		Version:       version.String(),
		Args:          cobra.NoArgs,
		SilenceErrors: true,
		SilenceUsage:  true,
		RunE: func(*cobra.Command, []string) error {
			state, err := filepath.Abs(o.State)
			if err != nil {
				return err
			}
			if o.State = state; o.Control == "" {
				o.Control = "unix:" + filepath.Join(state, "control.sock")
			}
			if roster != "" {
				if o.Roster, err = configsync.LoadRoster(roster); err != nil {
					return err
				}
			}
			return instance.Run(agent.New(o))
		},
	}
	c.Flags().StringVar(&o.State, "state", "", "folder in which the agent saves its state")
	c.Flags().StringVar(&o.Control, "control", "", "address of the control API (default: unix:STATE/control.sock)")
	c.Flags().StringVar(&roster, "roster", "", "file that lists the instances that share the settings (default: none)")
	c.Flags().BoolVar(&o.Bootstrap, "bootstrap", false,
		"the installation is new: an origin with empty state may vote; only for its first start")
	c.MarkFlagRequired("state")
	return c
}
