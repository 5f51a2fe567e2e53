#!/usr/bin/env bash
# Builds the stand-ins of the cases: review/bin/case1, case2 and case3. Run it from anywhere, after the build of
# deploy/balancer.toml. It needs the Go tool chain alone; the stand-ins use the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
export GOTOOLCHAIN=local
for number in 1 2 3; do
  if [ -f "review/$number/main.go" ]; then
    go build -tags review -o "review/bin/case$number" "./review/$number"
  fi
done
