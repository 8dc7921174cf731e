Guards against a generation that ends each engine that begins to run it and is
started at one engine after the other.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ for i in 1 2 3 4 5 6; do start_engine e$i --crash-on deadly; done
  $ start_daemon d1
  $ alive() { n=0; for i in 1 2 3 4 5 6; do eval "kill -0 \$e${i}_pid" 2>/dev/null && n=$((n + 1)); done; echo $n; }

  $ PROMPT='a deadly list' stream $d1_url 5 | grep -o '"run":"[a-z_]*"\|engines ended before the first token'
  engines ended before the first token
  "run":"in_doubt"
  $ sleep 0.5; alive
  3

Other generations go on.

  $ stream $d1_url 20 >out; chain out
  whole 20
