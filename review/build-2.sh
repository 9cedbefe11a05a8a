#!/bin/sh
# Checks the stand-ins of the cases 6 to 8, which are scripts and need no build, and
# builds the commits that the cases 7 and 8 start beside the present build.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do
  node --check "$file"
done
cd ..
for commit in f253c69 b37ebb4; do
  folder="target/review-2/$commit"
  rm -rf "$folder"
  mkdir -p "$folder"
  # Without the history, the cases 7 and 8 can't run; the others can.
  if git archive "$commit" | tar x -C "$folder"; then
    # It finds the packages of the present build, as the machine has no network.
    (cd "$folder" && node scripts/bundle.mjs)
  else
    echo "commit $commit is not in the history" >&2
  fi
done
