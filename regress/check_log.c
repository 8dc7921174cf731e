/*
 * Guards against rate limiting log lines that explain an outage. After a
 * restart with 284 backend servers, the line on the store's return exceeded
 * the limit of lines per second and was dropped.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/log.h"
#include "lib/log_events.h"
#include "regress/unit.h"

#define MAX_LINES_PER_S 3

START_TEST(test_rate_limit_exempts_store_events)
{
	int pipe_fds[2];
	char text[8192] = "";
	size_t len;

	ck_assert_int_eq(pipe(pipe_fds), 0);
	ck_assert_int_eq(dup2(pipe_fds[1], STDOUT_FILENO), STDOUT_FILENO);
	gc_log_init("check", "d1", true, GC_LOG_INFO);
	gc_log_to_stdout(MAX_LINES_PER_S);
	/* Exceeds the limit even if a new second begins during the loop. */
	for (int i = 0; i < 3 * MAX_LINES_PER_S; i++)
		gc_log(GC_LOG_INFO, GC_EVENT_SERVER_SEEN, "server", NULL);
	gc_log(GC_LOG_INFO, GC_EVENT_STORE_FOUND, "found", NULL);
	gc_log(GC_LOG_INFO, GC_EVENT_STOPPING, "stopping", NULL);
	len = (size_t)read(pipe_fds[0], text, sizeof(text) - 1);
	ck_assert_uint_lt(len, sizeof(text));
	ck_assert_ptr_nonnull(strstr(text, "\"found\""));
	ck_assert_ptr_nonnull(strstr(text, "\"stopping\""));
	ck_assert_ptr_nonnull(strstr(text, "\"server\""));
	len = 0;
	for (const char *match = text; (match = strstr(match, "\"server\""));
	     match++)
		len++;
	ck_assert_uint_le(len, 2 * MAX_LINES_PER_S);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_rate_limit_exempts_store_events,
				      NULL};

	return unit_run("log", tests);
}
