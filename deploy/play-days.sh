#!/usr/bin/env bash
# Runs the days in deploy/days at a site and prints one line for each.
#   deploy/play-days.sh BENCH SITE WHY [JOBS] [DAY...]
# BENCH is the users' executable that runs a day, SITE one of their site files, WHY the
# reason that is passed to BENCH with the name of the day, JOBS the number of days run at
# once (default 4). Without DAY, all days are run. Run it at the root of the repository. A
# day in which a rule was broken, or that was not run, is marked in its line, and the script
# then exits with status 1.
set -euo pipefail
bench=$1 site=$2 why=$3 jobs=${4:-4}
shift $(($# < 4 ? $# : 4))
folder=$(dirname "$0")/days
reports=$(mktemp -d)
trap 'rm -rf "$reports"' EXIT
days=("$@")
if [ ${#days[@]} -eq 0 ]; then
  for file in "$folder"/*.toml; do days+=("$(basename "$file" .toml)"); done
fi
export bench site why folder reports
play() {
  "$bench" run "$site" "$folder/$1.toml" --why "$why: $1" --report "$reports/$1.json" >"$reports/$1.txt" 2>&1 || true
}
export -f play
printf '%s\n' "${days[@]}" | xargs -P "$jobs" -I{} bash -c 'play {}'
failed=0
for day in "${days[@]}"; do
  line=$(grep -m1 "^$day " "$reports/$day.txt" || true)
  if [ -z "$line" ]; then
    echo "$day NOT PLAYED: $(tail -n1 "$reports/$day.txt")"
    failed=1
  elif grep -q '"breaks": *{}' "$reports/$day.json"; then
    echo "$line"
  else
    echo "$line BROKEN: $(grep -o '"breaks": *{[^}]*}' "$reports/$day.json")"
    failed=1
  fi
done
exit $failed
