package instance

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall/internal/decide/digests"
	"topazfall/internal/decide/ramp"
	"topazfall/internal/discovery"
)

// gobFields lists the exported fields below t, each with its path and its type, as gob sends them. Gob matches fields
// by name, and an embedded field by the name of its type. A type with a binary form of its own is one field.
func gobFields(path string, t reflect.Type) []string {
	if t.Implements(reflect.TypeFor[encoding.BinaryMarshaler]()) {
		return []string{path + " binary"}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return gobFields(path, t.Elem())
	case reflect.Array:
		return gobFields(fmt.Sprintf("%s[%d]", path, t.Len()), t.Elem())
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return []string{path + " bytes"}
		}
		return gobFields(path+"[]", t.Elem())
	case reflect.Map:
		return gobFields(path+"["+t.Key().Kind().String()+"]", t.Elem())
	case reflect.Struct:
		var fields []string
		for f := range t.Fields() {
			if f.IsExported() {
				fields = append(fields, gobFields(path+"."+f.Name, f.Type)...)
			}
		}
		return fields
	default:
		return []string{path + " " + t.Kind().String()}
	}
}

// Processes of two versions match the fields of a handover by name, and gob ignores without an error what only one
// side has: a renamed field would lose state in each replacement. These names and types are a format and stay as they
// are.
func TestHandoverFieldNames(t *testing.T) {
	for _, frame := range []struct {
		name  string
		value any
		want  string
	}{
		{"state", handoverState{}, handoverStateFields},
		{"connection", handoverConnection{}, keptConnectionFields},
		{"limits", heldLimits{}, ".Conns int\n.Share float64"},
		{"ids", []string{}, "[] string"},
		{"size of a digest", [digests.Size]uint8{}, "[16] uint8"},
		{"update", discovery.Update{}, updateFields},
		{"cold work", map[string]ramp.Log{}, "[string][].At int64\n[string][].Work float64\n[string][].Own bool"},
	} {
		t.Run(frame.name, func(t *testing.T) {
			got := gobFields("", reflect.TypeOf(frame.value))
			require.Equal(t, strings.Split(strings.TrimSpace(frame.want), "\n"), got)
		})
	}
}

const handoverStateFields = `
.List.Discovery string
.List.Seq int64
.List.Hosts[string].Worker.ID string
.List.Hosts[string].Worker.Zone string
.List.Hosts[string].Worker.Kind string
.List.Hosts[string].Worker.Cell int
.List.Hosts[string].Worker.State int
.List.Hosts[string].Worker.Weight float64
.List.Hosts[string].Worker.StartedAt int64
.List.Hosts[string].Addr string
.List.Hosts[string].Addrs[] binary
.List.Unread.For int64
.List.Unread.Reachable bool
.List.Shared bool
.Core.Known[] string
.Core.Memory.JobTime float64
.Core.Memory.Least float64
.Core.Memory.StartLag float64
.Core.Memory.Loss float64
.Core.Memory.MeanHeld float64
.Core.Memory.CommonAt int64
.Core.Memory.Patience[string] int64
.Core.Memory.Kinds[string].Slots float64
.Core.Memory.Kinds[string].Pace float64
.Core.Memory.Kinds[string].Table[5][18] float64
.Core.Memory.Workers[string].Held float64
.Core.Memory.Workers[string].Pace float64
.Core.Memory.Workers[string].HeardAt int64
.Core.Memory.Workers[string].Silent int64
.Core.Memory.Workers[string].LastTry int64
.Core.Memory.Workers[string].DownUntil int64
.Core.Memory.Workers[string].Failures int
.Core.Memory.Workers[string].Errors int
.Core.Memory.Workers[string].Sent[].At int64
.Core.Memory.Workers[string].Sent[].Work float64
.Core.Memory.Workers[string].Sent[].Own bool
.Core.Memory.Workers[string].Table[5][18] float64
.Core.AddressOwners[string] string
.Addresses[string][].Address string
.Addresses[string][].State uint8
.Addresses[string][].Doubt uint8
.Addresses[string][].Failures int
.Addresses[string][].Failed int64
.Addresses[string][].Reset int64
.Addresses[string][].Lost int
.Addresses[string][].Rest int64
.Addresses[string][].Good int64
.Addresses[string][].Connect int64
.Addresses[string][].Spread int64
.Extension bytes
`

const updateFields = `
.Discovery string
.After int64
.Seq int64
.Whole bool
.Restarted bool
.Entries[].Worker.ID string
.Entries[].Worker.Zone string
.Entries[].Worker.Kind string
.Entries[].Worker.Cell int
.Entries[].Worker.State int
.Entries[].Worker.Weight float64
.Entries[].Worker.StartedAt int64
.Entries[].Addr string
.Entries[].Addrs[] binary
.Unread.For int64
.Unread.Reachable bool
.Watching bool
.Passed bool
`

const keptConnectionFields = `
.Proven bool
.Client bool
.More bool
.Begun.Message.ID string
.Begun.Message.Method string
.Begun.Message.Path string
.Begun.Message.Fields[].Name string
.Begun.Message.Fields[].Value string
.Begun.Message.Body bytes
.Begun.Message.Class int
.Begun.Message.Tenant int
.Begun.Message.Arrived int64
.Begun.Message.Due int64
.Begun.Message.Hint int64
.Begun.Message.Key uint64
.Begun.Message.Slots float64
.Begun.Message.Retry bool
.Begun.Message.Once bool
.Begun.ClassIs.Name string
.Begun.ClassIs.Deadline int64
.Begun.ClassIs.Aim int64
.Begun.ClassIs.Stretch float64
.Begun.ClassIs.Worth float64
.Begun.ClassIs.LateWorth float64
.Begun.ClassIs.Repeat int
.Begun.ClassIs.Group int
.Begun.ClassIs.Window int64
.Begun.ClassIs.Kind string
.Begun.ClassIs.Priority int
.Begun.Of string
.Begun.Relays[].Host string
.Begun.Relays[].Addr string
.Begun.Relays[].Sent int64
.Begun.Relays[].Begun int64
.Begun.Relays[].Due int64
.Begun.Relays[].Outcome int
.Begun.Relays[].Done bool
.Begun.Tries[].Worker string
.Begun.Tries[].Sent int64
.Begun.Tries[].Started int64
.Begun.Tries[].Heard int64
.Begun.Tries[].Done bool
.Begun.Tries[].NotRun bool
.Begun.Tries[].Recalled bool
.Begun.Tries[].Unusable bool
`
