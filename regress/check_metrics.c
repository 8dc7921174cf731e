/* Guards against two series of one metric that share a counter. */
#include "lib/metrics.h"
#include "regress/unit.h"

START_TEST(test_label_name_is_part_of_the_series)
{
	gc_metric_t *by_server = gc_counter("calls_total", "", "server", "a");
	gc_metric_t *by_peer = gc_counter("calls_total", "", "peer", "a");

	gc_counter_add(by_server, 3);
	ck_assert_ptr_ne(by_server, by_peer);
	ck_assert_uint_eq(gc_counter_value(by_peer), 0);
	ck_assert_ptr_eq(gc_counter("calls_total", "", "server", "a"),
			 by_server);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {test_label_name_is_part_of_the_series,
				      NULL};

	return unit_run("metrics", tests);
}
