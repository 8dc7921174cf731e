Guards against malformed or incomplete responses when nothing fails, and against
a daemon that does not exit on SIGTERM.

  $ . "$TOP/regress/daemon.sh"
  $ start_platform
  $ start_engine e1
  $ start_daemon d1

A stream: each event has an id, except for the final [DONE].

  $ stream $d1_url 5 -i >out
  $ tr -d '\r' <out | grep -E '^(HTTP|Content-Type)'
  HTTP/1.1 200 OK
  Content-Type: text/event-stream
  $ chain out
  whole 5
  $ grep -c '^id: ' out
  6
  $ grep -o '"finish_reason":"[a-z]*"}],"usage":{.*}' out
  "finish_reason":"length"}],"usage":{"prompt_tokens":6,"completion_tokens":5,"total_tokens":11}}
  $ tail -n 2 out
  data: [DONE]
  

A response that is not streamed.

  $ call $d1_url '{"model":"draft","prompt":"p","max_tokens":3}' >out
  $ grep -o '"object":"text_completion"' out
  "object":"text_completion"
  $ grep -o ':[0-9a-f]\{8\} ' out | wc -l
  3
  $ grep -o '"usage":{[^}]*}' out
  "usage":{"prompt_tokens":1,"completion_tokens":3,"total_tokens":4}

Chat completions, not streamed and streamed.

  $ chat() {
  >   curl -sN -H 'Authorization: Bearer quick-key' $d1_url/v1/chat/completions \
  >     -d "{\"model\":\"draft\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],
  >          \"max_tokens\":2,\"stream\":$1}"
  > }
  $ chat false | grep -oE '"object":"[a-z.]*"|"message":\{"role":"assistant"'
  "object":"chat.completion"
  "message":{"role":"assistant"
  $ chat true | grep -oE '"object":"[a-z.]*"|"delta":\{"role":"assistant"|\[DONE\]'
  "object":"chat.completion.chunk"
  "delta":{"role":"assistant"
  "object":"chat.completion.chunk"
  "object":"chat.completion.chunk"
  [DONE]

Models and addresses; addresses need no bearer key.

  $ curl -s -H 'Authorization: Bearer quick-key' $d1_url/v1/models; echo
  {"object":"list","data":[{"id":"draft","object":"model","owned_by":"goldcrest"}]}
  $ curl -s $d1_url/v1/addresses | grep -o '"ttl_s":10\|"instance":"d1"'
  "ttl_s":10
  "instance":"d1"

Metrics of the account and the class.

  $ curl -s -H "Authorization: Bearer $OPERATOR_KEY" $d1_ops/metrics >metrics
  $ grep -c '^goldcrest_account_first_token_ms_count{account="quick"}' metrics
  1
  $ grep -c '^goldcrest_class_tokens_total{class="generate"}' metrics
  1

  $ kill $d1_pid; wait $d1_pid; echo status $?
  status 0
