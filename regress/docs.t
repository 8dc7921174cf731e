Guards against pages for operators that name log events, metrics, settings or
files that don't exist, or lack some that do.

  $ python3 "$TOP/regress/docs.py"
  pages and code agree

The example of the settings page is accepted.

  $ sed -n '/^{$/,/^}$/p' "$TOP/goldcrestd/goldcrestd.conf.5" >example.json
  $ test -s example.json
  $ goldcrestd -n -f example.json
