#!/usr/bin/env bash
# Builds the stand-ins and cases of the review in REPORT-3.md, after the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review3 ./review/stand3
