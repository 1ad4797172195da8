#!/usr/bin/env bash
# Formats, vets, lints and tests everything. Exits 0 only if all of it passes.
set -euo pipefail
cd "$(dirname "$0")"

packages="github.com/pointpass/pointpass/..."

echo "== gofmt"
unformatted=$(gofmt -l $(git ls-files '*.go' | grep -v '\.pb\.go$\|\.twirp\.go$'))
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted"
  exit 1
fi

echo "== go vet"
go vet $packages

echo "== staticcheck"
go tool staticcheck $packages

echo "== go test -race"
go test -race -timeout 20m "$@" $packages
