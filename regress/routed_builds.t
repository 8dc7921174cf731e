Guards against a change of what daemons write for each other that a daemon of an older
build, which runs beside this one during an upgrade, would not understand, and against
one that this build no longer reads.

  $ . "$TOP/regress/daemon.sh"; . "$TOP/regress/routed.sh"
  $ builds() { python3 "$TOP/regress/builds.py" "$@"; }
  $ TRACES="$TOP/regress/traces_builds"

Each member that a former landing wrote is still written, with its type: keys and values
in the store, asks and answers, headers of requests that are passed on.

  $ builds record "$(command -v goldcrestd)" now.jsonl
  $ for f in $TRACES/*.jsonl; do builds missing $f now.jsonl; done

What the former landings wrote is read. This fleet lacks the server that /peer/reached
names.

  $ start_store; put_config; start_server app1 app a
  $ start_routed d1 ",\"forward\":\"127.0.0.1:$(free_port)\""
  $ for f in $TRACES/*.jsonl; do builds read $f http://$PEER_ADDR http://$STORE; done
  43f2978: ask /peer/changes: 200
  7ed37cc: ask /peer/changes: 200
  7ed37cc: ask /peer/config: 200
  7ed37cc: ask /peer/permits: 200
  7ed37cc: ask /peer/places: 200
  7ed37cc: ask /peer/places told: 200
  7ed37cc: ask /peer/reached: 404
  8957ce8: ask /peer/changes: 200
  8957ce8: ask /peer/config: 200
  8957ce8: ask /peer/permits: 200
  8957ce8: ask /peer/places: 200
  8957ce8: ask /peer/places told: 200
  8957ce8: ask /peer/reached: 404
  92654f6: ask /peer/changes: 200
  92654f6: ask /peer/permits: 200
  a875efe: ask /peer/changes: 200
  a875efe: ask /peer/config: 200
  a875efe: ask /peer/permits: 200
  a875efe: ask /peer/places: 200
  a875efe: ask /peer/places told: 200
  a875efe: ask /peer/reached: 404
  ab48416: ask /peer/changes: 200
  ab48416: ask /peer/permits: 200
  ab48416: ask /peer/places: 200
  ab48416: ask /peer/places told: 200
  ab48416: ask /peer/reached: 404
  cb5c150: ask /peer/changes: 200
  cb5c150: ask /peer/config: 200
  cb5c150: ask /peer/permits: 200
  cb5c150: ask /peer/places: 200
  cb5c150: ask /peer/places told: 200
  cb5c150: ask /peer/reached: 404
  fbd64e0: ask /peer/changes: 200
  $ sleep 0.5; grep -o '"event":\(1606\|1609\|1615\|1619\|1620\),.*' d1.log
  [1]
  $ status /look/ok
  200

The comparison finds a member that is gone and one of another type.

  $ sed 's/"failure_domain"/"zone"/; /places"/s/"wait_ms": \([0-9]*\)/"wait_ms": "\1"/' now.jsonl >changed.jsonl; builds missing now.jsonl changed.jsonl | sort -u
  answer 200 /peer/places.wait_ms: int, now digits
  key goldcrest/daemons.failure_domain: digits, now missing
