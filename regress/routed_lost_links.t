Guards against a daemon that has lost its links to servers, takes them for crashed,
and makes all daemons refuse sound requests.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a; start_server app2 app b; start_server app3 app c
  $ for n in 1 2 3 4; do start_forwarding $n; done
  $ await knows_daemons 4; await grep -q '"message":"backend server ready".*app3' d4.log
  $ at() { eval "CALLER_ADDR=\$d$1_caller"; shift; "$@"; }
  $ lookups() { for i in 1 2 3 4 5 6 7 8; do for d in $*; do at $d status '/look/ok?popular'; done; done | sort | uniq -c | tr -s ' '; }
  $ crashes() { cat d?.log | grep -c '"event":1118'; }
  $ blocked() { cat d?.log | grep -c '"event":1117'; }
  $ ALL='app1 app2 app3'

One daemon of four loses all its links: its connections are reset. All callers send
the same request.

  $ lookups 1 2 3 4
   32 200
  $ partition reset "$ALL" 11
  $ for i in 1 2 3 4 5 6; do at 1 status '/look/ok?popular' >/dev/null; at 1 status /book/ok >/dev/null; sleep 0.2; done
  $ lookups 2 3 4
   24 200
  $ crashes; blocked
  0
  0
  [1]

Three of four do, so that those that are asked may have lost theirs as well.

  $ partition reset "$ALL" '11 12 13'
  $ for i in 1 2 3 4 5 6; do for d in 1 2 3; do at $d status '/look/ok?popular' >/dev/null; done; sleep 0.2; done
  $ lookups 4
   8 200
  $ crashes; blocked
  0
  0
  [1]

Two lose the links to two servers, and reach the third one.

  $ reconnect "$ALL"; sleep 2; lookups 1 2 3 4
   32 200
  $ partition reset 'app1 app2' '11 12'; sleep 0.5
  $ lookups 1 2 3 4 >/dev/null; sleep 1; lookups 3 4
   16 200
  $ crashes; blocked
  0
  0
  [1]
  $ reconnect 'app1 app2'; sleep 2; lookups 1 2 3 4
   32 200

A server does crash, while the daemons that are asked give no answer: its new start
shows it.

  $ kill -STOP $d2_pid $d3_pid $d4_pid
  $ at 1 status /book/ok -d 'crash 1'
  502
  $ reported() { [ "$(crashes)" = 1 ]; }
  $ sleep 1; crashes; await reported
  0
  $ kill -CONT $d2_pid $d3_pid $d4_pid
