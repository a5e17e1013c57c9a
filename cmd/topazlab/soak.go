package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/soak"
)

func soakCommand() *cobra.Command {
	var o soak.Options
	var file string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Plays seeded runs of starts, ends, reloads and replacements under load, and judges their histories",
		Long: "soak starts 3 to 8 dispatchers with workers, discovery and clients that fail, for 20 to 60 s a run.\n" +
			"What happens is drawn from the run's seed and printed first. All that left and reached anybody is\n" +
			"judged by the operators' rules; the exit code is 1 if one is broken, with the command that plays the\n" +
			"seed again, and 2 if the run cannot be made as it was asked for.",
		Args: func(c *cobra.Command, args []string) error {
			if err := cobra.NoArgs(c, args); err != nil {
				return soak.UsageError{Err: err}
			}
			return nil
		},
		RunE: func(c *cobra.Command, _ []string) error {
			if err := beside(&o.ProgramPath, "topazfall"); err != nil {
				return err
			}
			if err := writable(file); err != nil {
				return err
			}
			r, err := soak.Run(c.Context(), o, c.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(c.OutOrStdout(), file)
		},
	}
	c.Flags().StringVar(&file, "json", "", "keep the figures and the breaks in this file as well")
	c.Flags().Uint64Var(&o.FirstSeed, "first", 1, "seed of the first run")
	c.Flags().IntVar(&o.Seeds, "seeds", 1, "how many runs, with seeds in a row")
	c.Flags().IntVar(&o.Parallel, "parallel", 2, "runs at a time")
	c.Flags().DurationVar(&o.MaxLength, "longest", 0, "bound on the length of a run")
	c.Flags().StringVar(&o.LogDir, "logs", "", "keep the dispatchers' logs in this folder")
	c.Flags().StringVar(&o.ProgramPath, "program", "", "the dispatcher to run (default: topazfall beside this program)")
	return c
}

// writable tells before a long run whether a file can be written at its end.
func writable(file string) error {
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return soak.UsageError{Err: fmt.Errorf("soak: the file of figures: %w", err)}
	}
	return f.Close()
}
