#!/bin/sh
# Plays a case: run-2.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ -z "$run" ] || [ ! -x "${run%% *}" ] || [ ! -x target/review-2/standins ]; then
  echo "build first: the command of deploy/service.toml, then review/build-2.sh" >&2
  exit 2
fi
exec target/review-2/standins "$1" "$folder" "$run"
