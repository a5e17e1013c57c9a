package discoveryserver

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// An answer counts as received when the next call on its connection names its version.
func TestReceipts(t *testing.T) {
	s, err := Start()
	require.NoError(t, err)
	defer s.Close()
	s.RecordReceipts()
	version := s.Update(Entry{Host: "a"})
	callers := [2]*http.Client{{Transport: &http.Transport{}}, {Transport: &http.Transport{}}} // a connection each
	call := func(caller int, query string) {
		answer, err := callers[caller].Get(fmt.Sprintf("http://%s/v1/endpoints%s", s.Address(), query))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
	}
	named := fmt.Sprintf("?after=%d&wait_ms=0", version)
	call(0, "")
	call(1, named)
	require.Empty(t, s.Receipts(), "another connection names it")
	call(0, named)
	require.Len(t, s.Receipts(), 1)
	require.Equal(t, version, s.Receipts()[0].Version)
	require.Equal(t, s.Address(), s.Receipts()[0].Endpoint)
	call(0, named)
	require.Len(t, s.Receipts(), 1, "an answer without changes")
	s.Update(Entry{Host: "b"})
	call(0, named)
	call(0, "")
	require.Len(t, s.Receipts(), 1, "the caller does not have it")
}
