// Package rpc contains the messages and Twirp services for calls between the
// system's own processes. generate.sh generates the code from pointpass.proto; the
// result is committed, so that a build needs no generator.
package rpc
