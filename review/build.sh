#!/usr/bin/env bash
# The stand-ins in review/lib are plain scripts of Node.js and need no
# compiler; this checks that each of them, and each case, can be parsed.
set -eu
cd "$(dirname "$0")"
for script in lib/*.mjs */case.mjs; do node --check "$script"; done
test -f ../target/gypsumcourse.js || {
  echo 'target/gypsumcourse.js is missing: run the build of the deploy file' >&2
  exit 1
}
