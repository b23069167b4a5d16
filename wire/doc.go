// Package wire holds the messages between the processes of the router and
// towards engines. It is generated from wire.proto; see CONTRIBUTING.md.
package wire

//go:generate go tool -modfile=../tools/go.mod buf generate ..
