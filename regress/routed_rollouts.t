Guards against orders of roll-outs that get no record, or a wrong one, from daemons that
follow the store and judge together.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server app1 app a
  $ SHARE=',"rollout_share":0.1,"rollout_slack":50'
  $ order() { operator "{\"key\":\"op/rollout/$1\",\"value\":$2}"; }
  $ record() { curl -s "http://$STORE/v1/kv-key?key=status%2Frollout%2F$1" | python3 -c '
  > import base64, json, sys
  > record = json.loads(base64.b64decode(json.load(sys.stdin)["value"]))
  > print(record["state"], record["target"], record["reason"])' 2>/dev/null; }
  $ has_state() { [ "$(record app | cut -d " " -f 1)" = "$1" ]; }

With the setting missing, the order is rejected.

  $ start_routed d0
  $ order app '{"service":"app","target":"v2","duration_s":4}'; await has_state rolled_back; record app
  rolled_back v2 roll-outs are not enabled by the settings
  $ kill -TERM $d0_pid; wait $d0_pid
  $ for d in d1 d2 d3; do start_routed $d "$SHARE"; eval "${d}_control=$CONTROL_ADDR"; done; sleep 1

Invalid orders name the member.

  $ order app '{"service":"other","target":"v2","duration_s":4}'; sleep 1.5; record app
  rolled_back v2 service: differs from the key
  $ order app '{"service":"app","target":"v2","duration_s":"4"}'; sleep 1.5; record app
  rolled_back v2 duration_s: missing or invalid
  $ order none '{"service":"none","target":"v2","duration_s":4}'; sleep 1.5; record none
  rolled_back v2 service: not in the configuration in force

A version without servers, one whose order is removed.

  $ order app '{"service":"app","target":"v2","duration_s":4}'; await has_state running; record app
  running v2 
  $ await has_state rolled_back; record app
  rolled_back v2 target: no ready server of this version
  $ order app '{"service":"app","target":"v2","duration_s":60}'; await has_state running
  $ operator '{"key":"op/rollout/app","remove":true}'; await has_state rolled_back; record app
  rolled_back v2 the order was removed

Every daemon knows each order and decision, and one of them writes each record.

  $ for d in d1 d2 d3; do grep -c '"event":1625' $d.log; grep -c '"event":1628' $d.log; done
  4
  6
  4
  6
  4
  6
  $ cat d?.log | grep '"event":1627' | grep -c rolled_back
  6

The judge dies with a roll-out: another one ends it.

  $ order app '{"service":"app","target":"v3","duration_s":4}'; await has_state running
  $ for d in d1 d2 d3; do ! grep -q '"event":1627' $d.log || JUDGE=$d; done
  $ eval "kill_9 \$${JUDGE}_pid"; await has_state rolled_back; record app
  rolled_back v3 target: no ready server of this version
  $ for d in d1 d2 d3; do [ $d = $JUDGE ] || grep '"event":1627' $d.log; done | grep -c rolled_back
  1
