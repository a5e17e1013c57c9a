package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/spf13/cobra"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
)

func hostsCommand(o *globalOptions) *cobra.Command {
	return &cobra.Command{Use: "hosts", Short: "Show the merged list of hosts and its sources",
		Args: cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient, _ []string) error {
			r, err := api.Hosts(ctx, connect.NewRequest(&pb.HostsRequest{}))
			if err != nil {
				return explainError(err)
			}
			if o.output == "json" {
				return printJSON(c.OutOrStdout(), r.Msg)
			}
			writer := table.NewWriter()
			writer.SetOutputMirror(c.OutOrStdout())
			writer.SetStyle(table.StyleLight)
			writer.Style().Format.Header = text.FormatDefault
			writer.AppendHeader(table.Row{"host", "state", "why", "zone", "kind", "share", "good for", "addresses",
				"sources"})
			for _, h := range r.Msg.Hosts {
				remaining := ""
				if h.Remaining != nil {
					remaining = h.Remaining.AsDuration().Round(100 * time.Millisecond).String()
				}
				writer.AppendRow(table.Row{h.Name, h.State, h.Why, h.Zone, h.Kind, h.Share, remaining,
					strings.Join(h.Addresses, "\n"), strings.Join(h.Sources, "\n")})
			}
			writer.Render()
			for _, s := range r.Msg.Sources {
				fault := s.Fault
				if fault == "" {
					fault = "well"
				}
				fmt.Fprintf(c.OutOrStdout(), "%s: %d hosts, %s\n", s.Name, s.Hosts, fault)
			}
			return nil
		})}
}
