Guards against strangers at the address for other daemons who hold a daemon up: they are
refused before their bodies are read, take none of its memory, and its stop doesn't wait
for them.

Runs alone: a refusal has to come within a second.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store; put_config
  $ start_server app1 app a
  $ start_forwarding 1 a ',"stop_grace_s":8'; start_forwarding 2
  $ await knows_daemons 2

No daemon has the address 127.0.0.77. stranger.py N BYTES: N requests with bodies of 1 MB
of which BYTES are sent; prints how many are answered or closed within a second.

  $ cat >stranger.py <<END
  > import socket, sys, time, select
  > host, port = sys.argv[1].split(":")
  > n, size = int(sys.argv[2]), int(sys.argv[3])
  > conns = []
  > for i in range(n):
  >     s = socket.create_connection((host, int(port)), source_address=("127.0.0.77", 0))
  >     try:
  >         s.sendall(b"POST /look/ok HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n" + b"x" * size)
  >     except OSError:
  >         pass
  >     conns.append(s)
  > time.sleep(1)
  > print(len(select.select(conns, [], [], 0)[0]), flush=True)
  > if len(sys.argv) > 4:
  >     open(sys.argv[4], "w").close()
  >     for i in range(20):
  >         for s in conns:
  >             try: s.sendall(b"x")
  >             except OSError: pass
  >         time.sleep(0.5)
  > END
  $ python3 stranger.py $d1_forward 20 10
  20

100 such requests don't cost the daemon 50 MB.

  $ rss() { awk '/VmRSS/ { print $2 }' /proc/$d1_pid/status; }
  $ before=$(rss); python3 stranger.py $d1_forward 100 990000 started >ended.out & pid=$!
  $ await test -e started; echo $(($(rss) - before > 50000)); cat ended.out; wait $pid
  0
  100

The stop of a daemon with nothing to do takes 3 s of its grace period of 8 s, also while
a stranger sends a byte now and then.

  $ rm started; python3 stranger.py $d1_forward 1 10 started >ended.out & pid=$!
  $ await test -e started; from=$(date +%s%N); kill -TERM $d1_pid; wait $d1_pid; echo $((($(date +%s%N) - from) / 1000000 < 5000)); wait $pid
  1
