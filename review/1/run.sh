#!/usr/bin/env bash
# Plays this case after the build of deploy/service.toml and review/build.sh. It ends with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/postpoint ] || [ ! -x target/review-standins ]; then exit 2; fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
exec target/review-standins -case attestation -folder review/1 "-trouble=$trouble"
