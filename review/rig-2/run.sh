#!/bin/sh
# run.sh CASE NUMBER: runs a case of this rig; its record goes into the folder review/NUMBER.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
root=$(CDPATH= cd -- "$(dirname -- "$0")/../.." && pwd) || exit 2
if [ ! -x "$root/target/release/function-scheduler" ] || [ ! -x "$root/target/review-2/rig" ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d) || exit 2
rig=
end() {
    [ -n "$rig" ] && kill "$rig" 2>/dev/null
    # The rig ends its schedulers itself; these are left only if it was ended before.
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            grep -q function-schedu "/proc/$pid/comm" 2>/dev/null && kill -9 "$pid" 2>/dev/null
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
TMPDIR=$folder timeout -k 5 110 "$root/target/review-2/rig" "$1" "$root" "$root/review/$2" &
rig=$!
wait "$rig"
status=$?
rig=
[ "$status" -le 1 ] || status=2
exit "$status"
