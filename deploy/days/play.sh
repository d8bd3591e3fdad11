#!/usr/bin/env bash
# Plays all days of this folder on a site, and prints a line for each.
#
#   deploy/days/play.sh BENCH SITE [OPTION...]
#
# BENCH: the bench's program; SITE: a site file; options go to its `run`.
set -euo pipefail
bench=$1
site=$2
shift 2
cd "$(dirname "$0")/../.."

for day in deploy/days/*.toml; do
  "$bench" run "$site" "$day" "$@" --why "Own day $(basename "$day" .toml)" \
    2>&1 | grep -E '^(rules broken|fleetbench:|[a-z-]+ +[0-9]+/[0-9]+ )' \
    || echo "$day: no result"
done
