#!/bin/sh
# Runs the case `rank`; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/marigold-gateway target/review/release/review-cases; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build with the command of deploy/system.toml and with review/build.sh" >&2
        exit 2
    fi
done
exec target/review/release/review-cases rank review/4
