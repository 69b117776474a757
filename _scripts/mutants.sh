#!/usr/bin/env bash
# Applies each patch of _fixtures/mutants to a scratch copy and demands that
# the test named in its first line fails. Arguments limit it to named patches.
# JOBS patches are tried at once (3).
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
names=("$@")
if ((${#names[@]} == 0)); then
  for patch in "$root"/_fixtures/mutants/*.patch; do names+=("$(basename "$patch" .patch)"); done
fi

# try prints the fate of one patch.
try() {
  local name=$1 patch=$root/_fixtures/mutants/$1.patch tree=$scratch/$1
  mkdir "$tree"
  (cd "$root" && git ls-files -z -- ':!journal' | tar cf - --null -T -) | tar xf - -C "$tree"
  read -r _ _ package test < <(head -n 1 "$patch")
  if ! (cd "$tree" && patch --quiet --batch --forward -p1 <"$patch") >"$tree.log" 2>&1; then
    echo "INVALID  $name does not apply"
    cat "$tree.log"
  elif ! (cd "$tree" && go vet "$package") >"$tree.log" 2>&1; then
    echo "INVALID  $name does not build"
    cat "$tree.log"
  elif (cd "$tree" && go test -count=1 -timeout 120s -run "^$test\$" "$package") >"$tree.log" 2>&1; then
    echo "SURVIVED $name: $package $test passes"
  else
    echo "killed   $name by $test"
  fi
  rm -rf "$tree"
}
export -f try
export root scratch
printf '%s\n' "${names[@]}" | xargs -P "${JOBS:-3}" -I {} bash -c 'try {}' | tee "$scratch/fates"
killed=$(grep -c '^killed' "$scratch/fates" || true)
echo "$killed killed, $((${#names[@]} - killed)) survived or invalid"
((killed == ${#names[@]}))
