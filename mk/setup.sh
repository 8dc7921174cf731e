#!/bin/sh
# Installs those of the Debian packages in the arguments that are missing; needs
# root only if one is missing.
set -eu

missing=
for pkg in "$@"; do
	dpkg -s "$pkg" >/dev/null 2>&1 || missing="$missing $pkg"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
export DEBIAN_FRONTEND=noninteractive
apt-get update -q >/dev/null
# shellcheck disable=SC2086
apt-get install -q -y --no-install-recommends $missing >/dev/null
