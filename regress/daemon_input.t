Guards against invalid requests that are run, or refused without an error type
and a status.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_daemon d1 ',"max_body_bytes":2000'
  $ summary() {
  >   sed 's/.*"type":"\([^"]*\)","code":"\([^"]*\)","step":"\([^"]*\)",.*"run":"\([^"]*\)".*/\1 \2 \3 \4/'
  >   echo
  > }
  $ try() { call $d1_url "$@" -w ' %{http_code}' | summary; }
  $ key() { call $d1_url '{}' -H "$1" -w ' %{http_code}' | summary; }

Unknown and missing bearer keys.

  $ curl -s -w ' %{http_code}\n' $d1_url/v1/completions -d '{}' \
  >   -H 'Authorization: Bearer wrong'
  {"error":{"message":"unknown bearer key","type":"invalid_request_error","code":"unauthorized","step":"auth","peer":"","run":"not_run"}} 401
  $ curl -s -w ' %{http_code}\n' $d1_url/v1/models | grep -o 'no bearer key\|401'
  no bearer key
  401

Invalid JSON, an oversized body, invalid members.

  $ try '{"model":'
  invalid_request_error invalid_request body not_run
  $ try '[]'
  invalid_request_error invalid_request generate not_run
  $ try '{"model":"draft","model":"draft","prompt":"p"}'
  invalid_request_error invalid_request body not_run
  $ head -c 3000 /dev/zero | tr '\0' x >big
  $ try @big
  invalid_request_error body_too_large body not_run
   413
  $ call $d1_url @big -o /dev/null -w '%{http_code}\n'
  413
  $ call $d1_url '{"model":"draft"}' | grep -o 'prompt: [a-z ]*'
  prompt: must be a string that is not empty
  $ for n in 0 100001 '"5"' 1.5; do
  >   call $d1_url "{\"model\":\"draft\",\"prompt\":\"p\",\"max_tokens\":$n}" |
  >     grep -o 'max_tokens: [a-z0-9 ]*'
  > done
  max_tokens: must be a number from 1 to 100000
  max_tokens: must be a number from 1 to 100000
  max_tokens: must be a number from 1 to 100000
  max_tokens: must be a number from 1 to 100000
  $ call $d1_url '{"model":"draft","prompt":"p","n":2}' | grep -o 'n: must be 1'
  n: must be 1

An unknown model, an unknown path.

  $ call $d1_url '{"model":"other","prompt":"p"}' -w ' %{http_code}\n' |
  >   grep -o 'unknown model other\|404'
  unknown model other
  404
  $ curl -s -H 'Authorization: Bearer quick-key' $d1_url/v1/nothing \
  >   -o /dev/null -w '%{http_code}\n'
  404

Invalid cursors: garbage, an empty one, one with a character added or removed.

  $ stream $d1_url 3 >out
  $ id=$(last_id out)
  $ for bad in garbage "" "x$id" "${id%?}"; do
  >   stream $d1_url 3 -H "Last-Event-ID;" -H "Last-Event-ID: $bad" \
  >     -w ' %{http_code}\n' | grep -o '"code":"[a-z_]*"\|400'
  > done
  "code":"invalid_cursor"
  400
  "code":"invalid_cursor"
  400
  "code":"invalid_cursor"
  400
  "code":"invalid_cursor"
  400
  $ curl -s -H 'Authorization: Bearer quick-key' $d1_url/v1/completions |
  >   grep -o 'GET needs the header Last-Event-ID'
  GET needs the header Last-Event-ID
  $ call $d1_url '{"model":"draft","prompt":"p","goldcrest":{"prefix":["a"]}}' |
  >   grep -o 'goldcrest.prefix needs the header Last-Event-ID'
  goldcrest.prefix needs the header Last-Event-ID

A cursor of another account's response.

  $ curl -sN -H 'Authorization: Bearer thrifty-key' -H "Last-Event-ID: $id" \
  >   -w ' %{http_code}\n' $d1_url/v1/completions |
  >   grep -o "another account's\|401"
  another account's
  401

None of the invalid requests was run.

  $ stat $e1_url runs
  2

All invalid settings are reported; -n only checks the settings file.

  $ goldcrestd -n -f d1.json
  $ settings d2 ',"queue_s":1,"max_streams":0'
  $ goldcrestd -n -f d2.json
  goldcrestd: d2.json:
  max_streams: must be a number from 1 to 100000
  queue_s: unknown setting
  [1]
