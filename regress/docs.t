Guards against operators' documentation that names log events, metrics, settings
or files that don't exist, or that omits log events, metrics or settings.

  $ python3 "$TOP/regress/docs.py"
  pages and code agree

goldcrestd accepts the example in its settings manual page.

  $ sed -n '/^{$/,/^}$/p' "$TOP/goldcrestd/goldcrestd.conf.5" >example.json
  $ test -s example.json
  $ goldcrestd -n -f example.json
