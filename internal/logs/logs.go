// Package logs defines the format of the program's log: one line of key=value text per record. The time of day, in
// microseconds, comes first, and the key "at" names the part of the program that logs.
package logs

import (
	"io"
	"log/slog"
)

const timeFormat = "15:04:05.000000"

// New returns a logger that writes to w. The message of a record is the name of the part, as in at=relay; the content
// is in the attributes.
func New(w io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr}))
}

// replaceAttr formats the time of a record and renames its message to "at".
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		if a.Value.Kind() == slog.KindTime {
			a.Value = slog.StringValue(a.Value.Time().Format(timeFormat))
		}
	case slog.MessageKey:
		a.Key = "at"
	}
	return a
}
