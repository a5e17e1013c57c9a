// Package report holds the results of a measurement. It prints them as a table, writes them as JSON, and checks values
// against their upper bounds.
package report

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
	jsoniter "github.com/json-iterator/go"

	"topazfall/internal/version"
)

// Report is the result of one measurement.
type Report struct {
	Name    string           `json:"name"`
	Version string           `json:"version"`
	Seed    uint64           `json:"seed"`
	Columns []string         `json:"columns"`
	Rows    []map[string]any `json:"rows"`
	Bounds  []Bound          `json:"bars"`
	Notes   []string         `json:"notes,omitempty"` // what was left out, and why
	Data    any              `json:"data,omitempty"`  // all measured data, for other programs
}

// Bound is a measured value and the maximum that it must not exceed.
type Bound struct {
	Name  string  `json:"what"`
	Value float64 `json:"value"`
	Max   float64 `json:"most"`
	Unit  string  `json:"unit"`
	// Inconclusive is the reason why a value above the maximum proves nothing: the bound then counts as not judged
	// instead of missed. It is empty for a bound that is always judged.
	Inconclusive string `json:"unjudged,omitempty"`
}

// IsMet reports whether the value does not exceed the maximum.
func (b Bound) IsMet() bool { return b.Value <= b.Max }

// New returns a report without rows.
func New(name string, seed uint64, columns ...string) *Report {
	return &Report{Name: name, Version: version.String(), Seed: seed, Columns: columns}
}

// AddRow adds a row; the values are in the order of the columns.
func (r *Report) AddRow(values ...any) {
	row := map[string]any{}
	for i, v := range values {
		row[r.Columns[i]] = v
	}
	r.Rows = append(r.Rows, row)
}

// AddBound adds a value that must not exceed limit.
func (r *Report) AddBound(name string, value, limit float64, unit string) {
	r.Bounds = append(r.Bounds, Bound{Name: name, Value: value, Max: limit, Unit: unit})
}

// Verdict returns the text of the report's last column: kept, MISSED, or the reason why the bound is inconclusive.
func (b Bound) Verdict() string {
	switch {
	case b.IsMet():
		return "kept"
	case b.Inconclusive != "":
		return b.Inconclusive
	}
	return "MISSED"
}

// Finish prints the tables, writes the report as JSON to a file if one is named, and returns an error that names the
// bounds that were missed and those that could not be judged.
func (r *Report) Finish(w io.Writer, file string) error {
	fmt.Fprintf(w, "topazlab %s, version %s, seed %d\n", r.Name, r.Version, r.Seed)
	r.printRows(w)
	r.printBounds(w)
	for _, note := range r.Notes {
		fmt.Fprintln(w, "note:", note)
	}
	if file != "" {
		body, err := jsoniter.ConfigCompatibleWithStandardLibrary.MarshalIndent(r, "", "  ")
		if err == nil {
			err = os.WriteFile(file, append(body, '\n'), 0o644)
		}
		if err != nil {
			return err
		}
	}
	return r.verdict()
}

func (r *Report) printRows(w io.Writer) {
	t := newTable(w)
	head := table.Row{}
	for _, c := range r.Columns {
		head = append(head, c)
	}
	t.AppendHeader(head)
	for _, row := range r.Rows {
		cells := table.Row{}
		for _, c := range r.Columns {
			if v, ok := row[c].(float64); ok {
				cells = append(cells, number(v))
			} else {
				cells = append(cells, row[c])
			}
		}
		t.AppendRow(cells)
	}
	t.Render()
}

func (r *Report) printBounds(w io.Writer) {
	if len(r.Bounds) == 0 {
		return
	}
	t := newTable(w)
	t.AppendHeader(table.Row{"must hold", "figure", "at most", "unit", ""})
	for _, b := range r.Bounds {
		t.AppendRow(table.Row{b.Name, number(b.Value), number(b.Max), b.Unit, b.Verdict()})
	}
	t.Render()
}

func (r *Report) verdict() error {
	var missed, unjudged []string
	for _, b := range r.Bounds {
		switch {
		case b.IsMet():
		case b.Inconclusive != "":
			unjudged = append(unjudged, fmt.Sprintf("%s (%s)", b.Name, b.Inconclusive))
		default:
			missed = append(missed, b.Name)
		}
	}
	if len(missed) > 0 {
		return fmt.Errorf("%d of %d bounds were missed: %s", len(missed), len(r.Bounds),
			strings.Join(append(missed, unjudged...), "; "))
	}
	if len(unjudged) > 0 {
		return fmt.Errorf("%d of %d bounds were not judged: %s", len(unjudged), len(r.Bounds),
			strings.Join(unjudged, "; "))
	}
	return nil
}

// number formats a value with two decimals, or with three significant digits if it is below 0.1.
func number(v float64) string {
	if a := math.Abs(v); a > 0 && a < 0.1 {
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%.2f", v)
}

func newTable(w io.Writer) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.Style().Format.Header = text.FormatDefault
	return t
}
