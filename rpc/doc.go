// Package rpc holds the messages and Twirp services that the system's own
// processes use among themselves. All but this file is generated from
// pointpass.proto by generate.sh and committed, so that a build needs no
// generator.
package rpc
