Guards against streams that are joined from two software versions of engines: in
one answer, when an engine breaks off, and at a daemon where a caller resumes.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR; start_routed d2; D2=$CALLER_ADDR
  $ draft() { curl -sN --max-time ${MAX_S-10} "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -D $3.head -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ joined() { n=0; for i in $1; do [ $(versions $2$i.out ${3:+$3$i.out} | wc -w) = 2 ] || n=$((n + 1)); done; [ $n = 0 ] && echo none || echo some; }

  $ draft $D1 once-die one; versions one.out
  8 v1

Two versions: what breaks off within an answer goes on at its version.

  $ start_server new1 llm a engine v2; start_server new2 llm b engine v2; start_server new3 llm c engine v2; sleep 0.5
  $ for i in $(seq 12); do draft $D1 once-die in$i; done; cat in*.out | grep -c '^200$'
  12
  $ joined "$(seq 12)" in
  none

A caller that takes its stream up at another daemon names the first try.

  $ for i in $(seq 12); do MAX_S=0.8 draft $D1 slow f$i & done; wait $(jobs -p | tail -n 12) || true
  $ for i in $(seq 12); do draft $D2 ok r$i $(grep -c '^id:' f$i.out) f$i; done; cat r*.out | grep -c '^200$'
  12
  $ joined "$(seq 12)" f r
  none
