/*
 * Guards against counts that reach the judge changed, against reports that are longer than
 * a daemon takes, and against messages of other builds or of strangers that are misread.
 */
#include <string.h>

#include "core/error.h"
#include "lib/rollouts_peer.h"
#include "platform/platform.h"
#include "regress/unit.h"

#define REPORT_HEAD                                                         \
	"{\"service\":\"app\",\"daemon\":\"00000000000000ff\",\"order\":7," \
	"\"elapsed_ms\":-1,\"requests\":3,\"sent\":1,\"counts\":"
#define COUNT(rest) "[[\"0000000000000005\"," rest "]]}"

static const gc_adapter_t *const adapter = &gc_platform_adapter;

static bool accepts(const char *body)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	g_autoptr(GError) err = NULL;
	bool ok = gc_rollouts_decode_report(mem, adapter, gc_str(body), &err);

	ck_assert(ok == !err);
	ck_assert(ok || g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
	talloc_free(mem);
	return ok;
}

START_TEST(test_report)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_counts_t counts[] = {
		{.route = UINT64_MAX,
		 .measure = GC_ROLLOUT_EVENT_GAP,
		 .target = true,
		 .n = 9,
		 .n_failed = 2,
		 .times = {[0] = 1,
			   [17] = 4,
			   [GC_ROLLOUT_TIME_BUCKETS - 1] = 2}},
		{.route = 1, .n = UINT32_MAX, .n_failed = UINT32_MAX},
	};
	gc_rollout_record_t record = {
		.service = GC_STR_LIT("a \"b\""),
		.target = GC_STR_LIT("v2"),
		.state = GC_ROLLOUT_ROLLED_BACK,
		.reason = GC_STR_LIT("slow \\ \"late\""),
		.order = 12,
	};
	gc_rollouts_message_t message = {
		.service = GC_STR_LIT("a \"b\""),
		.report = {.daemon = 5,
			   .order = 12,
			   .elapsed_ms = 777,
			   .n_requests = 100,
			   .n_sent = 11,
			   .counts = counts,
			   .n_counts = 2},
		.order_revision = 15,
		.record = &record,
	};
	g_autofree char *text = gc_rollouts_encode_report(adapter, &message);
	gc_rollouts_message_t *read =
		gc_rollouts_decode_report(mem, adapter, gc_str(text), NULL);

	ck_assert_ptr_nonnull(read);
	ck_assert(gc_str_eq(read->service, message.service));
	ck_assert_uint_eq(read->report.daemon, 5);
	ck_assert_uint_eq(read->report.order, 12);
	ck_assert_uint_eq(read->order_revision, 15);
	ck_assert_int_eq(read->report.elapsed_ms, 777);
	ck_assert_uint_eq(read->report.n_requests, 100);
	ck_assert_uint_eq(read->report.n_sent, 11);
	ck_assert_uint_eq(read->report.n_counts, 2);
	for (size_t i = 0; i < 2; i++) {
		const gc_rollout_counts_t *count = &read->report.counts[i];

		ck_assert_uint_eq(count->route, counts[i].route);
		ck_assert_int_eq(count->measure, counts[i].measure);
		ck_assert(count->target == counts[i].target);
		ck_assert_uint_eq(count->n, counts[i].n);
		ck_assert_uint_eq(count->n_failed, counts[i].n_failed);
		ck_assert_mem_eq(count->times, counts[i].times,
				 sizeof(count->times));
	}
	ck_assert_ptr_nonnull(read->record);
	ck_assert_int_eq(read->record->state, GC_ROLLOUT_ROLLED_BACK);
	ck_assert(gc_str_eq(read->record->reason, record.reason));
	talloc_free(mem);
}
END_TEST

