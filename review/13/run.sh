#!/usr/bin/env bash
# Restarts servers under their ids and cuts them off at once; with TROUBLE=0, neither.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -d target/review-3 ] && [ -d target/platform ] || { echo "build first" >&2; exit 2; }
scratch="$(mktemp -d)" || exit 2
java -Xmx256m -cp target/review-3 -Djdk.httpclient.allowRestrictedHeaders=host \
    RestartedServer "${TROUBLE:-1}" "$scratch"
status=$?
cp "$scratch/record.txt" "$folder/record.txt" || status=2
rm -rf "$scratch"
exit "$status"
