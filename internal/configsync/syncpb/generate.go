// Package syncpb is the generated code of the messages that instances exchange about the configuration.
package syncpb

//go:generate protoc -I . --go_out=. --go_opt=paths=source_relative sync.proto
