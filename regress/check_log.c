/*
 * Guards against a log that drops what explains an outage: after a restart
 * with 284 backend servers the line on the store's return was beyond the
 * limit of lines a second.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "regress/unit.h"

#define MAX_PER_S 3

START_TEST(test_limit_keeps_dependencies)
{
	int ends[2];
	char text[8192] = "";
	size_t len;

	ck_assert_int_eq(pipe(ends), 0);
	ck_assert_int_eq(dup2(ends[1], STDOUT_FILENO), STDOUT_FILENO);
	gc_log_init("check", "d1", true, GC_LOG_INFO);
	gc_log_to_stdout(MAX_PER_S);
	/* More than the lines of two seconds, if one begins meanwhile. */
	for (int i = 0; i < 3 * MAX_PER_S; i++)
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_SEEN, "server", NULL);
	gc_log(GC_LOG_INFO, GC_EVENT_STORE_FOUND, "found", NULL);
	gc_log(GC_LOG_INFO, GC_EVENT_STOPPING, "stopping", NULL);
	len = (size_t)read(ends[0], text, sizeof(text) - 1);
	ck_assert_uint_lt(len, sizeof(text));
	ck_assert_ptr_nonnull(strstr(text, "\"found\""));
	ck_assert_ptr_nonnull(strstr(text, "\"stopping\""));
	ck_assert_ptr_nonnull(strstr(text, "\"server\""));
	len = 0;
	for (const char *at = text; (at = strstr(at, "\"server\"")); at++)
		len++;
	ck_assert_uint_le(len, 2 * MAX_PER_S);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_limit_keeps_dependencies, NULL};

	return unit_run("log", tests);
}
