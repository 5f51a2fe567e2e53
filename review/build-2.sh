#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/, beside the programs that the build of the deploy file leaves there.
# It needs no network once the modules of go.sum are at hand.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -tags review -o bin/ ./review/stand2
