// Package logs sets the form of the program's log: one line of key=value text for each record, with the time of
// day in microseconds first and the part of the program that speaks under "at".
package logs

import (
	"io"
	"log/slog"
)

const clock = "15:04:05.000000"

// New returns a logger that writes to w. A record's message is the name of the part, as in at=relay; what there is to
// say stands in the attributes.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr}))
}

// replaceAttr gives the time and the message of a record the form that they have in the log.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		if a.Value.Kind() == slog.KindTime {
			a.Value = slog.StringValue(a.Value.Time().Format(clock))
		}
	case slog.MessageKey:
		a.Key = "at"
	}
	return a
}
