// Package controlpb is the generated code of the control API.
package controlpb

//go:generate protoc -I . -I /usr/include --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative --connect-go_opt=simple=false control.proto
