#!/bin/sh
# Builds target/goldcrestd from a copy of its sources in target/src.
set -eu

mkdir -p target/src
cp -R Makefile mk core lib platform goldcrestd target/src/
find target/src -name '*.[od]' -delete
make --no-print-directory -C target/src -j8 build PROGS=goldcrestd \
	BUILD="$(git describe --always --dirty 2>/dev/null || echo unknown)"
# Rename it into place: the file of a running daemon can't be overwritten.
cp target/src/goldcrestd/goldcrestd target/goldcrestd.new
mv target/goldcrestd.new target/goldcrestd
