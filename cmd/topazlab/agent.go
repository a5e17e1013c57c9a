package main

import (
	"time"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/measure"
)

// newDNSCommand returns the command that measures DNS as a source of hosts.
func newDNSCommand() *cobra.Command {
	var o measure.DNSOptions
	var jsonPath string
	cmd := &cobra.Command{
		Use:   "dns",
		Short: "Runs agents against a resolver that changes its records, stops answering and contradicts the roster",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultToSibling(&o.AgentPath, "topazfall-agent"); err != nil {
				return err
			}
			r, err := measure.DNS(cmd.Context(), o, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(cmd.OutOrStdout(), jsonPath)
		},
	}
	cmd.Flags().StringVar(&jsonPath, "json", "", "also write the measurements to this file as JSON")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().DurationVar(&o.OutageLength, "outage", time.Minute, "how long the resolver does not answer")
	cmd.Flags().IntVar(&o.DrainMessages, "drains", 10_000,
		"messages sent while the roster (the discovery list) drains their host")
	cmd.Flags().StringVar(&o.AgentPath, "agent", "",
		"the agent's binary (default: topazfall-agent in the folder of this program)")
	return cmd
}

// newSettingsCommand returns the command that measures an agent's settings.
func newSettingsCommand() *cobra.Command {
	var o measure.SettingsOptions
	var jsonPath string
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Applies settings from many writers at once, and kills the agent while it saves them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultToSibling(&o.AgentPath, "topazfall-agent"); err != nil {
				return err
			}
			r, err := measure.Settings(cmd.Context(), o, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(cmd.OutOrStdout(), jsonPath)
		},
	}
	cmd.Flags().StringVar(&jsonPath, "json", "", "also write the measurements to this file as JSON")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().IntVar(&o.Kills, "kills", 200, "kills while a revision is applied")
	cmd.Flags().StringVar(&o.AgentPath, "agent", "",
		"the agent's binary (default: topazfall-agent in the folder of this program)")
	return cmd
}
