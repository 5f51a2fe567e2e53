#!/usr/bin/env bash
# Builds the stand-ins of the cases (review/bin/case1, case2 and case3) and of the tests in review/known. Run it from anywhere,
# after the build of deploy/balancer.toml. It needs the Go tool chain alone; the stand-ins use the standard library, and
# coordinator-killed the project's client of the cluster.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
export GOTOOLCHAIN=local
for folder in review/[1-3]/; do
  go build -tags review -o "review/bin/case$(basename "$folder")" "./$folder"
done
for folder in review/known/*/; do
  name=$(basename "$folder")
  go build -tags review -o "review/bin/$name" "./review/known/$name"
done
