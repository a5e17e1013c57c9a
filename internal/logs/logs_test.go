package logs

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFormat(t *testing.T) {
	var b strings.Builder
	l := New(&b)
	l.Warn("relay", "id", "1", "error", errors.New("no\nway = out"))
	require.Regexp(t, `^time=\d\d:\d\d:\d\d\.\d{6} level=WARN at=relay id=1 error="no\\nway = out"\n$`, b.String())
}
