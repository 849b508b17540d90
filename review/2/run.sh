#!/usr/bin/env bash
# Case 2: an order to end an evacuation is held by a frozen control process and
# carried out after the zone has been evacuated again. Sends, checks and units:
# review/standins/heldorder.cpp. TROUBLE=0 leaves the freeze out. Ends with 0 if
# EVAC held, 1 if it was broken, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
echo "the case could not run: programs or stand-ins are not built" > "$record"
[ -x target/review/heldorder ] || exit 2
[ -x target/bin/fulmar-platform-control ] || exit 2
[ -x target/bin/fulmar-platform-entry ] || exit 2
exec target/review/heldorder . review/2
