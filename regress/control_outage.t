Guards against changes that are wrongly accepted or lost while the key-value
service is down or loses answers, and against daemons that fail to start or to
serve during an outage.

  $ . "$TOP/regress/control.sh"
  $ start_platform
  $ start_engine e1
  $ start_three_daemons

The answer to a successful write is lost: the change is found in the record and
accepted.

  $ fault '{"fault":"lose","count":1}'
  $ ctl $d1_ops label e1 gpu=big
  version 2
  $ ctl $d1_ops config get | grep -c '"nonce"'
  1

During an outage daemons continue to serve, and changes are refused.

  $ fault '{"fault":"outage","ms":60000}'
  $ sleep 4
  $ at_version $d1_ops 2 && at_version $d2_ops 2 && at_version $d3_ops 2
  $ ctl_exit_status $d1_ops label e1 gpu=small
  4

A new daemon gets the configuration from its peers and serves.

  $ start_daemon d4 ",\"seed_peers\":[\"$SEED\"]"
  $ await at_version $d4_ops 2
  $ call $d4_url '{"model":"draft","prompt":"p","max_tokens":1}' | grep -c text_completion
  1

A daemon that receives heartbeats from fewer than half of the others stops
serving.

  $ kill -STOP $d2_pid $d3_pid $d4_pid
  $ refused() { call $d1_url '{"model":"draft","prompt":"p","max_tokens":1}' | grep -q '"run":"not_run"'; }
  $ await refused
  $ kill -CONT $d2_pid $d3_pid $d4_pid
  $ await at_version $d1_ops 2

After the outage, changes are accepted again.

  $ fault '{"fault":"clear"}'
  $ accepted() { ctl $d1_ops label e1 gpu=small >out 2>&1; }
  $ await accepted; cat out
  version 3
  $ ctl $d4_ops wait 3
  version 3 is in effect on 4 of 4 daemons
