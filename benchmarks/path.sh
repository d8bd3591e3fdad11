#!/bin/sh
# Runs the measurements of `make bench`; start it from the repository root.
set -eu
entry=http://127.0.0.1:23101
hoistmoor-load wait http://127.0.0.1:23000/hosts http://127.0.0.1:23001/load \
  http://127.0.0.1:23002/load http://127.0.0.1:23003/load \
  "$entry/healthz" http://127.0.0.1:23102/healthz
hoistmoor table publish benchmarks/sheets --author bench \
  --log-url http://127.0.0.1:23000
hoistmoor-load wait "$entry/readyz" http://127.0.0.1:23102/readyz
export HOISTMOOR_KEY=bench-key
pid=$(pgrep -n -f 'hoistmoor-entry --host b-entry-1')

echo "== What one request more costs"
hoistmoor-load compare --entry "$entry" --direct http://127.0.0.1:23001 \
  --model bench-model@1 --kind chat --kind stream --count "${COUNT:-500}"
hoistmoor-load compare --entry "$entry" --direct http://127.0.0.1:23002 \
  --kind balance --kind confirm --kind confirm-ticket --kind confirm-key \
  --count "${COUNT:-500}"

echo "== Plain calls at one entry, open loop"
for rate in 1 25 50 100 200; do
  hoistmoor-load run --entry "$entry" --kind balance --kind confirm \
    --rate $rate --count $((rate * 10)) --pid "$pid"
done

echo "== Streamed tokens at one entry, open loop, 200 tokens an answer"
for rate in 2 4 8 16 32; do
  hoistmoor-load run --entry "$entry" --kind stream --model long-model@1 \
    --max-tokens 200 --rate $rate --count $((rate * 10)) --pid "$pid"
done
