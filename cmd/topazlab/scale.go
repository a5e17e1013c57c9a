package main

import (
	"os"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/scale"
)

// simulatedCommandName is the name of the hidden command that runs simulated dispatchers.
const simulatedCommandName = "hollow"

// newScaleCommand returns the command that measures how costs grow.
func newScaleCommand() *cobra.Command {
	var o scale.Options
	var jsonPath string
	var reportPaths []string
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "Measures how costs grow with the size of an installation, and checks the size expected in two years",
		Long: "scale starts real dispatchers and simulated ones, which run the same code without clients, and\n" +
			"measures the cost of each event over the size of the installation: a slope with its 95% interval, and\n" +
			"the growth models that the measured values contradict. The operators' bounds are computed from the\n" +
			"slopes and checked, and the exit code is 1 if one is missed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(reportPaths) > 0 {
				r, err := scale.Recompute(reportPaths, o.Charts)
				if err != nil {
					return err
				}
				return r.Finish(cmd.OutOrStdout(), jsonPath)
			}
			if err := defaultToSibling(&o.Dispatcher, "topazfall"); err != nil {
				return err
			}
			if err := defaultToSibling(&o.Agent, "topazfall-agent"); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.SimulatedCommand = []string{self, simulatedCommandName}
			r, err := scale.Run(cmd.Context(), o, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(cmd.OutOrStdout(), jsonPath)
		},
	}
	cmd.Flags().StringVar(&jsonPath, "json", "", "also write the measurements to this file as JSON")
	cmd.Flags().StringVar(&o.Charts, "charts", "", "draw the slopes as SVG files in this folder")
	cmd.Flags().StringArrayVar(&reportPaths, "from", nil,
		"measure nothing, and recompute the results from these JSON files of earlier runs")
	cmd.Flags().StringVar(&o.Only, "only", "", "make only the measurements whose names contain this")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().BoolVar(&o.Quick, "quick", false, "fewer and shorter measurements: under 3 minutes")
	cmd.Flags().StringVar(&o.Dispatcher, "program", "",
		"the dispatcher's binary (default: topazfall in the folder of this program)")
	cmd.Flags().StringVar(&o.Agent, "agent", "",
		"the agent's binary (default: topazfall-agent in the folder of this program)")
	return cmd
}

// newSimulatedCommand returns the hidden command with which scale starts its simulated dispatchers.
func newSimulatedCommand() *cobra.Command {
	return &cobra.Command{
		Use:    simulatedCommandName,
		Short:  "Runs simulated dispatchers for scale, until its input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return scale.ServeSimulated(cmd.InOrStdin(), cmd.OutOrStdout())
		},
	}
}
