# Functions shared by the scripts that run a fleet as separate processes. The shell
# starts and signals all processes; the programs start and signal none.
set -euo pipefail
cd "$(dirname "$0")/.."
DIR=$(mktemp -d)
declare -A PIDS

stop_all() {
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$DIR"
}
trap stop_all EXIT

# start_world COUNT starts the platform and the servers in one process, and waits
# until it has written the settings of COUNT instances.
start_world() {
	./bin/standin world --dir "$DIR" --instances "$1" &
	PIDS[world]=$!
	until [ -s "$DIR/world.json" ]; do sleep 0.05; done
	PLATFORM=$(sed -E 's/.*"platform":"([^"]+)".*/\1/' "$DIR/world.json")
}

# start_proxy NUMBER starts the instance with the given number.
start_proxy() {
	./bin/lagoonstile serve --settings "$DIR/proxy-$1.toml" 2>>"$DIR/proxy-$1.log" &
	PIDS[$1]=$!
}

lagoonctl() {
	./bin/lagoonctl --log "$PLATFORM" --instances "$PLATFORM" "$@"
}

# publish publishes the inventory and the rules, and waits until they are in force.
publish() {
	lagoonctl publish --inventory "$DIR/inventory.toml" --rules "$DIR/rules.toml" --wait
}
