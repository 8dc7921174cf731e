#!/bin/sh
# Builds goldcrestd of a commit of the repository's history and prints its path.
# Usage: old_build.sh COMMIT DIR. The tree of the commit is kept in DIR and used
# again, also by runs beside each other; DIR is outside of the repository. Needs no
# network.
set -eu
# Neither settings nor jobs of a make that runs the tests.
unset MAKEFLAGS MFLAGS MAKELEVEL MAKEOVERRIDES TOP CFLAGS CPPFLAGS

fail() {
	echo "old_build.sh: $*" >&2
	exit 1
}

[ $# -eq 2 ] || fail "usage: old_build.sh COMMIT DIR"
root=$(cd "$(dirname "$0")/.." && pwd)
if ! commit=$(git -C "$root" rev-parse --verify "$1^{commit}"); then
	[ "$(git -C "$root" rev-parse --is-shallow-repository)" != true ] ||
		fail "commit $1 is missing: the clone is shallow, fetch its history"
	fail "commit $1 is not in the repository's history"
fi
mkdir -p "$2"
dir=$(cd "$2" && pwd)
tree=$dir/$commit
exec 9>"$dir/lock"
flock 9
if [ ! -x "$tree/goldcrestd/goldcrestd" ]; then
	# Complete trees are moved into place.
	tmp=$(mktemp -d "$dir/build.XXXXXX")
	trap 'rm -rf "$tmp"' EXIT
	git -C "$root" archive "$commit" >"$tmp/tree.tar"
	tar -x -f "$tmp/tree.tar" -C "$tmp"
	rm "$tmp/tree.tar"
	{
		make -s -j"$(nproc)" -C "$tmp" libgoldcrest.a &&
			make -s -j"$(nproc)" -C "$tmp/goldcrestd"
	} >"$tmp/build.log" 2>&1 || {
		cat "$tmp/build.log" >&2
		fail "commit $1 does not build"
	}
	mv -T "$tmp" "$tree"
fi
echo "$tree/goldcrestd/goldcrestd"
