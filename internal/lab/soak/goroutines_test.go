package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Goroutines that are idle in fasthttp, or that wait on an open connection, are not counted. Goroutines that wait for
// anything else are.
func TestIsRunning(t *testing.T) {
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
		require.Equal(t, is, isRunning(stack), stack)
	}
}
