#!/usr/bin/env bash
# The project's whole check: formatting, linters, the deployed build, the tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  echo "not formatted:" $unformatted
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml ./cmd/... ./internal/...
go build -ldflags=-linkmode=external -o target/eiderhitch ./cmd/eiderhitch
go test -race ./...
# The race detector would take several times as long for the large fleet.
go test ./internal/controller -run "^TestLargeFleet$" -fleet 4000
