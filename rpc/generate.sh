#!/usr/bin/env bash
# Regenerates pointpass.pb.go and pointpass.twirp.go. Needs protoc,
# protoc-gen-go and protoc-gen-twirp on the PATH; the build doesn't.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
  --twirp_out=. --twirp_opt=paths=source_relative pointpass.proto
