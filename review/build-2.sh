#!/bin/sh
# Checks the stand-ins of the cases 6 to 9, which are scripts and need no build, and
# builds the commit that case 8 starts beside the present build.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do
  node --check "$file"
done
cd ..
commit=f253c69
folder="target/review-2/$commit"
rm -rf "$folder"
mkdir -p "$folder"
# Case 8 can't run without the history; the others can.
if git archive "$commit" | tar x -C "$folder"; then
  # It finds the packages of the present build, as the machine has no network.
  (cd "$folder" && node scripts/bundle.mjs)
else
  echo "case 8 can't run: commit $commit is not in the history" >&2
fi
