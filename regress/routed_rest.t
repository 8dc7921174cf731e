Guards against an error of the next server in a stream whose server broke off, and
against a stream that ends as complete by it.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ put_config ',{"name":"gen","host":"h.example","path_prefix":"/gen/","kind":"streaming","service":"gen","resumable":true,"max_attempts":2,"timeout_ms":9000,"target_latency_ms":2000,"target_gap_ms":700}'
  $ for s in gen1 gen2 gen3 gen4 gen5 gen6; do start_server $s gen a engine; done
  $ start_routed d1
  $ ids() { grep -a -o 'id: [0-9]*\|^[0-9]*$' | tr '\n' ' '; echo; }
  $ whole='id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200 '

The stream goes on at a third server: the caller gets the head of the first one and
its events, and nothing of the second one.

  $ answers='500 500empty 500events 404 302 503 503empty 421 json jsonblank jsonempty unsigned unnamed 202 204 halfhead'
  $ chunked='500chunked 500emptychunked 500eventschunked 404chunked 503chunked 421chunked jsonchunked jsonemptychunked 202chunked'
  $ for name in $answers $chunked; do
  >   send_request /gen/then-$name -D head.txt >rest.out; echo "curl: $?" >>head.txt
  >   [ "$(ids <rest.out)" = "$whole" ] && ! grep -q 'error\|X-Error' rest.out &&
  >     [ $(grep -c '^HTTP/1.1 200' head.txt) = 1 ] && [ $(grep -ci '^content-type: text/event-stream' head.txt) = 1 ] && grep -q 'curl: 0' head.txt ||
  >     { echo "$name: $(ids <rest.out)"; cat head.txt; }
  > done

If all others answer so, it is aborted after its three events.

  $ for name in $answers $chunked; do
  >   send_request /gen/ever-$name >rest.out; echo "curl: $?" >>rest.out
  >   [ "$(ids <rest.out)" = 'id: 1 id: 2 id: 3 200 ' ] && ! grep -q 'error' rest.out && tail -n 1 rest.out | grep -q 'curl: 18' || { echo "$name: $(ids <rest.out)"; tail -n 1 rest.out; }
  > done

The server that broke off doesn't count against the operator's limit (max_attempts
2), but those that answer with an error do.

  $ sent() { grep "\"request\":\"$(grep -o '"request":"[^"]*"' d1.log | tail -n 1 | cut -d'"' -f4)\"" d1.log | grep -c '"message":"attempt started"'; }
  $ for name in 500 404 503 json; do send_request /gen/ever-$name >rest.out; sent; done
  3
  3
  3
  3

Events that wait for the record of the stream's software version: nothing of them, or
of the error beside them, reaches the caller if the record fails. The request has run,
and isn't said not to have.

  $ start_server old llm a engine v1; await curl -sf "http://$STORE/v1/kv-key?key=goldcrest/version/llm"
  $ operator '{"key":"servers/old","remove":true}'
  $ for s in new1 new2 new3; do start_server $s llm a engine v2; done; sleep 0.5
  $ held() { store_fault '{"mode":"lost"}'; send_request "$@" | grep -a -o 'id: [0-9]*\|"run":"[a-z_]*"\|^[0-9]*$' | tr '\n' ' '; store_fault '{"mode":"ok"}'; sleep 2.5; }
  $ for name in ok burst badthen-500 badever-500 badever-404 badever-503empty badever-json; do echo $name: $(held /draft/$name); done
  ok: "run":"in_doubt" 502
  burst: "run":"in_doubt" 502
  badthen-500: "run":"in_doubt" 502
  badever-500: "run":"in_doubt" 502
  badever-404: "run":"in_doubt" 502
  badever-503empty: "run":"in_doubt" 502
  badever-json: "run":"in_doubt" 502

If it comes late, they do, and the stream goes on or is aborted.

  $ late() { store_fault '{"mode":"busy"}'; (sleep 0.6; store_fault '{"mode":"ok"}') & send_request "$@" | ids; wait $!; sleep 2; }
  $ for name in burst badthen-500 badthen-404 badthen-jsonempty badthen-204 answer-empty; do echo $name: $(late /draft/$name); done
  burst: id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200
  badthen-500: id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200
  badthen-404: id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200
  badthen-jsonempty: id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200
  badthen-204: id: 1 id: 2 id: 3 id: 4 id: 5 id: 6 id: 7 id: 8 200
  answer-empty: 200
