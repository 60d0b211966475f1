#!/usr/bin/env bash
# Plays one case: case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")/.."
timeout -k 2 116 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -Dsun.net.httpserver.maxIdleConnections=2000 \
  -Djdk.httpclient.allowRestrictedHeaders=host -cp "target/review:target/platform/lib/*" \
  review.Case "$1" "$2"
result=$?
if [ "$result" -gt 1 ]; then
  exit 2
fi
exit "$result"