START_TEST(test_report_of_the_largest_size)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	size_t n = (size_t)GC_ROLLOUT_MAX_ROUTES * GC_ROLLOUT_N_MEASURES * 2;
	gc_rollout_counts_t *counts =
		talloc_zero_array(mem, gc_rollout_counts_t, n);
	gc_rollouts_message_t message = {
		.service = GC_STR_LIT("app"),
		.report = {.counts = counts, .n_counts = n},
	};
	g_autofree char *text = NULL;
	gc_rollouts_message_t *read;

	for (size_t i = 0; i < n; i++) {
		counts[i].route = UINT64_MAX - i;
		counts[i].n = 36 * 100000;
		for (size_t j = 0; j < GC_ROLLOUT_TIME_BUCKETS; j++)
			counts[i].times[j] = 100000;
	}
	text = gc_rollouts_encode_report(adapter, &message);
	ck_assert_uint_le(strlen(text), GC_ROLLOUTS_MAX_BODY);
	read = gc_rollouts_decode_report(mem, adapter, gc_str(text), NULL);
	ck_assert_ptr_nonnull(read);
	ck_assert_uint_ge(read->report.n_counts, 32);
	ck_assert_uint_eq(read->report.counts[31].route, UINT64_MAX - 31);
	talloc_free(mem);
}
END_TEST

START_TEST(test_bad_reports)
{
	ck_assert(accepts(REPORT_HEAD "[]}"));
	ck_assert(accepts(REPORT_HEAD "[],\"record\":null}"));
	/* Of a later build. */
	ck_assert(accepts(REPORT_HEAD "[],\"more\":{}}"));
	ck_assert(accepts(REPORT_HEAD COUNT("0,1,5,2,[3,1,35,2],9")));
	ck_assert(!accepts(""));
	ck_assert(!accepts("[]"));
	ck_assert(!accepts("7"));
	ck_assert(!accepts(REPORT_HEAD "{}}"));
	ck_assert(!accepts(REPORT_HEAD "[],\"record\":\"no JSON\"}"));
	ck_assert(!accepts(REPORT_HEAD "[],\"record\":7}"));
	ck_assert(!accepts("{\"service\":\"app\",\"order\":7,\"counts\":[]}"));
	/* Measures, buckets and sums that can't be. */
	ck_assert(!accepts(REPORT_HEAD COUNT("3,1,5,2,[]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("-1,1,5,2,[]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,2,5,2,[]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,5,6,[]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,5,2,[3,4]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,5,2,[36,1]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,5,2,[-1,1]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,5,2,[3]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,4294967296,2,[]")));
	ck_assert(!accepts(REPORT_HEAD COUNT("0,1,5,2")));
	ck_assert(!accepts(REPORT_HEAD "[[\"5\",0,1,5,2,[]]]}"));
	ck_assert(!accepts(REPORT_HEAD "[7]}"));
}
END_TEST

START_TEST(test_response)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_record_t record = {
		.service = GC_STR_LIT("app"),
		.target = GC_STR_LIT("v2"),
		.state = GC_ROLLOUT_SUCCEEDED,
		.order = 12,
	};
	gc_rollouts_answer_t answer = {0};
	g_autofree char *none = gc_rollouts_encode_response(adapter, &answer);
	g_autofree char *text = NULL;
	gc_rollouts_answer_t *read;
	static const char *const bad[] = {"", "[]", "{\"record\":7}",
					  "{\"record\":\"{}\"}"};

	answer = (gc_rollouts_answer_t){12, 15, &record};
	text = gc_rollouts_encode_response(adapter, &answer);
	read = gc_rollouts_decode_response(mem, adapter, record.service,
					   gc_str(none), NULL);
	ck_assert_ptr_nonnull(read);
	ck_assert_ptr_null(read->record);
	ck_assert_uint_eq(read->order, 0);
	read = gc_rollouts_decode_response(mem, adapter, record.service,
					   gc_str(text), NULL);
	ck_assert_ptr_nonnull(read);
	ck_assert_uint_eq(read->order, 12);
	ck_assert_uint_eq(read->order_revision, 15);
	ck_assert_int_eq(read->record->state, GC_ROLLOUT_SUCCEEDED);
	ck_assert_uint_eq(read->record->order, 12);
	ck_assert_str_eq(read->record->service.data, "app");
	/* Members that another build doesn't write. */
	ck_assert_ptr_nonnull(gc_rollouts_decode_response(
		mem, adapter, record.service, GC_STR_LIT("{}"), NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_autoptr(GError) err = NULL;

		ck_assert_ptr_null(gc_rollouts_decode_response(
			mem, adapter, record.service, gc_str(bad[i]), &err));
		ck_assert(g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
	}
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_report,
		test_report_of_the_largest_size,
		test_bad_reports,
		test_response,
		NULL,
	};

	return unit_run("rollouts_peer", tests);
}
