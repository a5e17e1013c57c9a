package main

import (
	"github.com/spf13/cobra"

	"topazfall/internal/lab/measure"
)

func addressesCommand() *cobra.Command {
	var o measure.AddressOptions
	var file string
	c := &cobra.Command{
		Use: "addresses",
		Short: "Runs the program against hosts whose addresses fail, and counts runs, answers and the time to a " +
			"working address",
		Long: "addresses starts the program and stand-in hosts that listen on 127.0.0.1, ::1 and a socket file,\n" +
			"and makes them fail in one way after the other. Every id's runs and final answers are counted. The\n" +
			"figures that have a bar are checked, and the exit code is 1 if one falls short.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := beside(&o.ProgramPath, "topazfall"); err != nil {
				return err
			}
			r, err := measure.Addresses(c.Context(), o, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(c.OutOrStdout(), file)
		},
	}
	c.Flags().StringVar(&file, "json", "", "keep the figures in this file as well")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of what is drawn by chance")
	c.Flags().IntVar(&o.Messages, "n", 10_000, "messages over all cases")
	c.Flags().IntVar(&o.Rate, "rate", 400, "messages a second")
	c.Flags().StringVar(&o.ProgramPath, "program", "", "the dispatcher to run (default: topazfall beside this program)")
	return c
}
