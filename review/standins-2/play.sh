#!/bin/sh
# Plays one case: play.sh CASE FOLDER. Ends whatever it started, also when it is ended itself.
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=review/standins-2/target/release/standins-2
if [ ! -x "$program" ] || [ ! -x target/release/crankmux ]; then
    echo "could not run: build the program by deploy/balancer.toml, then review/build-2.sh"
    exit 2
fi
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
SCRATCH=$(mktemp -d /tmp/crankmux-review-XXXXXX) || exit 2
export RUN SCRATCH
player=
clean() {
    if [ -n "$player" ]; then kill -9 "$player" 2>/dev/null; fi
    # The nodes that are still there: their ids, as long as they are the program's.
    if [ -f "$SCRATCH/pids" ]; then
        while read -r node; do
            if [ "$(cat "/proc/$node/comm" 2>/dev/null)" = crankmux ]; then kill -9 "$node" 2>/dev/null; fi
        done < "$SCRATCH/pids"
    fi
    rm -rf "$SCRATCH"
}
trap clean EXIT
trap 'exit 2' HUP INT TERM
"$program" "$case_name" "$folder" &
player=$!
wait "$player"
code=$?
player=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
