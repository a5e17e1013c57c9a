// Package syncpb is the generated code of what instances say to each other about the configuration.
package syncpb

//go:generate protoc -I . --go_out=. --go_opt=paths=source_relative sync.proto
