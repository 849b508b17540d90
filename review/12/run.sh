#!/usr/bin/env bash
# Starts three control instances, two entries and three upstreams; clients send
# a request each 20 to 60 ms. A fourth upstream starts, leaves after 0.5 s with
# a departure, as PROTOCOL.md tells, and serves for 8 s more; its one heartbeat
# arrives 2.5 s after it was sent (TROUBLE=0: at once). Checks that no request
# reaches it later than drain_ms (2,000 ms) after the departure was
# acknowledged. Exits with 1 if one does, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/lateheartbeat ] || exit 2
exec target/review-3/lateheartbeat review/12/record.txt
