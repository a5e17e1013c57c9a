package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What rests in the HTTP library, and what waits on a connection that has a descriptor, is not left over; what waits
// for anything else is.
func TestRunning(t *testing.T) {
	const handler = "topazfall/internal/frontend.(*Server).handle(0x1)\n\tfrontend.go:1\n"
	for stack, is := range map[string]bool{
		"goroutine 7 [chan receive]:\ngithub.com/valyala/fasthttp.(*workerPool).workerFunc(0x1)\n": false,
		"goroutine 7 [sleep]:\ngithub.com/valyala/fasthttp.(*HostClient).connsCleaner(0x1)\n":      false,
		"goroutine 7 [IO wait]:\ntopazfall/internal/frontend.(*conn).awaitFirstByte(0x1)\n" +
			"github.com/valyala/fasthttp.(*workerPool).workerFunc(0x1)\n": false,
		"goroutine 7 [select]:\n" + handler + "github.com/valyala/fasthttp.(*workerPool).workerFunc(0x1)\n": true,
		"goroutine 7 [chan send]:\ntopazfall/internal/frontend.(*conn).Read(0x1)\n":                         true,
		"goroutine 7 [IO wait]:\ntopazfall/internal/upstream.(*Transport).roundTripOn(0x1)\n":               true,
		"time=07:28:05.412988 level=INFO at=main state=left":                                                false,
		"": false,
	} {
		require.Equal(t, is, running(stack), stack)
	}
}
