package instance

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"topazfall"
	"topazfall/internal/decide/sources"
	"topazfall/internal/discovery"
	"topazfall/internal/dispatch"
	"topazfall/internal/upstream"
)

// statePage lists all state that grows, and what of it outlives a process.
const statePage = "../../docs/design/state.md"

// stateOwners are the types whose fields are the state of a dispatcher.
var stateOwners = []reflect.Type{reflect.TypeFor[topazfall.Balancer](), reflect.TypeFor[dispatch.Core](),
	reflect.TypeFor[sources.Merger](), reflect.TypeFor[discovery.Watch](), reflect.TypeFor[upstream.Transport](),
	reflect.TypeFor[handover]()}

// stateWalk collects the fields that hold a table, a list or a queue, in the types of this project that a type reaches.
type stateWalk struct {
	fields []string
	seen   map[reflect.Type]bool
}

func (s *stateWalk) visit(t reflect.Type) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map, reflect.Chan:
		s.visit(t.Elem())
		return
	}
	if t.Kind() != reflect.Struct || s.seen[t] || !strings.HasPrefix(t.PkgPath(), "topazfall") {
		return
	}
	s.seen[t] = true
	for i := range t.NumField() {
		field := t.Field(i)
		switch field.Type.Kind() {
		case reflect.Map, reflect.Slice, reflect.Chan:
			s.fields = append(s.fields, typeName(t)+"."+field.Name)
		}
		s.visit(field.Type)
	}
}

// typeName returns the name of a type with the last element of its package's path.
func typeName(t reflect.Type) string {
	return t.PkgPath()[strings.LastIndex(t.PkgPath(), "/")+1:] + "." + t.Name()
}

// Guards against a table that is forgotten at a replacement or a restart because nobody has decided what it owes to the
// next process: each one stands on the page, and the page names no other.
func TestStatePageListsAllState(t *testing.T) {
	walk := stateWalk{seen: map[reflect.Type]bool{}}
	for _, owner := range stateOwners {
		walk.visit(owner)
	}
	text, err := os.ReadFile(statePage)
	require.NoError(t, err)
	var listed []string
	for _, match := range regexp.MustCompile("`([a-z]+\\.\\w+\\.\\w+)`").FindAllStringSubmatch(string(text), -1) {
		listed = append(listed, match[1])
	}
	slices.Sort(walk.fields)
	slices.Sort(listed)
	require.Equal(t, walk.fields, slices.Compact(listed))
}
