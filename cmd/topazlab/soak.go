package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"topazfall/internal/lab/soak"
)

// newSoakCommand returns the command that runs the soak test.
func newSoakCommand() *cobra.Command {
	var o soak.Options
	var jsonPath string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Runs seeded starts, ends, reloads and replacements under load, and checks their histories",
		Long: "soak starts 3 to 8 dispatchers with workers, discovery and clients that fail, for 20 to 60 s a run.\n" +
			"What happens is drawn from the run's seed and printed first. Everything that was sent and received is\n" +
			"checked against the operators' rules. The exit code is 1 if one is broken; the command that runs the\n" +
			"seed again is printed then. It is 2 if the command cannot be run with these arguments.",
		Args: func(cmd *cobra.Command, args []string) error {
			if err := cobra.NoArgs(cmd, args); err != nil {
				return soak.UsageError{Err: err}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := defaultToSibling(&o.ProgramPath, "topazfall"); err != nil {
				return err
			}
			if err := checkWritable(cmd.Name(), jsonPath); err != nil {
				return err
			}
			r, err := soak.Run(cmd.Context(), o, cmd.ErrOrStderr())
			if err != nil {
				return err
			}
			return r.Finish(cmd.OutOrStdout(), jsonPath)
		},
	}
	cmd.Flags().StringVar(&jsonPath, "json", "", "also write the measurements and violations to this file as JSON")
	cmd.Flags().Uint64Var(&o.FirstSeed, "first", 1, "seed of the first run")
	cmd.Flags().IntVar(&o.Seeds, "seeds", 1, "number of runs, with consecutive seeds")
	cmd.Flags().IntVar(&o.Parallel, "parallel", 2, "runs at the same time")
	cmd.Flags().DurationVar(&o.MaxLength, "longest", 0, "maximum length of a run")
	cmd.Flags().StringVar(&o.LogDir, "logs", "", "keep the dispatchers' logs in this folder")
	cmd.Flags().StringVar(&o.ProgramPath, "program", "",
		"the dispatcher's binary (default: topazfall in the folder of this program)")
	return cmd
}

// checkWritable returns an error before a long run of a command if its JSON file cannot be written at the end.
func checkWritable(command, jsonPath string) error {
	if jsonPath == "" {
		return nil
	}
	file, err := os.OpenFile(jsonPath, os.O_WRONLY|os.O_CREATE, 0o644)
	if err != nil {
		return soak.UsageError{Err: fmt.Errorf("%s: the JSON file cannot be written: %w", command, err)}
	}
	return file.Close()
}
