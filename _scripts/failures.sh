#!/usr/bin/env bash
# Kills and freezes real processes of the demo system while requests run, and
# checks that no adapter was evicted under a request, no call ran twice, and
# every answer was exact. Takes about a minute and a half.
source "$(dirname "$0")/cluster.sh"
trap stop_all EXIT
models=(suhrn-sk@v1 suhrn-sk@v2 suhrn-cz@v1 suhrn-cz@v2 varovania@v1 stitky@v1)
ports=(7111 7121 7131 7141)
wrong=$run/wrong
served=$run/served
: >"$wrong"
: >"$served"

# load PORT: asks for one model after the other until told to stop.
load() {
  local n=0 model answer
  while [ ! -e "$run/stop" ]; do
    model=${models[n % ${#models[@]}]}
    n=$((n + 1))
    answer=$(curl -sS --max-time 6 "http://127.0.0.1:$1/v1/completions" -H 'Authorization: Bearer demo-caller' -H 'Request-Deadline: 5s' \
      -d "{\"model\":\"$model\",\"prompt\":\"$1-$n\",\"max_tokens\":20}" 2>/dev/null) || { sleep 0.2; continue; }
    case "$answer" in
    *'"choices"'*"[$model]"*) echo "$model" >>"$served" ;;
    *'"choices"'*) echo "$model got $answer" >>"$wrong" ;;
    *) sleep 0.2 ;;
    esac
  done
}

# calls PORT: sends each request id several times through several entries.
calls() {
  local id port
  while [ ! -e "$run/stop" ]; do
    id=$(curl -sS --max-time 5 -X POST "http://127.0.0.1:$1/v1/request-ids" -H 'Authorization: Bearer demo-caller' 2>/dev/null | sed 's/.*:"//; s/".*//')
    for port in "${ports[@]}"; do
      curl -sS --max-time 10 "http://127.0.0.1:$port/v1/services/citaren/zalozky" -H 'Authorization: Bearer demo-caller' \
        -H "Request-Id: $id" -d '{}' >/dev/null 2>&1 || true
    done
  done
}

owner_of() { "$root/bin/railctl" --server "http://127.0.0.1:$1" --token-file "$root/_fixtures/demo/operator.token" targets | awk -v t="$2" '$1 == t {print $5}'; }

progress() { # progress WHAT SECONDS, waits until 30 more answers came
  local from
  from=$(wc -l <"$served")
  wait_for "$2" bash -c "[ \$(wc -l <'$served') -ge $((from + 30)) ]"
  echo "  answers go on: $1"
}

since() { echo "$(($(date +%s%N) / 1000000 - $1))"; }

start_stands
start_entries
ctl apply --file "$root/_fixtures/demo/records.json" >/dev/null
wait_for 20 all_owned
for port in 7111 7131 7141; do
  load "$port" &
  pids[load-$port]=$!
done
calls 7111 &
pids[calls]=$!
progress "all instances run" 30

echo "== the owner of jazykovy-stroj-1 is killed"
victim=$(owner_of 7113 jazykovy-stroj-1)
[ "$victim" = vstup-a1 ] && other=7123 || other=7113
kill -KILL "${pids[$victim]}"
killed=$(($(date +%s%N) / 1000000))
wait "${pids[$victim]}" 2>/dev/null || true
wait_for 20 bash -c "[ \"\$('$root/bin/railctl' --server http://127.0.0.1:$other --token-file '$root/_fixtures/demo/operator.token' targets | awk '\$1 == \"jazykovy-stroj-1\" {print \$5}')\" = $([ "$victim" = vstup-a1 ] && echo vstup-a2 || echo vstup-a1) ]"
echo "  new owner after $(since "$killed") ms"
progress "after the kill" 30
start_entry "$victim"
wait_for 20 curl -fs --max-time 2 "http://127.0.0.1:$([ "$victim" = vstup-a1 ] && echo 7111 || echo 7121)/readyz"

echo "== the owner of jazykovy-stroj-1 is frozen past its lease and resumed"
frozen=$(owner_of "$other" jazykovy-stroj-1)
kill -STOP "${pids[$frozen]}"
sleep 22
progress "while it is frozen" 30
kill -CONT "${pids[$frozen]}"
progress "after it was resumed" 30

echo "== the platform is frozen and thawed"
kill -STOP "${pids[platform]}"
sleep 5
progress "while it is frozen" 30
kill -CONT "${pids[platform]}"
progress "after it was thawed" 30

echo "== an engine restarts into a cold start"
curl -sS -X POST http://127.0.0.1:7012/fault/restart
progress "after the restart" 30

touch "$run/stop"
for worker in load-7111 load-7131 load-7141 calls; do wait "${pids[$worker]}" 2>/dev/null || true; done
violations=0
for port in 7011 7012 7013; do
  list=$(curl -sS "http://127.0.0.1:$port/violations")
  [ "$list" = "[]" ] || {
    echo "engine on port $port evicted under a request: $list"
    violations=1
  }
done
twice=$(curl -sS http://127.0.0.1:7021/runs | tr ',' '\n' | grep -vcE ':1}?$' || true)
echo "$(wc -l <"$served") exact answers, $(wc -l <"$wrong") wrong, $(curl -sS http://127.0.0.1:7021/runs | tr ',' '\n' | wc -l) calls, $twice run more than once"
cat "$wrong"
[ "$violations" = 0 ] && [ ! -s "$wrong" ] && [ "$twice" = 0 ]
