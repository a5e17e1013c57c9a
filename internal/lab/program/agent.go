package program

import (
	"os"
	"path/filepath"

	"topazfall/internal/control/client"
	"topazfall/internal/control/controlpb/controlpbconnect"
)

// Agent is a running topazfall-agent process and a client of its control API.
type Agent struct {
	*Process
	API controlpbconnect.ControlClient
}

// StartAgent starts the agent executable at path. Its state is kept in the folder dir/name.
func StartAgent(path, dir, name, discovery string) (*Agent, error) {
	stateDir := filepath.Join(dir, name)
	if err := os.MkdirAll(stateDir, 0o700); err != nil {
		return nil, err
	}
	process, err := Start(Options{ProgramPath: path, Args: []string{"--state", stateDir}, Dir: dir, Name: name,
		Discovery: discovery})
	if err != nil {
		return nil, err
	}
	api, err := client.New("unix:" + filepath.Join(stateDir, "control.sock"))
	if err != nil {
		process.Kill()
		return nil, err
	}
	return &Agent{process, api}, nil
}
