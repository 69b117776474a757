#!/usr/bin/env bash
# Applies each patch of _fixtures/mutants to a scratch copy and demands that
# the test named in its first line fails. Arguments limit it to named patches.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
killed=0
survived=0
names=("$@")
if ((${#names[@]} == 0)); then
  for patch in "$root"/_fixtures/mutants/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi
for name in "${names[@]}"; do
  patch=$root/_fixtures/mutants/$name.patch
  rm -rf "${scratch:?}/tree"
  mkdir "$scratch/tree"
  (cd "$root" && git ls-files -z | xargs -0 tar cf - --) | tar xf - -C "$scratch/tree"
  (cd "$scratch/tree" && patch --quiet -p1 <"$patch")
  read -r _ _ package test < <(head -n 1 "$patch")
  if ! (cd "$scratch/tree" && go vet "$package") >"$scratch/log" 2>&1; then
    echo "INVALID  $name does not build"
    cat "$scratch/log"
    survived=$((survived + 1))
  elif (cd "$scratch/tree" && go test -count=1 -timeout 120s -run "^$test\$" "$package") >"$scratch/log" 2>&1; then
    echo "SURVIVED $name: $package $test passes"
    survived=$((survived + 1))
  else
    echo "killed   $name by $test"
    killed=$((killed + 1))
  fi
done
echo "$killed killed, $survived survived"
((survived == 0))
