Guards against a configuration that ends a daemon, takes all of its memory or keeps it
from ever reading the store again. The former one stays in force, the log says why,
and the next sound one is taken.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a

Two daemons watch the store, the third one asks them.

  $ for i in 1 2 3; do start_routed d$i; eval "d${i}_caller=$CALLER_ADDR d${i}_control=$CONTROL_ADDR"; done
  $ await knows_daemons 3
  $ at_each() { for i in 1 2 3; do CALLER_ADDR=$(eval echo \$d${i}_caller) "$@"; done | xargs; }
  $ all_are() { [ "$(at_each status $2)" = "$1 $1 $1" ]; }
  $ write() { CONFIG_VERSION=$((CONFIG_VERSION + 3)); python3 "$TOP/regress/bad_config.py" $1 $CONFIG_VERSION >bad.json; curl -s "http://$STORE/operator" -d @bad.json >/dev/null; }
  $ sound() { put_config ",{\"name\":\"$1\",\"host\":\"h.example\",\"path_prefix\":\"/$1/\",\"kind\":\"idempotent\",\"service\":\"app\"}"; await all_are 200 /$1/ok; }
  $ said() { for i in 1 2 3; do tail -n +$((1 + $(cat d$i.lines))) d$i.log | grep "\"event\":$1" | tail -n 1 | grep -o '"error":"[^"]*"\|"bytes":"[^"]*"'; done | sort | uniq -c | sed 's/^ *//'; }
  $ mark() { for i in 1 2 3; do wc -l <d$i.log >d$i.lines; done; }
  $ bad() { mark; write $1; sleep ${2-1}; at_each status /look/ok; }

Those that can't be decoded; the log names the place.

  $ for k in cut cut_end nul; do echo $k; bad $k; said 1603; sound after_$k; done
  cut
  200 200 200
  3 "error":"routes: element 17 at byte 2959: not a JSON value"
  cut_end
  200 200 200
  3 "error":"byte 8[0-9]*: '}' expected near end of file" (re)
  nul
  200 200 200
  3 "error":"byte 1: '[' or '{' expected near end of file"

Of two routes with the same host and path prefix the first one counts.

  $ bad twice; for i in 1 2 3; do tail -n +$((1 + $(cat d$i.lines))) d$i.log | grep '"event":1622' | grep -o '"element":"[0-9]*"'; done; sound after_twice
  200 200 200
  "element":"20"
  "element":"20"
  "element":"20"

Those that are only large are taken.

  $ for k in keys names largest; do echo $k; bad $k; said 1602; sound after_$k; done
  keys
  200 200 200
  3 "bytes":"4009[0-9]*" (re)
  names
  200 200 200
  3 "bytes":"2008[0-9]*" (re)
  largest
  200 200 200
  3 "bytes":"6290[0-9]*" (re)

Those that are too large for a response of the store. The next one isn't read by a
watch, which would send them again, but by a list.

  $ for k in many larger; do echo $k; bad $k 2.5; said 1600; sound after_$k; done
  many
  200 200 200
  3 "error":"the response body is longer than 8388608 bytes"
  larger
  200 200 200
  3 "error":"the response body is longer than 8388608 bytes"

Changes that are too large for one response together.

  $ store_fault '{"mode":"reset"}'; sleep 1
  $ for i in 1 2 3; do write largest; done
  $ store_fault '{"mode":"ok"}'; sound late

The memory of a daemon is bounded (docs/CAPACITY.md).

  $ for i in 1 2 3; do awk -v own=${SANITIZER_KB:-0} '/VmHWM/ { print ($2 < 262144 + own ? "under 256 MB" : $2) }' /proc/$(eval echo \$d${i}_pid)/status; done
  under 256 MB
  under 256 MB
  under 256 MB
