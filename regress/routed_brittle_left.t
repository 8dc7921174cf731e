Guards against a daemon that asks for places at a brittle server again and again and
gives them back each time, as the requests that wait have left that server: it kept
others from places, and its own loops busy.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"find","host":"h.example","path_prefix":"/find/","kind":"idempotent","service":"app","max_attempts":2,"timeout_ms":6000,"target_latency_ms":400}'
  $ start_server app1 app a; start_server app2 app a
  $ start_routed d1; DEADLINE=8000
  $ brittle() { "$TOP/regress/brittle_load.py" set "$@" app1.ports app2.ports; }
  $ asks() { curl -s "http://$CONTROL_ADDR/metrics" | awk '$1 == "goldcrest_place_asks_total" { print $2 }'; }
  $ brittle /slots '{"slots": 4, "work_ms": 50, "room": 4}'; brittle /brittle '{"n": "6", "room": 4}'
  $ for _ in 1 2 3 4; do status /find/ok & done >warm.out; wait $!; sleep 1

Four requests, two at each server. Those at one of them leave it when it is silent for
longer than the route allows, and wait for the other one, which is full. The left one
has places; none of the requests may use them.

  $ brittle /slots '{"slots": 1, "work_ms": 900, "room": 4}'; ASKS=$(asks)
  $ for _ in 1 2 3 4; do status /find/ok & done >statuses.out; wait $(jobs -p | tail -n 4); sort statuses.out | uniq -c
        4 200

An ask that finds no place waits for 30 ms, and one at a time is under way for a
server: 67 in 2 s at each of two. The rest are reports of changes.

  $ N=$(($(asks) - ASKS)); [ $N -le 200 ] && echo ok || echo "$N asks"
  ok
