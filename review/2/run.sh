#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Writes what was sent, answered and run to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONDONTWRITEBYTECODE=1
record=review/2/record.txt
echo "not over" > "$record" || exit 2
timeout --signal=INT --kill-after=3 115 python3 review/2/case.py
case $? in
  0) status=0 ;;
  10) status=1 ;;
  *) status=2 ;;
esac
echo "exit status: $status" >> "$record"
exit $status
