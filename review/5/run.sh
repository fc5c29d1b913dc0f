#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption. Writes what was sent, answered and run to record.txt in this folder.
here=$(dirname "$0")
exec python3 -B "$here/case.py" "${TROUBLE:-1}" "$here/record.txt"
