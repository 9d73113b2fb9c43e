#!/usr/bin/env bash
# Plays days on the users' bench with and without their faults, and reports those on
# which far less is served than on the twin without them, also if no rule is broken.
#
#   deploy/twins.sh BENCH SITE SEEDS DAY...     e.g. ... "1 2 3" deploy/days/*.toml
#
# A day's faults stand in a list that begins with "faults =" at the start of a line.
# It ends with status 1 if a day is a finding, and with 2 if one could not be played.
set -uo pipefail
least=0.9 # of what the twin serves
if [ $# -lt 4 ]; then
  sed -n '2,8p' "$0"
  exit 2
fi
bench=$1 site=$2 seeds=$3
shift 3
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# served DAY SEED prints the share that is served, and the rules broken.
served() {
  rm -f "$work/report"
  "$bench" run "$site" "$1" --seed "$2" --no-cpu --report "$work/report" >"$work/log" 2>&1
  [ -s "$work/report" ] || { tail -3 "$work/log" >&2; return 1; }
  grep -m1 '"served"' "$work/report" | tr -dc '0-9.'
  # No line means that no rule is broken.
  { grep -m1 "rules broken" "$work/log" || true; } | sed "s/^/ /" | tr -d "\n"
}

status=0
for day in "$@"; do
  twin="$work/twin-$(basename "$day")"
  awk '/^faults *=/ { skip = 1 } skip && /\] *$/ { skip = 0; next } !skip' "$day" >"$twin"
  if cmp -s "$day" "$twin"; then
    echo "$day: no list of faults" >&2
    exit 2
  fi
  for seed in $seeds; do
    with=$(served "$day" "$seed") && without=$(served "$twin" "$seed") || { echo "$day, seed $seed: not played" >&2; exit 2; }
    verdict=$(awk -v a="${with%% *}" -v b="${without%% *}" -v l="$least" 'BEGIN { print (a < l * b) ? "FAR LESS" : "" }')
    case "$with" in *broken*) verdict="${verdict:+$verdict, }BROKEN" ;; esac
    [ -z "$verdict" ] || status=1
    echo "$day, seed $seed: served $with; without its faults $without${verdict:+: $verdict}"
  done
done
exit $status
