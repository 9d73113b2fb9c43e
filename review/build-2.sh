#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/, after the build
# of the deploy file. It needs no network beyond the project's own modules.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review2 -o target/review2 ./review/stand2
