package main

import (
	"os"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/scale"
)

const hollowName = "hollow"

func scaleCommand() *cobra.Command {
	var o scale.Options
	var file string
	var from []string
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measures how costs grow with the size of an installation, and what is met at that of two years",
		Long: "scale starts real dispatchers and hollow ones, which are the same code without clients, and measures\n" +
			"what each event costs over the size of the installation: a slope with its 95% interval and the growth\n" +
			"that was tested and rejected. The operators' figures are worked out from the slopes and checked, and\n" +
			"the exit code is 1 if one is missed.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(from) > 0 {
				r, err := scale.Recompute(from, o.Charts)
				if err != nil {
					return err
				}
				return r.Finish(c.OutOrStdout(), file)
			}
			if err := beside(&o.Dispatcher, "topazfall"); err != nil {
				return err
			}
			if err := beside(&o.Agent, "topazfall-agent"); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.SimulatedCommand = []string{self, hollowName}
			r, err := scale.Run(c.Context(), o, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(c.OutOrStdout(), file)
		},
	}
	c.Flags().StringVar(&file, "json", "", "keep the figures in this file as well")
	c.Flags().StringVar(&o.Charts, "charts", "", "draw the slopes as SVG files in this folder")
	c.Flags().StringArrayVar(&from, "from", nil,
		"measure nothing, and work out anew what these files of earlier runs hold")
	c.Flags().StringVar(&o.Only, "only", "", "make only the measurements whose names contain this")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of what is drawn by chance")
	c.Flags().BoolVar(&o.Quick, "quick", false, "fewer and shorter measurements: under 3 minutes")
	c.Flags().StringVar(&o.Dispatcher, "program", "", "the dispatcher to run (default: topazfall beside this program)")
	c.Flags().StringVar(&o.Agent, "agent", "", "the agent to run (default: topazfall-agent beside this program)")
	return c
}

// hollowCommand is what scale starts its hollow dispatchers by.
func hollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    hollowName,
		Short:  "Runs hollow dispatchers for scale, until its input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE:   func(c *cobra.Command, _ []string) error { return scale.ServeSimulated(c.InOrStdin(), c.OutOrStdout()) },
	}
}
