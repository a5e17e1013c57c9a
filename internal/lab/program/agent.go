package program

import (
	"os"
	"path/filepath"

	"topazfall/internal/control/client"
	"topazfall/internal/control/controlpb/controlpbconnect"
)

// Agent is a running agent and its control API.
type Agent struct {
	*Process
	API controlpbconnect.ControlClient
}

// StartAgent starts the agent at path; its state is in a folder of its own below dir, named after it.
func StartAgent(path, dir, name, discovery string) (*Agent, error) {
	state := filepath.Join(dir, name)
	if err := os.MkdirAll(state, 0o700); err != nil {
		return nil, err
	}
	p, err := Start(Options{ProgramPath: path, Args: []string{"--state", state}, Dir: dir, Name: name, Discovery: discovery})
	if err != nil {
		return nil, err
	}
	api, err := client.New("unix:" + filepath.Join(state, "control.sock"))
	if err != nil {
		p.Kill()
		return nil, err
	}
	return &Agent{p, api}, nil
}
