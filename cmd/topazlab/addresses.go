package main

import (
	"github.com/spf13/cobra"

	"topazfall/internal/lab/measure"
)

// newAddressesCommand returns the command that measures failing addresses.
func newAddressesCommand() *cobra.Command {
	var o measure.AddressOptions
	var jsonPath string
	cmd := &cobra.Command{
		Use: "addresses",
		Short: "Runs a dispatcher against hosts whose addresses fail, and measures runs, answers and the time to a " +
			"working address",
		Long: "addresses starts a dispatcher and stand-in hosts that listen on 127.0.0.1, ::1 and a socket file,\n" +
			"and makes them fail in one way after the other. The runs and final answers of every id are counted.\n" +
			"Measurements that have a bound are checked, and the exit code is 1 if one misses its bound.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultToSibling(&o.ProgramPath, "topazfall"); err != nil {
				return err
			}
			r, err := measure.Addresses(cmd.Context(), o, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(cmd.OutOrStdout(), jsonPath)
		},
	}
	cmd.Flags().StringVar(&jsonPath, "json", "", "also write the measurements to this file as JSON")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the random numbers")
	cmd.Flags().IntVar(&o.Messages, "n", 10_000, "messages over all cases")
	cmd.Flags().IntVar(&o.Rate, "rate", 400, "messages a second")
	cmd.Flags().StringVar(&o.ProgramPath, "program", "",
		"the dispatcher's binary (default: topazfall in the folder of this program)")
	return cmd
}
