Guards against roll-outs that are decided wrongly, that expose too many requests to a
bad version, or that take it back too late: with four daemons, a good version, one that
fails, a slow one, one that turns bad late, and one that is bad on one route.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ LOAD="$TOP/regress/limit_load.py"; CHECK="$TOP/regress/rollout_load.py"
  $ now() { python3 -c 'import time; print(time.monotonic())'; }
  $ start_store
  $ put_config
  $ for s in old1 old2 old3; do start_server $s app a plain v1; done
  $ for d in 1 2 3 4; do start_routed d$d ',"rollout_share":0.1,"rollout_slack":50'; eval "D$d=$CALLER_ADDR"; done
  $ await knows_daemons 4
  $ OLD=old1.ports,old2.ports,old3.ports
  $ bad() { for s in $2; do curl -s "http://127.0.0.1:$(cat $s.ports)/bad" -d "$1" >/dev/null; done; }
  $ bad '{"work_ms": 20}' "old1 old2 old3"

start_version VERSION PREFIX JSON: starts three servers of a version that are bad as
JSON says, and orders the roll-out; load S: sends requests of two kinds to all daemons.

  $ start_version() { for n in 1 2 3; do start_server $2$n app a plain $1; done; bad "$3" "$2"'1 '"$2"'2 '"$2"3; sleep 0.7; SINCE=$(now); operator "{\"key\":\"op/rollout/app\",\"value\":{\"service\":\"app\",\"target\":\"$1\",\"duration_s\":${DURATION-7}}}"; }
  $ load() { python3 "$LOAD" send 70 $1 /look/ok $D1 $D2 $D3 $D4 >look.out & python3 "$LOAD" send 50 $1 /book/ok $D1 $D2 $D3 $D4 >book.out & }
  $ files() { echo $1"1.ports,"$1"2.ports,"$1"3.ports"; }
  $ await_state() { python3 "$CHECK" await $STORE app $1 12 $2; }
  $ checks() { sleep 1; UNTIL=$(python3 -c "print($SINCE + ${DURATION-7})"); python3 "$CHECK" exposure $SINCE $UNTIL 0.1 50 $(files $1) $OLD,$(files $1); python3 "$CHECK" withdrawn $SINCE 50 5 $(files $1); wait $(jobs -p | tail -n 2) || true; }
  $ gone() { for n in 1 2 3; do operator "{\"key\":\"servers/$1$n\",\"remove\":true}"; eval "kill \$$1${n}_pid"; done; }

One that fails 30 % of its requests.

  $ load 9; start_version v2 fail '{"work_ms": 20, "fail": 0.3}'; await_state rolled_back v2
  rolled_back v2
  $ checks fail; AFTER=$(now)
  within the bound
  withdrawn
  $ load 2; sleep 2.5; python3 "$CHECK" used $AFTER $(files fail)
  0
  $ gone fail

One that is five times as slow.

  $ load 9; start_version v3 slow '{"work_ms": 20, "slow": 5}'; await_state rolled_back v3
  rolled_back v3
  $ checks slow; gone slow
  within the bound
  withdrawn

One that turns bad after some requests.

  $ load 9; start_version v4 late '{"work_ms": 20, "fail": 0.5, "after_requests": 9}'; await_state rolled_back v4
  rolled_back v4
  $ checks late; gone late
  within the bound
  withdrawn

One that is bad on one route.

  $ load 9; start_version v5 route '{"work_ms": 20, "fail": 0.5, "path": "/book/"}'; await_state rolled_back v5
  rolled_back v5
  $ checks route; gone route
  within the bound
  withdrawn

A good one: the old servers get nothing more.

  $ load 10; start_version v6 good '{"work_ms": 20}'; await_state succeeded v6
  succeeded v6
  $ sleep 0.5; AFTER=$(now); wait $(jobs -p | tail -n 2) || true; cat look.out book.out
  200:700
  200:500
  $ python3 "$CHECK" used $AFTER $OLD; [ $(python3 "$CHECK" used $AFTER $(files good)) -gt 50 ] && echo used
  0
  used
  $ gone old; load 2; sleep 2.5; cat look.out book.out
  200:140
  200:100
