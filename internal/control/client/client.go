// Package client connects to the control API of an instance.
package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"

	"topazfall/internal/control/controlpb/controlpbconnect"
)

// New returns a client for the API at an address of the form unix:/absolute/path.
func New(address string) (controlpbconnect.ControlClient, error) {
	path, ok := strings.CutPrefix(address, "unix:")
	if !ok || !filepath.IsAbs(path) {
		return nil, fmt.Errorf("control address %q: want unix:/absolute/path", address)
	}
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", path)
	}}
	return controlpbconnect.NewControlClient(&http.Client{Transport: transport}, "http://control"), nil
}
