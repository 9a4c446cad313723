#!/bin/sh
# Usage: run_case.sh CASE-FOLDER PROGRAM. Plays one case: the program starts the dispatcher with the command
# `run` of the deploy file, from the root of the repository. Exit status: 0 the rule held, 1 it was broken, 2 the
# case could not run.
case_folder=$(cd "$1" && pwd) || exit 2
review=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$review/.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
if [ -z "$command" ] || [ ! -x "$review/bin/$2" ]; then
  echo "cannot run: build first, by the command of deploy/balancer.toml and by review/build.sh"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
"$review/bin/$2" "$case_folder" "$temporary" "$command"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
