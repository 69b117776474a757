#!/usr/bin/env bash
# Functions that start and stop the processes of the demo. Sourced by scripts.
# Every process is started here and ended by its id.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
run=$(mktemp -d)
declare -A pids=()

start() { # start NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
    kill -CONT "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do wait "${pids[$name]}" 2>/dev/null || true; done
  rm -rf "$run"
}

wait_for() { # wait_for SECONDS COMMAND...
  local tries=$(($1 * 10))
  shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    if ((tries <= 0)); then
      echo "timed out: $*" >&2
      tail -n 5 "$run"/*.log >&2
      return 1
    fi
    sleep 0.1
  done
}

start_stands() {
  local demo=$root/_fixtures/demo n
  start platform "$root/bin/railstand" platform --settings "$demo/platform.ini"
  start weight-store "$root/bin/railstand" weight-store --settings "$demo/weight-store.ini"
  for n in 1 2 3; do
    start "jazykovy-stroj-$n" "$root/bin/railstand" engine --settings "$demo/jazykovy-stroj-$n.ini"
  done
  start citaren-1 "$root/bin/railstand" application --settings "$demo/citaren-1.ini"
}

start_entry() { start "$1" "$root/bin/railentry" --settings "$root/_fixtures/demo/$1.ini"; }

start_entries() {
  local name
  for name in vstup-a1 vstup-a2 vstup-b1 vstup-b2; do start_entry "$name"; done
  for name in 7111 7121 7131 7141; do wait_for 20 curl -fs --max-time 2 "http://127.0.0.1:$name/readyz"; done
}

ctl() { "$root/bin/railctl" --server http://127.0.0.1:7113 --token-file "$root/_fixtures/demo/operator.token" "$@"; }

all_owned() { [ "$(ctl targets | awk 'NR > 1 && $3 == "engine" && $5 != "-"' | wc -l)" -eq 3 ]; }
