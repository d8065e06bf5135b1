#!/bin/sh
# Builds the stand-ins of the review into review/.bin. It needs no network.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off CGO_ENABLED=0 go build -o ../.bin/harness .
