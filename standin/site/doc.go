// Package site is a small stand-in of the users' platform: its store, its plain
// services and its runners of models, which walk a chain by themselves. It speaks
// the protocol that the users publish, and remembers what truly ran, so that
// tests can compare it with what callers were told.
package site
