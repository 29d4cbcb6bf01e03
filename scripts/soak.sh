#!/usr/bin/env bash
# Runs four instances as processes under load and injects faults that occur in
# operation: an instance frozen for longer than every timeout between instances, so
# that its peers consider it gone, a killed instance, a graceful restart, an
# unavailable log service and a failing server. Exits with an error if a guarantee
# was violated. SOAK_ROUNDS sets the number of rounds.
. "$(dirname "$0")/world.sh"
ROUNDS=${SOAK_ROUNDS:-1}
LOAD_SECONDS=$((ROUNDS * 44 + 4))
start_world 4
for n in 1 2 3 4; do start_proxy $n; done
publish
./bin/standin load --dir "$DIR" --for "${LOAD_SECONDS}s" &
LOAD=$!
for round in $(seq "$ROUNDS"); do
	sleep 2
	echo "round $round: freezing proxy-1 for 15 s, with the log service down for the first 10 s"
	kill -STOP "${PIDS[1]}"
	./bin/standin log --dir "$DIR" --down
	sleep 10
	./bin/standin log --dir "$DIR"
	sleep 5
	kill -CONT "${PIDS[1]}"
	sleep 2
	echo "round $round: killing and restarting proxy-2"
	kill -KILL "${PIDS[2]}"
	sleep 2
	start_proxy 2
	sleep 2
	echo "round $round: draining and restarting proxy-3"
	kill -TERM "${PIDS[3]}"
	wait "${PIDS[3]}" || { echo "proxy-3 did not drain gracefully:"; tail -3 "$DIR/proxy-3.log"; exit 1; }
	start_proxy 3
	sleep 2
	echo "round $round: stock-3 fails half of its requests"
	./bin/standin fault --dir "$DIR" --share 0.5 stock-3 errors
	sleep 5
	./bin/standin fault --dir "$DIR" stock-3 healthy
	sleep 4
done
wait $LOAD
lagoonctl status | grep -v "requests running" | sort | uniq -c
