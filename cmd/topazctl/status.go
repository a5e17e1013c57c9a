package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
)

func statusCommand(o *globalOptions) *cobra.Command {
	return &cobra.Command{Use: "status", Args: cobra.NoArgs,
		Short: "Show which revision each instance of the installation holds",
		Long: "status asks all instances on the roster, through the one that --control names. It names those that\n" +
			"did not answer, are behind the newest revision or have a fault: exit code 3 for some, 1 for all.",
		RunE: o.run(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient, _ []string) error {
			r, err := api.Instances(ctx, connect.NewRequest(&pb.InstancesRequest{}))
			if err != nil {
				return explainError(err)
			}
			if o.output == "json" {
				if err := printJSON(c.OutOrStdout(), r.Msg); err != nil {
					return err
				}
			} else {
				printInstances(c.OutOrStdout(), r.Msg)
			}
			return statusError(r.Msg)
		})}
}

func printInstances(w io.Writer, r *pb.InstancesResponse) {
	out := table.NewWriter()
	out.SetOutputMirror(w)
	out.SetStyle(table.StyleLight)
	out.AppendHeader(table.Row{"instance", "role", "region", "zone", "revision", "since", "behind", "leader",
		"heard of it", "fed by", "fault"})
	for _, i := range r.Instances {
		if !i.Answered {
			out.AppendRow(table.Row{i.Name, i.Role, i.Region, i.Zone, "?", "", "", "", "", "", i.Fault})
			continue
		}
		out.AppendRow(table.Row{i.Name, i.Role, i.Region, i.Zone, i.Revision, formatSince(i), formatBehind(i),
			i.Leader, formatSilence(i), strings.Join(i.Sources, "\n"), i.Fault})
	}
	out.Render()
	fmt.Fprintf(w, "newest revision: %d\n", r.Newest)
}

// formatSince formats the time since which the revision is in effect at an instance.
func formatSince(i *pb.Instance) string {
	if i.Since == nil {
		return ""
	}
	return i.Since.AsTime().Local().Format("2006-01-02 15:04:05.000")
}

// formatBehind formats how far an instance is behind the newest revision.
func formatBehind(i *pb.Instance) string {
	if i.Behind == 0 {
		return ""
	}
	return fmt.Sprintf("%d (%s)", i.Behind, i.BehindFor.AsDuration().Round(10*time.Millisecond))
}

// formatSilence formats the time since a leader's heartbeat last reached an instance.
func formatSilence(i *pb.Instance) string {
	if i.Silent == nil {
		return "never"
	}
	return i.Silent.AsDuration().Round(10*time.Millisecond).String() + " ago"
}

// statusError returns an error that names the instances with a fault and those behind the newest revision. It is nil if
// there are none.
func statusError(r *pb.InstancesResponse) error {
	var faults []string
	for _, i := range r.Instances {
		switch {
		case i.Fault != "":
			faults = append(faults, i.Name+": "+i.Fault)
		case i.Behind > 0:
			faults = append(faults, fmt.Sprintf("%s: %d revisions behind", i.Name, i.Behind))
		}
	}
	switch len(faults) {
	case 0:
		return nil
	case len(r.Instances):
		return operationError{errors.New(strings.Join(faults, "; "))}
	}
	return partialError{errors.New(strings.Join(faults, "; "))}
}
