#!/usr/bin/env bash
# Scores deployments on the users' bench and prints one table: for each day the worth, its change
# against the last landing (deploy/worth.tsv), and the rules that were broken.
#
#   scripts/regression.sh [--update] [SITE...]
#
# SITE is the path of a site file; without one, the sites of the regression runs are scored: the large
# one in place of the oldest two. --update writes the worths into deploy/worth.tsv. QUICK=1 plays the
# light days only, JOBS (3) days at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
bench=${BENCH:-$(find ../given/kit/more/system -path '*bench*/bin/fleetbench' | sort | tail -n 1)}
update=""
if [ "${1:-}" = --update ]; then update=1; shift; fi
if [ $# -eq 0 ]; then
  system=../given/kit/more/system
  set -- "$system"/large/*.toml "$system"/further/*.toml "$system"/further-grown/*.toml "$system"/grown/*.toml
fi
landed=deploy/worth.tsv
touch "$landed"
results=$(mktemp)
trap 'rm -f "$results"' EXIT
for site in "$@"; do
  name=$(basename "$site" .toml)
  "$bench" score "$site" --jobs "${JOBS:-3}" ${QUICK:+--quick} --why "regression" |
    awk -v site="$name" -v OFS='\t' '
      /^day .*worth/ { table = 1; next }
      table && $2 ~ /^[0-9]+\/[0-9]+$/ {
        broken = match($0, /BROKEN.*/) ? substr($0, RSTART) : "none"
        print site, $1, $4, broken
      }' >> "$results"
done
awk -F'\t' -v OFS='\t' '
  FILENAME == ARGV[1] { before[$1 FS $2] = $3; next }
  FNR == 1 { print "site", "day", "worth", "change", "broken" }
  { print $1, $2, $3, ($1 FS $2) in before ? sprintf("%+.3f", $3 - before[$1 FS $2]) : "new", $4 }
' "$landed" "$results" | column -t -s "$(printf '\t')"
[ -z "$update" ] || cp "$results" "$landed"
