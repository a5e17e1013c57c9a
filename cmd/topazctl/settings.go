package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	jsoniter "github.com/json-iterator/go"

	pb "topazfall/internal/control/controlpb"
	"topazfall/internal/control/controlpb/controlpbconnect"
	"topazfall/internal/settings"
)

// maxFileBytes limits the size of a settings document.
const maxFileBytes = 2 << 20

func settingsCommand(o *globalOptions) *cobra.Command {
	c := &cobra.Command{Use: "settings", Short: "Show and change the settings of an instance"}
	c.AddCommand(getCommand(o), checkCommand(o), diffCommand(o), applyCommand(o), watchCommand(o), statusCommand(o))
	return c
}

// readDocument reads a settings document from a file, or from standard input if the path is "-".
func readDocument(c *cobra.Command, path string) (*pb.Settings, error) {
	in := c.InOrStdin()
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxFileBytes)
	}
	doc := &pb.Settings{}
	if err := protojson.Unmarshal(text, doc); err != nil {
		return nil, operationError{fmt.Errorf("%s: %w", path, err)}
	}
	return doc, nil
}

// printJSON prints a message as indented JSON.
func printJSON(w io.Writer, m proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: false}.Marshal(m)
	if err != nil {
		return operationError{err}
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}

// run returns the RunE function of a command that calls an instance within the timeout.
func (o *globalOptions) run(
	call func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient, args []string) error,
) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		api, err := o.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(c.Context(), o.timeout)
		defer cancel()
		return call(ctx, c, api, args)
	}
}

// runWithDocument is run for a command whose only argument is the path of a document.
func (o *globalOptions) runWithDocument(
	call func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient, doc *pb.Settings) error,
) func(*cobra.Command, []string) error {
	return o.run(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient, args []string) error {
		doc, err := readDocument(c, args[0])
		if err != nil {
			return err
		}
		return call(ctx, c, api, doc)
	})
}

func getCommand(o *globalOptions) *cobra.Command {
	var effective bool
	c := &cobra.Command{Use: "get", Short: "Show the current settings as a document that apply accepts",
		Args: cobra.NoArgs,
		RunE: o.run(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient, _ []string) error {
			r, err := api.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
			if err != nil {
				return explainError(err)
			}
			if o.output == "json" {
				return printJSON(c.OutOrStdout(), r.Msg)
			}
			fmt.Fprintf(c.ErrOrStderr(), "revision %d\n", r.Msg.Revision.GetNumber())
			if r.Msg.ReadOnly != "" {
				fmt.Fprintf(c.ErrOrStderr(), "no other can be taken now: %s\n", r.Msg.ReadOnly)
			}
			if effective {
				return printJSON(c.OutOrStdout(), r.Msg.Effective)
			}
			return printJSON(c.OutOrStdout(), r.Msg.Revision.GetSettings())
		})}
	c.Flags().BoolVar(&effective, "effective", false, "fill in all defaults")
	return c
}

func checkCommand(o *globalOptions) *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a document for faults as apply does, but change nothing",
		Args: cobra.ExactArgs(1),
		RunE: o.runWithDocument(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient,
			doc *pb.Settings) error {
			r, err := api.Check(ctx, connect.NewRequest(&pb.CheckRequest{Settings: doc}))
			if err != nil {
				return explainError(err)
			}
			if o.output == "json" {
				if err := printJSON(c.OutOrStdout(), r.Msg); err != nil {
					return err
				}
			} else {
				for _, f := range r.Msg.Faults {
					fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", f.Path, f.Text)
				}
			}
			if n := len(r.Msg.Faults); n > 0 {
				return operationError{fmt.Errorf("%d faults", n)}
			}
			return nil
		})}
}

