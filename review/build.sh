#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs no network:
# it uses only a library that the project declares. The compiler's notes go to
# target/review-build.log.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
go build -tags review -o target/review-stand ./review/stand >target/review-build.log 2>&1 || {
  grep -v 'fmahash\|bisect-match' target/review-build.log
  exit 1
}
