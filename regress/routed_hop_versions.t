Guards against streams that are joined from two software versions of engines after a
daemon that ran them for another one was lost before their first event.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ for n in 1 2 3; do start_forwarding $n; done
  $ await knows_daemons 3; await has_base llm v1
  $ start_server new1 llm a engine v2; start_server new2 llm b engine v2; sleep 0.5
  $ draft() { curl -sN --max-time ${MAX_S-10} "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ begun() { for i in $1; do ! grep -q '^id:' $2$i.out || echo $i; done; }
  $ joined() { n=0; for i in $1; do [ $(versions $2$i.out $3$i.out | wc -w) = 2 ] || n=$((n + 1)); done; echo "joined: $n"; }
  $ SERVERS="old1 old2 new1 new2"
  $ partition reset "$SERVERS" 11
  $ for i in 1 2 3 4 5 6; do draft $d1_caller ok find$i; done; sleep 0.5

The first server to get a stream reads its prompt for seconds. The daemon that waits for
it is killed; another one begins the stream at once.

  $ p=; for i in $(seq 60); do MAX_S=1.8 draft $d1_caller turns-wait-slow f$i & p="$p $!"; done; sleep 1
  $ kill_9 $d2_pid; wait $p || true
  $ F=$(begun "$(seq 60)" f); [ $(echo $F | wc -w) -ge 10 ] && echo begun
  begun
  $ versions f*.out | awk '{ print NF }'
  4
  $ for i in $F; do draft $d3_caller ok r$i $(grep -c '^id:' f$i.out) f$i; done
  $ joined "$F" f r
  joined: 0
  $ N=$(cat r*.out | grep -c '^200$'); [ $N = $(echo $F | wc -w) ] && echo all
  all
