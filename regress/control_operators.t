Guards against two changes accepted for the same version, against an operator's
change that silently overwrites another's, and against errors without the path
of the wrong value.

  $ . "$TOP/regress/control.sh"
  $ start_platform
  $ start_engine e1; start_engine e2
  $ start_three_daemons

A change takes effect on every daemon.

  $ ctl $d1_ops label e1 gpu=big
  version 2
  $ ctl $d2_ops wait 2
  version 2 is in effect on 3 of 3 daemons
  $ await at_version $d3_ops 2

Two operators change the same version at once: one succeeds, the other gets a
conflict that lists what changed.

  $ echo '{"accounts":{"quick":{"weight":2}}}' >a.json
  $ echo '{"accounts":{"quick":{"weight":3}}}' >b.json
  $ ctl $d1_ops config set --version 2 a.json >a.out 2>a.err & a=$!
  $ ctl $d2_ops config set --version 2 b.json >b.out 2>b.err & b=$!
  $ wait $a; rc_a=$?; wait $b; rc_b=$?
  $ echo $((rc_a + rc_b))
  3
  $ cat a.out b.out
  version 3
  $ cat a.err b.err
  goldcrestctl: conflict: the current version is 3
  changed: accounts.quick.weight

Concurrent commands on different objects are all accepted.

  $ for i in 1 2 3 4; do
  >   ctl $d1_ops pool set pool$i --kind engine >p$i.out 2>&1 & eval "p$i=$!"
  > done
  $ wait $p1 $p2 $p3 $p4; sort p?.out
  version 4
  version 5
  version 6
  version 7

Invalid input is refused with an error.

  $ ctl $d3_ops model set m --pool nothing
  goldcrestctl: http://127.0.0.1:*: HTTP status 400: (glob)
  models.m.pool: unknown pool "nothing"
  [1]
  $ ctl $d3_ops pool set none --kind engine --selector '{"match":{"a":"b"}}'
  goldcrestctl: http://127.0.0.1:*: HTTP status 400: (glob)
  pools.none.selector: matches no instance
  [1]
  $ curl -s -o out -w '%{http_code}\n' -X PATCH $d1_ops/v1/config -d '{}' \
  >   -H "Authorization: Bearer $OPERATOR_KEY"
  428
  $ curl -s -o out -w '%{http_code}\n' $d1_ops/v1/config -H 'Authorization: Bearer x'
  401
  $ ctl $d1_ops pool set p --kind engine --selector '[]'
  goldcrestctl: --selector: not an object
  [2]
  $ ctl $d1_ops frobnicate
  goldcrestctl: unknown command "frobnicate"
  [2]
  $ goldcrestctl --url http://127.0.0.1:1 --url $d1_ops wait 7
  version 7 is in effect on 3 of 3 daemons
  $ ctl http://127.0.0.1:1 depart e1 2>err; echo $?
  4
  $ ctl $d1_ops wait 99 --timeout-s 1
  version 99 is in effect on 0 of 3 daemons
  [5]

`wait` doesn't wait for a daemon that died, once it can't be a slow one.

  $ kill_9 $d3_pid
  $ ctl $d2_ops label e1 gpu=small
  version 8
  $ ctl $d1_ops wait 8
  version 8 is in effect on 2 of 2 daemons
