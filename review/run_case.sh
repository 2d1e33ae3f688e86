#!/bin/sh
# run_case.sh CASE NUMBER: runs a case of the rig; its record goes into the folder review/NUMBER.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/function-scheduler ] || [ ! -x target/review/rig ]; then
    echo "run the build of deploy/balancer.toml and review/build.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
rig=
end() {
    [ -n "$rig" ] && kill "$rig" 2>/dev/null
    for file in "$folder"/*/pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
FOLDER=$folder timeout -k 5 110 target/review/rig "$1" "review/$2/record.txt" &
rig=$!
wait "$rig"
status=$?
rig=
[ "$status" -le 1 ] || status=2
exit "$status"
