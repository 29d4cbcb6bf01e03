#!/usr/bin/env bash
# Runs four instances as processes under load and does to them what happens to
# fleets: freezes longer than every timeout, kills, graceful replacements, and a
# log that is away. Fails if a promise was broken. SOAK_ROUNDS sets how often.
. "$(dirname "$0")/world.sh"
ROUNDS=${SOAK_ROUNDS:-1}
SPAN=$((ROUNDS * 44 + 4))
start_world 4
for n in 1 2 3 4; do start_proxy $n; done
publish
./bin/standin load --dir "$DIR" --for "${SPAN}s" &
LOAD=$!
for round in $(seq "$ROUNDS"); do
	sleep 2
	echo "round $round: proxy-1 is frozen for 15 s, and the log is away for 10 of them"
	kill -STOP "${PIDS[1]}"
	./bin/standin log --dir "$DIR" --down
	sleep 10
	./bin/standin log --dir "$DIR"
	sleep 5
	kill -CONT "${PIDS[1]}"
	sleep 2
	echo "round $round: proxy-2 is killed and started again"
	kill -KILL "${PIDS[2]}"
	sleep 2
	start_proxy 2
	sleep 2
	echo "round $round: proxy-3 leaves gracefully and is started again"
	kill -TERM "${PIDS[3]}"
	wait "${PIDS[3]}" || { echo "proxy-3 did not leave gracefully:"; tail -3 "$DIR/proxy-3.log"; exit 1; }
	start_proxy 3
	sleep 2
	echo "round $round: stock-3 fails half of its work"
	./bin/standin fault --dir "$DIR" --share 0.5 stock-3 errors
	sleep 5
	./bin/standin fault --dir "$DIR" stock-3 healthy
	sleep 4
done
wait $LOAD
lagoonctl status | grep -v "requests running" | sort | uniq -c
