package main

import (
	"time"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/measure"
)

func dnsCommand() *cobra.Command {
	var o measure.DNSOptions
	var file string
	c := &cobra.Command{
		Use:   "dns",
		Short: "Runs agents against a resolver that changes, falls silent and contradicts the roster",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := beside(&o.AgentPath, "topazfall-agent"); err != nil {
				return err
			}
			r, err := measure.DNS(c.Context(), o, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(c.OutOrStdout(), file)
		},
	}
	c.Flags().StringVar(&file, "json", "", "keep the figures in this file as well")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of what is drawn by chance")
	c.Flags().DurationVar(&o.OutageLength, "outage", time.Minute, "how long all resolvers are silent")
	c.Flags().IntVar(&o.DrainMessages, "drains", 10_000, "messages sent while the roster drains their host")
	c.Flags().StringVar(&o.AgentPath, "agent", "", "the agent to run (default: topazfall-agent beside this program)")
	return c
}

func settingsCommand() *cobra.Command {
	var o measure.SettingsOptions
	var file string
	c := &cobra.Command{
		Use:   "settings",
		Short: "Applies settings from many writers at once, and kills the agent in the middle",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := beside(&o.AgentPath, "topazfall-agent"); err != nil {
				return err
			}
			r, err := measure.Settings(c.Context(), o, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(c.OutOrStdout(), file)
		},
	}
	c.Flags().StringVar(&file, "json", "", "keep the figures in this file as well")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of what is drawn by chance")
	c.Flags().IntVar(&o.Kills, "kills", 200, "kills in the middle of taking a revision")
	c.Flags().StringVar(&o.AgentPath, "agent", "", "the agent to run (default: topazfall-agent beside this program)")
	return c
}
