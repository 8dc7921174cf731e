Guards against a stream that goes on at another version, at a daemon whose watch of the
store is late while servers of that version join, for a caller that names no stream.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR

The second daemon's answers to watches come through a relay that holds them for a time.

  $ python3 "$TOP/regress/late_watch.py" late.port $STORE 4 late & pids="$pids $!"
  $ await test -s late.port; REAL=$STORE; STORE=127.0.0.1:$(cat late.port); start_routed d2; D2=$CALLER_ADDR; STORE=$REAL
  $ draft() { curl -sN --max-time ${MAX_S-10} "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ await has_base llm v1; touch late; LATE=$(date +%s%3N); for s in new1 new2 new3; do start_server $s llm a engine v2; done
  $ for i in $(seq 8); do MAX_S=0.6 draft $D1 slow b$i & done; wait $(jobs -p | tail -n 8) || true

A list counts as recent for 2 s.

  $ left_ms=$((LATE + 2600 - $(date +%s%3N))); sleep $((left_ms > 800 ? left_ms : 800))e-3
  $ for i in $(seq 8); do draft $D2 ok u$i $(grep -c '^id:' b$i.out); done
  $ for i in $(seq 8); do versions b$i.out u$i.out; done | grep -c 'v1.*v2'
  0
  [1]
  $ grep -h -o '"code":"[a-z_]*"' u?.out | sort | uniq -c
        8 "code":"version_unknown"
