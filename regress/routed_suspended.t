Guards against a daemon whose machine was suspended for seconds, which the monotonic
clock doesn't count, and that goes by what it knew before: keys that were withdrawn
and software versions that joined meanwhile. Also against one that is cut off from the
store as servers of another version join, while its list still counts as recent.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR
  $ goldcrestd() { exec "$TOP/regress/bin/goldcrestd-suspended" "$@"; }
  $ start_routed d2; D2=$CALLER_ADDR; start_routed d3; D3=$CALLER_ADDR
  $ python3 "$TOP/regress/late_watch.py" late.port $STORE 3600 late & pids="$pids $!"
  $ await test -s late.port; REAL=$STORE; STORE=127.0.0.1:$(cat late.port); start_routed d4 ',"failure_domain":"b"'; D4=$CALLER_ADDR; STORE=$REAL
  $ draft() { curl -sN --max-time ${MAX_S-10} "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ joined() { n=0; for i in $1; do [ $(versions $2$i.out $3$i.out | wc -w) = 2 ] || n=$((n + 1)); done; echo "joined: $n"; }

A key is withdrawn while the daemon stands still, longer than withdrawn keys may work.

  $ CALLER_ADDR=$D2; AUTH=' Token key-2' status /look/ok
  200
  $ kill -STOP $d2_pid; put_config '' ''; sleep 6
  $ p=; for i in 1 2 3 4; do (AUTH=' Token key-2' status /look/ok >key.$i) & p="$p $!"; done; sleep 0.3; kill -CONT $d2_pid; wait $p
  $ cat key.? | grep -c '^200$'
  0
  [1]
  $ CALLER_ADDR=$D1; AUTH=' Token key-2' status /look/ok
  401

Servers of another version join while a daemon is cut off from the store, to which the
former one has been the only one for a minute. Streams that begin then at another daemon
are taken up there at once: those of the new version, which it has no server of, have to
go elsewhere.

  $ sleep 59; (until [ -e late ]; do operator '{"key":"servers/tick","value":{}}'; sleep 0.1; done) & pids="$pids $!"; sleep 2
  $ touch late; kill -STOP $d3_pid
  $ for s in new1 new2 new3; do launch_server $s llm a engine v2; done; await test -s new1.ports -a -s new2.ports -a -s new3.ports; sleep 0.2
  $ p=; for i in $(seq 16); do MAX_S=0.6 draft $D1 slow g$i & p="$p $!"; done; wait $p || true
  $ p=; for i in $(seq 16); do draft $D4 ok s$i $(grep -c '^id:' g$i.out) g$i & p="$p $!"; done; wait $p || true
  $ joined "$(seq 16)" g s; cat s*.out | grep -c '^200$\|version_gone'
  joined: 0
  16
  $ rm late

They join while the machine of a daemon is suspended. Streams begin there through another
daemon and are taken up at the first one as it wakes.

  $ sleep 2
  $ p=; for i in $(seq 12); do MAX_S=0.8 draft $D1 slow f$i & p="$p $!"; done; wait $p || true
  $ versions f*.out | grep -o v2
  v2
  $ p=; for i in $(seq 12); do draft $D3 ok r$i $(grep -c '^id:' f$i.out) f$i & p="$p $!"; done; sleep 0.3; kill -CONT $d3_pid; wait $p
  $ joined "$(seq 12)" f r
  joined: 0
