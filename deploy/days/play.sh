#!/usr/bin/env bash
# Plays all days in this folder on a site, one line for each.
# Usage, from the repo's root: deploy/days/play.sh BENCH SITE [DAY...]
set -euo pipefail
bench=$1
site=$2
shift 2
days=("$@")
[ ${#days[@]} -gt 0 ] || days=(deploy/days/*.toml)
failed=0
for day in "${days[@]}"; do
  out=$("$bench" run "$site" "$day" --why "own day $(basename "$day" .toml)" 2>&1) || true
  line=$(grep -m1 "^$(basename "$day" .toml)" <<<"$out" || true)
  echo "${line:-$day: not played: $(tail -1 <<<"$out")}"
  if [ -z "$line" ] || grep -q 'BROKEN\|FAULT' <<<"$line"; then
    failed=1
  fi
done
exit $failed
