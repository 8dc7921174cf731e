Guards against daemons that serve nobody while something between them and all
backend servers takes and acknowledges their connections and bytes, and nothing is
ever answered: no link fails, but other daemons hear the servers.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app a; start_server app3 app b
  $ start_server llm1 llm a engine; start_server llm2 llm b engine
  $ APPS="app1 app2 app3"; SERVERS="$APPS llm1 llm2"
  $ for n in 1 2 3 4 5 6; do start_forwarding $n; done
  $ registered() { for n in 1 2 3 4 5 6; do curl -s "http://$STORE/v1/kv-range?path_prefix=goldcrest/daemons/d$n" | grep -q '"key"' || return 1; done; }
  $ await registered; sleep 1
  $ events() { cat d?.log | grep -c "\"event\":$1" || true; }
  $ runs() { cat runs.log | wc -l; }

load SECONDS DAEMONS PATH: prints how many of 5 requests a second at each were served,
and how many were sent. as_often: true if the first pair of numbers is at least two
thirds as good as the second one, the target for daemons that are cut off.

  $ load() { local addrs= n=0; for d in $2; do eval "addrs=\"\$addrs \$d${d}_caller\""; n=$((n + 5)); done; "$TOP/regress/limit_load.py" send $n $1 "$3" $addrs | tr ' :' '\n ' | awk -v n=$((n * $1)) '$1 == 200 { ok = $2 } END { print ok + 0, n }'; }
  $ as_often() { awk -v a="$1" -v b="$2" 'BEGIN { split(a, x, " "); split(b, y, " "); if (x[1] * y[2] * 3 >= 2 * y[1] * x[2] && y[1] * 10 >= 9 * y[2]) print "ok"; else print a ", " b }'; }

While links are sound, nobody is asked, also while all servers are stopped for a
moment, and nothing is passed on.

  $ load 2 "1 2 3 4 5 6" /look/ok
  60 60
  $ for s in $APPS; do field $s queries; done | sort -u
  0
  $ (load 3 "1 2 3 4 5 6" /look/ok >stopped.out) & load=$!; sleep 0.5
  $ kill -STOP $app1_pid $app2_pid $app3_pid; sleep 1.3; kill -CONT $app1_pid $app2_pid $app3_pid; wait $load
  $ events 1130; events 1132
  0
  0
  $ load 2 "1 2 3 4 5 6" /look/ok
  60 60

Servers that only take long still answer load queries.

  $ hang() { for _ in $(seq 6); do CALLER_ADDR=$d1_caller status /look/hang & done; wait $!; sleep 0.3; }
  $ hang | sort | uniq -c | tr -s ' '; events 1130
   6 504
  0

Four of six are cut off. From 3 s after that, lookups, bookings and streams are served
there as elsewhere; bookings run once.

  $ partition mute "$SERVERS" "11 12 13 14"
  $ for path in '/look/ok' '/draft/ok?{}'; do (load 3 "1 2 3 4" $path >begin.out) & (load 3 "5 6" $path >begin2.out) & done; sleep 3
  $ for path in /look/ok /book/ok '/draft/ok?{}'; do
  >   before=$(runs); (load 3 "1 2 3 4" $path >there.out) & there=$!; load 3 "5 6" $path >elsewhere.out; wait $there
  >   as_often "$(cat there.out)" "$(cat elsewhere.out)"; echo "$path: $(cat there.out), $(cat elsewhere.out)" >>figures.txt
  >   [ $path != /book/ok ] || tail -n +$((before + 1)) runs.log | sort | uniq -d
  > done
  ok
  ok
  ok
  $ echo $(for d in 1 2 3 4 5 6; do grep -c '"event":1130' d$d.log || true; done)
  2 2 2 2 0 0

Links come back: the daemons find out by themselves.

  $ reconnect "$SERVERS"; sleep 1.5; PASSED=$(events 1132)
  $ load 2 "1 2 3 4 5 6" /look/ok; echo $(($(events 1132) - PASSED))
  60 60
  0
