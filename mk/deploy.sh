#!/bin/sh
# Builds the daemon from a copy of its sources below target/, and nothing else.
set -eu

mkdir -p target/src
cp -R Makefile mk core lib platform goldcrestd target/src/
find target/src -name '*.[od]' -delete
make --no-print-directory -C target/src -j8 build PROGS=goldcrestd
# Renamed into place, as daemons of an earlier build may still run.
cp target/src/goldcrestd/goldcrestd target/goldcrestd.new
mv target/goldcrestd.new target/goldcrestd
