Guards against a daemon that goes on by an old configuration for seconds after the store is
back without its history: the daemons that watch the store can't tell it what has changed,
and it waited for the end of a pause that it had begun while they could.

Runs alone: it measures the time until a change is in effect.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ moved() { put_config ",{\"name\":\"moved\",\"host\":\"h.example\",\"path_prefix\":\"/moved/\",\"kind\":\"idempotent\",\"service\":\"$1\",\"anonymous\":true,\"max_attempts\":2,\"timeout_ms\":1500}"; }
  $ start_store; moved app; start_server app1 app a; start_server llm1 llm a
  $ for d in 1 2 3; do start_routed d$d ",\"failure_domain\":\"z$d\""; done; sleep 2

The first two watch the store. An outage ends 0.1 s after the third one has called it, or
has waited for the last time, when several calls in a row have failed: HOW is the mode of
the store, WHEN a pattern of the third one's last choice (1624).

  $ chosen() { grep '"event":1624' d3.log | tail -n 1 | grep -q "$1"; }
  $ run_by() { AUTH= send_request /moved/ok | grep -o '"server": "[a-z0-9]*"' | cut -d '"' -f 4; }
  $ now_ms() { echo $(($(date +%s%N) / 1000000)); }
  $ outage() { store_fault "{\"mode\":\"$1\"}"; sleep 2.5; store_fault '{"compact":true}'; sleep 2; await chosen "$2"; sleep 0.1; store_fault '{"mode":"ok"}'; }

A change 0.3 s later is in effect within contact_ms (3000) of the end of the outage.

  $ change_after() { local back; outage $1 "$2"; back=$(now_ms); sleep 0.3; moved $3; while [ "$(run_by)" != $4 ] && [ $(($(now_ms) - back)) -le 3000 ]; do sleep 0.02; done; echo "$(($(now_ms) - back))" >>ms.out; [ "$(run_by)" = $4 ] && echo in effect; }
  $ change_after silent '"source":"store".*"store_failures":"[2-9]"' llm llm1; sleep 3
  in effect
  $ change_after reset '"source":"\(none\|daemon\)".*"store_failures":"[4-9]"' app app1; sleep 3
  in effect
  $ change_after silent '"source":"store".*"store_failures":"[2-9]"' llm llm1; sleep 3
  in effect
  $ change_after reset '"source":"\(none\|daemon\)".*"store_failures":"[4-9]"' app app1
  in effect
