Guards against a failed watch at another daemon that counts as an answer: the
daemon would go on to confirm a configuration that it can't read.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ store_fault '{"mode":"ok","omit_era":1000000}'
  $ put_config
  $ for d in a0 a1; do operator "{\"key\":\"goldcrest/daemons/$d\",\"value\":{\"address\":\"127.0.0.1:9\",\"peer\":\"127.0.0.1:9\",\"failure_domain\":\"a\"}}"; done
  $ start_routed d1

The store names no era. The two watchers refuse connections; the daemon asks the
store itself.

  $ status /nothing/
  404
  $ grep -c -m 1 '"message":"watch through another daemon failed"' d1.log
  1

The store falls silent: nothing is confirmed any longer (config_in_force_ms is
2000, contact_ms 3000).

  $ store_fault '{"mode":"silent"}'; sleep 4.5; status /nothing/
  503
  $ ready
  [1]
