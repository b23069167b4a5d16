# Sourced by the run.sh of a case. play CASE FOLDER plays a case against gateway processes that it
# starts as the deploy file does. It returns 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run.

# limit is the longest that a case may take, in seconds.
limit=110

play() {
  local case=$1 folder=$2 dir stand pids=() status i
  cd "$(dirname "${BASH_SOURCE[0]}")/.." || return 2
  for program in target/grademill-gateway target/review-case; do
    [ -x "$program" ] || { echo "$program is not built" >&2; return 2; }
  done
  dir=$(mktemp -d) || return 2
  rm -f "$folder/record.txt"
  target/review-case -case "$case" -dir "$dir" -record "$folder/record.txt" -trouble "${TROUBLE:-1}" &
  stand=$!
  for i in $(seq 100); do
    [ -e "$dir/ready" ] && break
    sleep 0.1
  done
  if [ -e "$dir/ready" ]; then
    for settings in "$dir"/gateway-*.toml; do
      GRADEMILL_BOOT="$settings" target/grademill-gateway >"$settings.log" 2>&1 &
      pids+=($!)
    done
  fi
  for ((i = 0; i < limit * 10; i++)); do
    kill -0 "$stand" 2>/dev/null || break
    sleep 0.1
  done
  kill "$stand" 2>/dev/null && status=2
  wait "$stand" 2>/dev/null
  status=${status:-$?}
  [ ${#pids[@]} -gt 0 ] && kill -KILL "${pids[@]}" 2>/dev/null
  wait "${pids[@]}" 2>/dev/null
  rm -rf "$dir"
  return "$status"
}
