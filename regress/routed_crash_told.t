Guards against daemons that start and send a request on that crashes servers, because
the reports on it are no longer in the store: a daemon has keys for 16 notices with
reports, and the store may go back to a copy.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ SERVERS=$(seq -f app%g 10); for s in $SERVERS; do launch_server $s app a; done; for s in $SERVERS; do await test -s $s.ports; done
  $ for d in d1 d2 d3; do start_routed $d; eval "${d}_caller=$CALLER_ADDR"; done; await knows_daemons 3
  $ at() { eval "CALLER_ADDR=\$$1_caller"; shift; "$@"; }
  $ crashes() { wc -l <crashes.log; }
  $ up() { for s in $SERVERS; do stats $s >/dev/null || return 1; done; }
  $ settle() { await up; sleep 0.8; }
  $ deadly() { at $1 status /look/ok -d 'crash it'; }
  $ store_fault '{"checkpoint": true}'

Three crashes under a request.

  $ deadly d1; settle; deadly d1; settle; crashes
  502
  502
  3

The same daemon reports crashes under other requests, one notice for each, until
all its keys have been written again.

  $ for i in 1 2; do for j in $(seq 9); do at d1 status /book/ok -d "crash $i $j"; sleep 0.05; done; settle; done | sort | uniq -c | tr -s ' '
   18 502
  $ DEADLY=$(grep -o '"event":1118.*"traits":"[0-9a-f]*"' d1.log | head -1 | grep -o '[0-9a-f]\{16\}')
  $ cat >count.py <<'END'
  > # Prints how many items under a prefix of the store contain a text.
  > import base64, json, sys, urllib.parse, urllib.request
  > store, prefix, text = sys.argv[1:]
  > n, after, more = 0, "", True
  > while more:
  >     query = urllib.parse.urlencode({"path_prefix": prefix, "after": after})
  >     page = json.load(urllib.request.urlopen(f"http://{store}/v1/kv-range?{query}"))
  >     for item in page["items"]:
  >         n += text in base64.b64decode(item["value"]).decode()
  >         after = item["key"]
  >     more = page["more_pages"]
  > print(n)
  > END
  $ count() { python3 count.py $STORE goldcrest/$1 "$2"; }
  $ count crashed/d1/ reports; count crashed/d1/ $DEADLY
  16
  0

A daemon that starts now.

  $ CRASHES=$(crashes); start_routed d4; d4_caller=$CALLER_ADDR; deadly d4; echo $(($(crashes) - CRASHES))
  503
  0

One that starts after the store went back to a copy without any report.

  $ told() { [ "$(count kept/ $DEADLY)" = 1 ]; }
  $ settle; store_fault '{"restore": true}'; await told
  $ CRASHES=$(crashes); start_routed d5; d5_caller=$CALLER_ADDR; deadly d5; echo $(($(crashes) - CRASHES))
  503
  0

The daemon that is the first to tell ends beside a restore, and starts anew.

  $ await knows_daemons 5; FIRST=d$(python3 -c "print(1 + 0x$DEADLY % 5)")
  $ eval "kill_9 \$${FIRST}_pid"; store_fault '{"restore": true}'; await told
  $ CRASHES=$(crashes); start_routed $FIRST; eval "${FIRST}_caller=$CALLER_ADDR"; deadly $FIRST; echo $(($(crashes) - CRASHES))
  503
  0
