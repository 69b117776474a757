#!/usr/bin/env bash
# Writes the pages of docs/cli from the programs' help. With --check it only
# compares and fails if a page is old.
set -euo pipefail
cd "$(dirname "$0")/.."
pages=$(mktemp -d)
trap 'rm -rf "$pages"' EXIT
go build -o "$pages/bin/" ./cmd/...
for program in railentry railctl railstand; do
  {
    printf '# %s\n\n' "$program"
    printf '```\n'
    (cd "$pages/bin" && "./$program" --help)
    printf '```\n'
    for command in $(cd "$pages/bin" && "./$program" --help | awk '/^COMMANDS:/ {on = 1; next} /^GLOBAL OPTIONS:/ {on = 0} on && /^ +[a-z-]+(, [a-z]+)?   */ {sub(",", "", $1); print $1}'); do
      [ "$command" = help ] && continue
      printf '\n## %s %s\n\n```\n' "$program" "$command"
      (cd "$pages/bin" && "./$program" "$command" --help)
      printf '```\n'
    done
  } | sed 's/[[:space:]]*$//' >"$pages/$program.md"
done
for program in railentry railctl railstand; do
  if [ "${1:-}" = --check ]; then
    diff -u "docs/cli/$program.md" "$pages/$program.md"
  else
    cp "$pages/$program.md" docs/cli/
  fi
done
