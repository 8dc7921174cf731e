Guards against harm by daemons of an older build beside newer ones, as during an
upgrade: they know nothing of places at brittle servers, pass no requests on, and
report that servers crashed when they are cut off themselves.

Runs alone: each of 240 lookups is served only if daemons answer each other in 60 ms.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ OLD=$("$TOP/regress/old_build.sh" 92654f6 "${OLD_BUILDS-$PWD/old-builds}") && [ -x "$OLD" ]
  $ NEW=$(command -v goldcrestd)

Old builds have neither a listener for other daemons nor a setting of the address
that they open connections from.

  $ cc -shared -fPIC -o source.so "$TOP/regress/source_address.c" -ldl
  $ goldcrestd() {
  >   [ $USE = new ] && exec "$NEW" "$@"
  >   SOURCE=$(sed -n 's/.*"source":"\([0-9.]*\)".*/\1/p' $2)
  >   sed -i 's/"source":"[0-9.]*","forward":"[0-9.:]*",//' $2
  >   SOURCE_ADDRESS=$SOURCE LD_PRELOAD=${SOURCE:+$PWD/source.so} exec "$OLD" "$@"
  > }
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a; start_server app3 app b
  $ now() { python3 -c 'import time; print(time.monotonic())'; }
  $ brittle() { "$TOP/regress/brittle_load.py" "$@" app1.ports app2.ports app3.ports; }
  $ load() { "$TOP/regress/limit_load.py" send "$@"; }

Half of eight daemons are old; the new ones name what the old ones lack.

  $ for n in 1 3 5 7; do USE=old; start_forwarding $n; old="$old $CALLER_ADDR"; done
  $ for n in 2 4 6 8; do USE=new; start_forwarding $n; new="$new $CALLER_ADDR"; done
  $ for n in 1 2; do curl -s "http://$STORE/v1/kv-key?key=goldcrest/daemons/d$n" | python3 -c 'import base64, json, sys; print(json.loads(base64.b64decode(json.load(sys.stdin)["value"])).get("capabilities"))'; done
  None
  ['places', 'witness', 'rollouts']

Three brittle servers take 100 requests a second. Below that, new daemons serve all
of theirs, and old ones as well. At that, servers fall at most as often as with old
daemons only.

  $ brittle set /slots '{"slots": 4, "work_ms": 120, "room": 16}'; load 50 2 '/look/{}/ok' $old $new >warm.out
  $ both() { (load $1 $2 '/look/{}/ok' $old >old.out) & load $1 $2 '/look/{}/ok' $new >new.out; wait $!; }
  $ SINCE=$(now); brittle set /brittle '{"n": "6", "room": 2, "after_ms": 3000}'
  $ both 30 8; brittle falls $SINCE; cat old.out new.out
  0
  200:240
  200:240
  $ SINCE=$(now); both 50 12; FALLS=$(brittle falls $SINCE)
  $ brittle set /brittle '{}'; sleep 4; load 50 2 '/look/{}/ok' $old $new >warm.out
  $ SINCE=$(now); brittle set /brittle '{"n": "6", "room": 2}'
  $ load 100 12 '/look/{}/ok' $old >only.out; ONLY_OLD=$(brittle falls $SINCE)
  $ echo "falls at 100/s: $FALLS, $ONLY_OLD with old daemons only; new: $(cat new.out) old: $(cat old.out)" >>figures.txt
  $ [ $FALLS -le $ONLY_OLD ] && echo ok || tail -n 1 figures.txt
  ok
  $ brittle set /brittle '{}'; sleep 4; brittle set /slots '{"slots": 0, "work_ms": 0, "room": 0}'; load 50 2 '/look/{}/ok' $old $new >warm.out

Three daemons are cut off from all servers, two of them old. Many ask for the same
there. It is refused at no new daemon, nor at one that is cut off itself once it
has found out; the old ones lose what they are sent.

  $ asked() { "$TOP/regress/limit_load.py" send $1 $2 /look/ok $3; }
  $ partition reset "app1 app2 app3" "11 12 13"
  $ (asked 20 10 "$d1_caller $d3_caller" >cut_old.out) & pids="$pids $!"; CUT=$!
  $ asked 20 1 $d2_caller >find.out
  $ asked 30 8 "$d4_caller $d6_caller $d8_caller"; asked 20 1 $d2_caller; wait $CUT
  200:240
  200:20
  $ cat figures.txt cut_old.out >>"${FIGURES-/dev/null}"
  $ tr ' ' '\n' <cut_old.out | grep -o '^502:'
  502:
