#!/usr/bin/env bash
# Plays this case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Writes record.txt beside this file.
# Needs the build line of deploy/system.toml and review/build.sh.
set -u
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/platform ] && [ -x target/review-stand ] || exit 2
exec env TROUBLE="${TROUBLE:-1}" target/review-stand lone "$dir/record.txt"
