#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: no disruption.
exec sh "$(dirname "$0")/../run-2.sh" reserve "$(dirname "$0")"