// Change is a path at which two documents differ, with the value in each.
type Change struct {
	Path   string `json:"path"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// flatten returns the values of a document by their paths, with all defaults filled in.
func flatten(doc *pb.Settings) (map[string]any, error) {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(settings.Effective(doc))
	if err != nil {
		return nil, err
	}
	var v any
	if err := jsoniter.Unmarshal(text, &v); err != nil {
		return nil, err
	}
	out := map[string]any{}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for k, w := range v {
				walk(strings.TrimPrefix(path+"."+k, "."), w)
			}
		case []any:
			for i, w := range v {
				walk(fmt.Sprintf("%s[%d]", path, i), w)
			}
		default:
			out[path] = v
		}
	}
	walk("", v)
	return out, nil
}

// differences returns the changes from one document to another, sorted by path.
func differences(before, after *pb.Settings) (list []Change, err error) {
	a, err := flatten(before)
	if err != nil {
		return nil, err
	}
	b, err := flatten(after)
	if err != nil {
		return nil, err
	}
	paths := maps.Clone(a)
	maps.Copy(paths, b)
	for _, p := range slices.Sorted(maps.Keys(paths)) {
		if a[p] != b[p] {
			list = append(list, Change{p, a[p], b[p]})
		}
	}
	return list, nil
}

func diffCommand(o *globalOptions) *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: "Show what a document would change", Args: cobra.ExactArgs(1),
		RunE: o.runWithDocument(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient,
			doc *pb.Settings) error {
			r, err := api.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
			if err != nil {
				return explainError(err)
			}
			list, err := differences(r.Msg.Revision.GetSettings(), doc)
			if err != nil {
				return operationError{err}
			}
			if o.output == "json" {
				if list == nil {
					list = []Change{}
				}
				text, err := jsoniter.MarshalIndent(list, "", "  ")
				fmt.Fprintf(c.OutOrStdout(), "%s\n", text)
				return err
			}
			fmt.Fprintf(c.ErrOrStderr(), "against revision %d\n", r.Msg.Revision.GetNumber())
			for _, d := range list {
				switch {
				case d.Before == nil:
					fmt.Fprintf(c.OutOrStdout(), "+ %s: %v\n", d.Path, d.After)
				case d.After == nil:
					fmt.Fprintf(c.OutOrStdout(), "- %s: %v\n", d.Path, d.Before)
				default:
					fmt.Fprintf(c.OutOrStdout(), "~ %s: %v -> %v\n", d.Path, d.Before, d.After)
				}
			}
			return nil
		})}
}

func applyCommand(o *globalOptions) *cobra.Command {
	var from int64
	c := &cobra.Command{Use: "apply FILE", Short: "Apply a document, completely or not at all",
		Args: cobra.ExactArgs(1),
		Long: "apply accepts a document if it has no fault and the revision that it was made from is still the\n" +
			"current one. --from is the number of that revision, as get shows it; the default is the revision\n" +
			"that is current when apply runs.",
		RunE: o.runWithDocument(func(ctx context.Context, c *cobra.Command, api controlpbconnect.ControlClient,
			doc *pb.Settings) error {
			base := uint64(from)
			if from < 0 {
				r, err := api.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
				if err != nil {
					return explainError(err)
				}
				base = r.Msg.Revision.GetNumber()
			}
			r, err := api.Apply(ctx, connect.NewRequest(&pb.ApplyRequest{Settings: doc, From: base}))
			if err != nil {
				return explainError(err)
			}
			if o.output == "json" {
				return printJSON(c.OutOrStdout(), r.Msg)
			}
			fmt.Fprintf(c.OutOrStdout(), "revision %d is in force\n", r.Msg.Revision.GetNumber())
			return nil
		})}
	c.Flags().Int64Var(&from, "from", -1, "revision that the document was made from")
	return c
}

func watchCommand(o *globalOptions) *cobra.Command {
	var after uint64
	c := &cobra.Command{Use: "watch", Short: "Show each revision as it is applied, until interrupted",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			api, err := o.client()
			if err != nil {
				return err
			}
			stream, err := api.Watch(c.Context(), connect.NewRequest(&pb.WatchRequest{After: after}))
			if err != nil {
				return explainError(err)
			}
			defer stream.Close()
			for stream.Receive() {
				r := stream.Msg().Revision
				if o.output == "json" {
					text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(r)
					if err != nil {
						return operationError{err}
					}
					fmt.Fprintf(c.OutOrStdout(), "%s\n", text)
					continue
				}
				fmt.Fprintf(c.OutOrStdout(), "%s revision %d: %d names, %d resolvers\n",
					r.GetTaken().AsTime().Format("15:04:05.000"), r.GetNumber(),
					len(r.GetSettings().GetSources().GetSrv()), len(r.GetSettings().GetSources().GetResolvers()))
			}
			if err := stream.Err(); err != nil && !errors.Is(err, context.Canceled) && c.Context().Err() == nil {
				return explainError(err)
			}
			return nil
		}}
	c.Flags().Uint64Var(&after, "after", 0, "show the revisions after this one; 0 begins with the current one")
	return c
}
