Guards against wrong exit statuses or output of goldcrestcall, and against error
messages that don't name the address or the step.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1 --token-ms 1
  $ start_daemon d1
  $ export GOLDCREST_KEY=quick-key
  $ call_tool() { goldcrestcall -u $d1_url -p 1 "$@"; echo "status $?"; }

The tokens of a generation, from a file and from standard input.

  $ printf %s "$PROMPT" >prompt
  $ call_tool -m draft -t 20 generate prompt >out; tail -n 1 out
  status 0
  $ head -n 1 out | wc -w
  20
  $ call_tool -m draft -t 3 generate <prompt | head -n 1 | wc -w
  3

Errors name the address, or the step if no daemon answered.

  $ GOLDCREST_KEY=wrong call_tool -m draft generate prompt 2>err >out
  $ sed 's/:[0-9]*:/:PORT:/' err; tail -n 1 out
  goldcrestcall: http://127.0.0.1:PORT: auth: HTTP 401: unknown bearer key
  status 1
  $ goldcrestcall -u http://127.0.0.1:1 -p 1 -m draft generate prompt >out
  goldcrestcall: addresses: no daemon answered
  [1]

Usage errors.

  $ goldcrestcall -u $d1_url generate prompt
  goldcrestcall: generate: no --model
  [2]
  $ env -u GOLDCREST_KEY goldcrestcall -u $d1_url -m draft generate prompt
  goldcrestcall: no --key-file and no GOLDCREST_KEY
  [2]
