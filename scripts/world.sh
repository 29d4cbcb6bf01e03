# Functions of the scripts that run a fleet as separate processes. Only this
# shell starts and signals processes; no program of ours does.
set -euo pipefail
cd "$(dirname "$0")/.."
DIR=$(mktemp -d)
declare -A PIDS

finish() {
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$DIR"
}
trap finish EXIT

start_world() {
	./bin/standin world --dir "$DIR" --instances "$1" &
	PIDS[world]=$!
	until [ -s "$DIR/world.json" ]; do sleep 0.05; done
	PLATFORM=$(sed -E 's/.*"platform":"([^"]+)".*/\1/' "$DIR/world.json")
}

start_proxy() {
	./bin/lagoonstile serve --settings "$DIR/proxy-$1.toml" 2>>"$DIR/proxy-$1.log" &
	PIDS[$1]=$!
}

lagoonctl() {
	./bin/lagoonctl --log "$PLATFORM" --instances "$PLATFORM" "$@"
}

publish() {
	lagoonctl publish --inventory "$DIR/inventory.toml" --rules "$DIR/rules.toml" --wait
}
