#!/bin/sh
# Builds the daemon from a copy of its sources below target/, and nothing else.
set -eu

mkdir -p target/src
cp -R Makefile mk core lib platform goldcrestd target/src/
find target/src -name '*.o' -delete
make --no-print-directory -C target/src -j8 build PROGS=goldcrestd
cp target/src/goldcrestd/goldcrestd target/goldcrestd
