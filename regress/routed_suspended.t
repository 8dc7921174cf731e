Guards against a daemon whose machine was suspended for seconds, which the monotonic
clock doesn't count, and that goes by what it knew before: keys that were withdrawn
and software versions that joined meanwhile.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR
  $ goldcrestd() { exec "$TOP/regress/bin/goldcrestd-suspended" "$@"; }
  $ start_routed d2; D2=$CALLER_ADDR; start_routed d3; D3=$CALLER_ADDR
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

Servers of another version join while a daemon stands still, to which the former one has
been the only one for a minute. Streams begin there through another daemon and are taken
up at the first one as it wakes.

  $ sleep 60
  $ kill -STOP $d3_pid
  $ start_server new1 llm a engine v2; start_server new2 llm b engine v2; start_server new3 llm c engine v2; sleep 2
  $ p=; for i in $(seq 12); do MAX_S=0.8 draft $D1 slow f$i & p="$p $!"; done; wait $p || true
  $ versions f*.out | grep -o v2
  v2
  $ p=; for i in $(seq 12); do draft $D3 ok r$i $(grep -c '^id:' f$i.out) f$i & p="$p $!"; done; sleep 0.3; kill -CONT $d3_pid; wait $p
  $ joined "$(seq 12)" f r
  joined: 0
