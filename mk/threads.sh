#!/bin/sh
# Builds a copy of the tree with the thread sanitizer and runs a test of the tables that
# threads share and scripts of both modes there; UNITS and SCRIPTS set others. Fails if one
# of them does or if the sanitizer reports anything.
set -eu

SCRIPTS=${SCRIPTS-routed_base.t routed_requests.t routed_streams.t routed_versions.t
	routed_config.t routed_peers.t routed_restore.t routed_crash_requests.t
	routed_hop.t routed_stop.t routed_limit.t routed_waits.t daemon_threads.t
	daemon_stream.t daemon_resume.t control_instances.t control_list.t
	actions_daemons.t}
# Logs and metrics order much of what the threads of daemons do. This has neither.
UNITS=${UNITS-bin/check_shared_tables}
# Functions of GLib that order what threads do; see regress/thread_sanitizer.c.
WRAPPED="g_mutex_lock g_mutex_unlock g_cond_wait g_async_queue_push g_async_queue_try_pop
	g_atomic_rc_box_release_full g_thread_new g_thread_join"

dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
git ls-files -co --exclude-standard -z ':!journal' | xargs -0 cp --parents -t "$dir"
cd "$dir"
cc -std=gnu11 -O1 -g -fsanitize=thread $(pkg-config --cflags glib-2.0) \
	-c -o thread_sanitizer.o regress/thread_sanitizer.c
flags=$dir/thread_sanitizer.o
for function in $WRAPPED; do
	flags="$flags -Wl,--wrap=$function"
done
# jansson's counts of references; see the header.
opt="-O1 -g -include $dir/regress/thread_sanitizer.h"
make --no-print-directory -j"$(nproc)" build OPT="$opt" SANITIZE=thread \
	LDFLAGS="$flags"
# What libzmq and GLib do inside of themselves isn't seen to be ordered.
printf '%s\n' called_from_lib:libzmq.so called_from_lib:libglib-2.0.so >suppressions
export TSAN_OPTIONS="log_path=$dir/report exitcode=0 suppressions=$dir/suppressions"
# GLib's own allocator hands memory from thread to thread, unseen by the sanitizer.
export G_SLICE=always-malloc
status=0
make --no-print-directory -C regress check UNITS="$UNITS" PROPS= OPT="$opt" \
	LDFLAGS="$flags" SANITIZE=thread SCRIPTS="$(echo $SCRIPTS)" || status=1
for report in "$dir"/report.*; do
	[ -f "$report" ] || continue
	cat "$report"
	status=1
done
exit $status
