package main

import (
	"errors"
	"time"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/admission"
	"topazfall/internal/lab/soak"
)

// newAdmissionCommand returns the command that simulates the admission control of fleets.
func newAdmissionCommand() *cobra.Command {
	var o admission.Options
	var jsonPath string
	cmd := &cobra.Command{
		Use:   "admission",
		Short: "Simulates the admission control of fleets of dispatchers of many sizes in virtual time",
		Long: "admission drives real balancers with simulated clients, workers and networks, for every combination\n" +
			"of the given values, and prints one row a run. The counts leave out a warm-up of 10 s. Targets are\n" +
			"checked up to a load of 0.85. The exit code is 1 if one is missed, and 2 if the command cannot be run\n" +
			"with these arguments.",
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.NoArgs(cmd, args); err != nil {
				return soak.UsageError{Err: err}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := checkWritable(cmd.Name(), jsonPath); err != nil {
				return err
			}
			r, err := admission.Run(cmd.Context(), o)
			switch {
			case errors.Is(err, admission.ErrInvalid):
				return soak.UsageError{Err: err}
			case err != nil:
				return err
			}
			return r.Finish(cmd.OutOrStdout(), jsonPath)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&jsonPath, "json", "", "also write the measurements to this file as JSON")
	flags.IntSliceVar(&o.Dispatchers, "dispatchers", []int{3, 30, 100, 300}, "numbers of dispatchers")
	flags.Float64SliceVar(&o.Loads, "loads", []float64{0.5, 0.7, 0.85, 1, 1.5},
		"offered work as shares of the true capacity")
	flags.StringSliceVar(&o.Shapes, "shapes", []string{string(admission.Calm)}, "traffic: calm, bursty, surge, hot")
	flags.StringSliceVar(&o.Reports, "reports", []string{string(admission.Weights), string(admission.Answers)},
		"load reports: weights, answers")
	flags.IntSliceVar(&o.CutSeconds, "cuts", []int{0}, "how long the paths between the zones are lost, in seconds")
	flags.DurationVar(&o.SilentList, "silent-list", 0,
		"how long no list arrives, from the time of the cut on: 20s into the measured part")
	flags.StringVar(&o.Classes, "classes", string(admission.Long), "classes of requests: long or short")
	flags.Float64Var(&o.WorkersPerDispatcher, "workers-per-dispatcher", 0.3,
		"number of workers per dispatcher; there are 12 at least")
	flags.Float64Var(&o.RetryShare, "retry-share", 1, "share of the clients that retry a refusal, once")
	flags.Uint64Var(&o.FirstSeed, "first", 1, "seed of the first run of each scenario")
	flags.IntVar(&o.Seeds, "seeds", 1, "number of runs of each scenario, with consecutive seeds")
	flags.DurationVar(&o.Length, "length", time.Minute, "virtual time that is measured; a cut may need more")
	flags.IntVar(&o.Parallel, "parallel", 2, "runs at the same time")
	return cmd
}
