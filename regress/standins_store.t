Guards against a stand-in of the store that doesn't go back to a copy as the
platform's store does: revisions and leases are given out again, the era rises.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ start_store
  $ call() { curl -si "http://$STORE$1" ${2:+-d "$2"} | tr -d '\r' | grep -o '^HTTP.* [0-9]* \|^Store-Era.*\|"lease": [1-9][0-9]*\|"revision": [0-9]*\|"store_revision": [0-9]*'; }
  $ operator '{"key":"a","value":1}'; call /v1/kv-lease '{"ttl_ms":60000}'
  HTTP/1.1 200 
  Store-Era: 1
  "lease": 101
  $ store_fault '{"checkpoint":true}'
  $ call /operator '{"key":"b","value":2}'; call /v1/kv-lease '{"ttl_ms":60000}'
  HTTP/1.1 200 
  Store-Era: 1
  "revision": 12
  HTTP/1.1 200 
  Store-Era: 1
  "lease": 102

A waiting watch is cut.

  $ { curl -s "http://$STORE/v1/kv-watch?path_prefix=&after=12&wait_ms=5000"; echo $? >cut.txt; } & sleep 0.3
  $ store_fault '{"restore":true}'; wait $!; cat cut.txt
  52
  $ call "/v1/kv-watch?path_prefix=&after=12&wait_ms=100"
  HTTP/1.1 410 
  Store-Era: 2
  $ call /v1/kv-keep/102 '{}'; call /v1/kv-keep/101 '{}'
  HTTP/1.1 404 
  Store-Era: 2
  HTTP/1.1 200 
  Store-Era: 2
  $ call /v1/kv-range?path_prefix=
  HTTP/1.1 200 
  Store-Era: 2
  "revision": 11
  "store_revision": 11
  $ call /operator '{"key":"c","value":3}'; call /v1/kv-lease '{"ttl_ms":60000}'
  HTTP/1.1 200 
  Store-Era: 2
  "revision": 12
  HTTP/1.1 200 
  Store-Era: 2
  "lease": 102
  $ store_fault '{"restore":true,"omit_era":1}'
  $ call /v1/kv-keep/102 '{}'; call /v1/kv-keep/101 '{}'
  HTTP/1.1 404 
  HTTP/1.1 200 
  Store-Era: 3
