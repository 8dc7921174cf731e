Guards against streams that are joined from two software versions of engines after the
store went back to a copy that lacks their records, at a daemon that doesn't know of the
restore as it started later, and against a refusal of all others.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server old1 llm a engine v1; start_server old2 llm b engine v1
  $ start_routed d1; D1=$CALLER_ADDR; start_routed d2; D2=$CALLER_ADDR
  $ draft() { curl -sN --max-time ${MAX_S-10} "http://$1/draft/$2" -H "Host: h.example" -H "Goldcrestfield-Request-Id: $3" -H "Authorization: Token key-1" -H "Goldcrestfield-Deadline-Ms: 9000" ${4:+-H "Last-Event-Id: $4"} ${5:+-H "Resumes: $5"} -w '%{http_code}\n' >$3.out; }
  $ versions() { cat $* | grep -o 'token.*' | cut -d' ' -f3 | sort | uniq -c | xargs; }
  $ joined() { n=0; for i in $1; do [ $(versions $2$i.out $3$i.out | wc -w) = 2 ] || n=$((n + 1)); done; echo "joined: $n"; }
  $ begin() { p=; for i in $(seq 16); do MAX_S=${3-0.8} draft $1 ${4-slow} $2$i & p="$p $!"; done; wait $p || true; }
  $ resume() { for i in $(seq 16); do draft $1 ok $2$i $(grep -c '^id:' $3$i.out) $3$i; done; tail -q -n 1 $2*.out | sort | uniq -c | awk '{ print $1, $2 }'; }
  $ keeps_era() { curl -s "http://$STORE/v1/kv-key?key=goldcrest%2Fera" | grep -q "\"value\": *\"$(printf $1 | base64)\""; }
  $ await keeps_era 1; await has_base llm v1

Streams begin while there is one version, and others after another one has joined.

  $ (begin $D2 early 2 steady >early.txt 2>&1) & early=$!
  $ sleep 0.2; start_server new1 llm a engine v2; start_server new2 llm b engine v2; sleep 0.5
  $ store_fault '{"checkpoint": true}'
  $ begin $D1 lost; begin $D2 kept; versions lost*.out | awk '{ print NF }'; versions kept*.out | grep -c v2
  4
  1
  $ wait $early

The daemon of the first ones is killed, then the store comes back from the copy. A new
daemon takes no stream up at a version that may be the wrong one. Those of the daemon
that stayed up go on, as new ones begin.

  $ kill_9 $d1_pid; store_fault '{"restore": true}'; start_routed d3; D3=$CALLER_ADDR
  $ resume $D3 more lost >lost.txt; joined "$(seq 16)" lost more
  joined: 0
  $ grep -h -o 'version_unknown' more*.out | sort -u
  version_unknown
  $ sleep 1; resume $D3 back kept; joined "$(seq 16)" kept back
  16 200
  joined: 0
  $ resume $D3 later early; joined "$(seq 16)" early later
  16 200
  joined: 0
  $ begin $D3 next; cat next*.out | grep -c '^id: 1$'; resume $D2 onward next; joined "$(seq 16)" next onward
  16
  16 200
  joined: 0

Nobody survives the next restore.

  $ store_fault '{"checkpoint": true}'; begin $D2 dead
  $ kill_9 $d2_pid; kill_9 $d3_pid; store_fault '{"restore": true}'
  $ start_routed d4; D4=$CALLER_ADDR; start_routed d5; D5=$CALLER_ADDR
  $ resume $D4 gone dead >gone.txt; joined "$(seq 16)" dead gone
  joined: 0
  $ grep -c '"event":1617' d4.log
  1
  $ begin $D4 fresh; resume $D5 again fresh; joined "$(seq 16)" fresh again
  16 200
  joined: 0

A minute after a restore, the era is kept: who starts then knows of none.

  $ await keeps_era 1; sleep 58; await keeps_era 3
  $ start_routed d6; grep -c '"event":1617' d6.log
  0
  [1]
