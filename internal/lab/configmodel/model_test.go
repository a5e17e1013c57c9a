package configmodel

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestScenarios(t *testing.T) {
	for _, s := range Scenarios() {
		t.Run(s.Name, func(t *testing.T) {
			r, err := Play(s, 300, 1)
			t.Logf("%+v", r)
			require.NoError(t, err)
		})
	}
}
