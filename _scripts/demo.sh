#!/usr/bin/env bash
# Starts the demo system, serves requests, checks every answer, and stops it.
source "$(dirname "$0")/cluster.sh"
trap stop_all EXIT
failures=0

check() { # check WHAT EXPECTED ACTUAL
  if [[ "$3" == *"$2"* ]]; then
    printf '  ok    %s\n' "$1"
  else
    printf '  WRONG %s: expected %s in: %s\n' "$1" "$2" "$3"
    failures=$((failures + 1))
  fi
}

ask() { # ask PORT CALL BODY, prints headers and body
  curl -sS -i --max-time 20 "http://127.0.0.1:$1$2" -H 'Authorization: Bearer demo-caller' -H 'Content-Type: application/json' -d "$3" | tr -d '\r'
}

header() { awk -v name="$1:" 'tolower($1) == tolower(name) {print $2; exit}'; }

echo "== start"
start_stands
start_entries
ctl apply --file "$root/_fixtures/demo/records.json"
wait_for 20 all_owned

echo "== adapters over both dialects"
printf '  %-14s %-17s %9s %9s\n' MODEL SERVED-BY WAIT-MS LOAD-MS
for model in suhrn-sk@v1 suhrn-cz@v2 varovania@v1 stitky@v1 stitky@v2 suhrn-sk@v1; do
  answer=$(ask 7111 /v1/completions "{\"model\":\"$model\",\"prompt\":\"Kapitola 1\",\"max_tokens\":8}")
  printf '  %-14s %-17s %9s %9s\n' "$model" "$(header Served-By <<<"$answer")" "$(header Queue-Wait-Ms <<<"$answer")" "$(header Load-Wait-Ms <<<"$answer")"
  check "$model answers from its own weights" "[$model]" "$answer"
done

echo "== streams"
for model in suhrn-sk@v1 stitky@v1; do
  answer=$(ask 7131 /v1/chat/completions "{\"model\":\"$model\",\"messages\":[{\"role\":\"user\",\"content\":\"Zhrn\"}],\"max_tokens\":5,\"stream\":true}")
  check "$model streams" "[$model]" "$answer"
  check "$model stream is whole" "data: [DONE]" "$answer"
done

echo "== application"
id=$(curl -sS -X POST http://127.0.0.1:7111/v1/request-ids -H 'Authorization: Bearer demo-caller' | sed 's/.*:"//; s/".*//')
sleep 2.5 # an id is accepted once its issue is later than the keeper's start by the clock skew
id=$(curl -sS -X POST http://127.0.0.1:7111/v1/request-ids -H 'Authorization: Bearer demo-caller' | sed 's/.*:"//; s/".*//')
call() { curl -sS -i --max-time 20 "http://127.0.0.1:$1/v1/services/citaren/zalozky" -H 'Authorization: Bearer demo-caller' -H "Request-Id: $2" -d '{"dielo":7}' | tr -d '\r'; }
check "a bookmark is saved" '"run":1' "$(call 7111 "$id")"
check "its repeat in the other zone is not run" 'already-seen' "$(call 7141 "$id")"

echo "== errors"
check "unknown version" 'unknown-version' "$(ask 7111 /v1/completions '{"model":"suhrn-sk@v9","prompt":"x"}')"
check "not run is said" 'Run-Outcome: not-run' "$(ask 7111 /v1/completions '{"model":"suhrn-sk@v9","prompt":"x"}')"
check "unknown caller" 'unauthenticated' "$(curl -sS http://127.0.0.1:7111/v1/models -H 'Authorization: Bearer wrong')"

echo "== operators"
ctl instances
ctl targets
sleep 0.2
request=$(ask 7121 /v1/completions '{"model":"varovania@v1","prompt":"trace me","max_tokens":4}' | header Request-Id)
ctl trace "$request"

echo "== one instance is killed"
kill -KILL "${pids[vstup-a2]}"
wait "${pids[vstup-a2]}" 2>/dev/null || true
for model in suhrn-sk@v1 stitky@v1 varovania@v1; do
  check "$model is served after the kill" "[$model]" "$(ask 7111 /v1/completions "{\"model\":\"$model\",\"prompt\":\"po\",\"max_tokens\":4}")"
done

echo "== the platform is stopped"
kill -KILL "${pids[platform]}"
wait "${pids[platform]}" 2>/dev/null || true
for model in suhrn-sk@v1 stitky@v1 varovania@v1; do
  check "$model is served without the platform" "[$model]" "$(ask 7111 /v1/completions "{\"model\":\"$model\",\"prompt\":\"bez\",\"max_tokens\":4}")"
done

if ((failures > 0)); then
  echo "$failures checks failed"
  tail -n 20 "$run"/*.log
  exit 1
fi
echo "all checks passed"
