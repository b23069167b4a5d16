// Package wire defines the messages that the processes of the router exchange
// with each other and with engines. It is generated from wire.proto; see
// CONTRIBUTING.md.
package wire

//go:generate go tool -modfile=../tools/go.mod buf generate ..
