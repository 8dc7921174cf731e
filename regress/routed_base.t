Guards against a base version that stays odd after another writer's change: streams
then depend on records in the store, and daemons that start later know no base version.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config
  $ start_server s1 llm a engine v1
  $ base() { curl -s "http://$STORE/v1/kv-key?key=goldcrest/version/$1" | python3 -c 'import base64,json,sys; print(base64.b64decode(json.load(sys.stdin).get("value", "")).decode())'; }
  $ is_base() { [ "$(base "$1")" = "$2" ]; }
  $ odd() { operator "{\"key\":\"goldcrest/version/llm\",\"value\":$1}"; }
  $ within() { for i in $(seq $(($1 * 5))); do "${@:2}" && return; sleep 0.2; done; base llm; false; }

A daemon that knows the base version writes it again.

  $ start_routed d1; within 3 is_base llm '{"number":1,"version":"v1"}'
  $ for value in 7 '{}' '{"number":0,"version":"v1"}' '{"number":9,"version":2}' '"v1"'; do
  >   odd "$value"; within 8 is_base llm '{"number":1,"version":"v1"}'
  > done

One that starts while it is odd writes the first one, if no other one does.

  $ kill $d1_pid; wait $d1_pid; odd '{"number":"1"}'; start_routed d2
  $ within 10 is_base llm '{"number":1,"version":"v1"}'
  $ grep -c '"event":1615' d2.log
  1

One that is removed is written anew.

  $ operator '{"key":"goldcrest/version/llm","remove":true}'; within 8 is_base llm '{"number":1,"version":"v1"}'
  $ kill -0 $d2_pid
