/* Encodes and decodes reports and responses of roll-outs. */
#include <stdlib.h>

#include <jansson.h>

#include "core/error.h"
#include "lib/rollouts_peer.h"

#define MAX_COUNTS	  ((size_t)GC_ROLLOUT_MAX_ROUTES * GC_ROLLOUT_N_MEASURES * 2)
#define MAX_SERVICE_BYTES 200
#define HASH_DIGITS	  16
/* Members of an element of the list of counts. */
#define COUNTS_ROUTE	0
#define COUNTS_MEASURE	1
#define COUNTS_TARGET	2
#define COUNTS_ANSWERS	3
#define COUNTS_FAILED	4
#define COUNTS_TIMES	5
#define COUNTS_N_FIELDS 6

static void append_counts(GString *list, const gc_rollout_counts_t *counts);
static char *record_text(const gc_adapter_t *adapter,
			 const gc_rollout_record_t *record);
static void set_invalid(GError **err, const char *member);
static const char *read_numbers(const json_t *json,
				gc_rollout_report_t *report);
static bool read_whole(const json_t *value, int64_t max, int64_t *number);
static uint64_t revision_of(const json_t *json, const char *name);
static bool read_u32(const json_t *value, uint32_t *number);
static bool read_hash(const json_t *value, uint64_t *hash);
static bool read_counts(TALLOC_CTX *mem, const json_t *list,
			gc_rollout_report_t *report);
static bool read_count(const json_t *item, gc_rollout_counts_t *counts);
static bool read_times(const json_t *list, gc_rollout_counts_t *counts);
static bool read_record(TALLOC_CTX *mem, const gc_adapter_t *adapter,
			gc_str_t service, const json_t *value,
			gc_rollout_record_t **record);

char *gc_rollouts_encode_report(const gc_adapter_t *adapter,
				const gc_rollouts_message_t *message)
{
	const gc_rollout_report_t *report = &message->report;
	g_autofree char *record = record_text(adapter, message->record);
	json_t *service =
		json_stringn(message->service.data, message->service.len);
	char *name = json_dumps(service, JSON_ENCODE_ANY);
	GString *text = g_string_new(NULL);

	g_string_append_printf(
		text,
		"{\"service\":%s,\"daemon\":\"%016" G_GINT64_MODIFIER
		"x\",\"order\":%" G_GUINT64_FORMAT
		",\"revision\":%" G_GUINT64_FORMAT
		",\"elapsed_ms\":%" G_GINT64_FORMAT
		",\"requests\":%u,\"sent\":%u,\"record\":%s,\"counts\":[",
		name ? name : "\"\"", report->daemon, report->order,
		message->order_revision, report->elapsed_ms, report->n_requests,
		report->n_sent, record);
	for (size_t i = 0; i < report->n_counts; i++) {
		gsize len = text->len;

		if (i > 0)
			g_string_append_c(text, ',');
		append_counts(text, &report->counts[i]);
		if (text->len + 2 <= GC_ROLLOUTS_MAX_BODY)
			continue;
		g_string_truncate(text, len);
		break;
	}
	g_string_append(text, "]}");
	free(name);
	json_decref(service);
	return g_string_free(text, FALSE);
}

/* Times are pairs of a bucket and its number, without the empty ones. */
static void append_counts(GString *list, const gc_rollout_counts_t *counts)
{
	bool first = true;

	g_string_append_printf(list,
			       "[\"%016" G_GINT64_MODIFIER "x\",%d,%d,%u,%u,[",
			       counts->route, (int)counts->measure,
			       (int)counts->target, counts->n,
			       counts->n_failed);
	for (int i = 0; i < GC_ROLLOUT_TIME_BUCKETS; i++) {
		if (counts->times[i] == 0)
			continue;
		g_string_append_printf(list, "%s%d,%u", first ? "" : ",", i,
				       counts->times[i]);
		first = false;
	}
	g_string_append(list, "]]");
}

/* The record as a JSON string, or "null". */
static char *record_text(const gc_adapter_t *adapter,
			 const gc_rollout_record_t *record)
{
	g_autofree char *value =
		record ? adapter->write_rollout_record(record) : NULL;
	json_t *json = value ? json_string(value) : json_null();
	char *text = json_dumps(json, JSON_ENCODE_ANY);
	char *copy = g_strdup(text);

	json_decref(json);
	free(text);
	return copy;
}

static void set_invalid(GError **err, const char *member)
{
	gc_error_set(err, GC_ERR_INVALID, "decode", "roll-out message",
		     "%s: missing or invalid", member);
}

gc_rollouts_message_t *gc_rollouts_decode_report(TALLOC_CTX *mem,
						 const gc_adapter_t *adapter,
						 gc_str_t body, GError **err)
{
	gc_rollouts_message_t *message =
		talloc_zero(mem, gc_rollouts_message_t);
	json_t *json = json_loadb(body.data, body.len, 0, NULL);
	const json_t *service = json_object_get(json, "service");
	gc_str_t name = {json_string_value(service),
			 json_string_length(service)};
	gc_rollout_record_t *record = NULL;
	const char *fault;

	fault = read_numbers(json, &message->report);
	if (!json_is_string(service) || name.len == 0 ||
	    name.len > MAX_SERVICE_BYTES)
		fault = "service";
	else if (!read_counts(message, json_object_get(json, "counts"),
			      &message->report))
		fault = "counts";
	else if (!read_record(message, adapter, name,
			      json_object_get(json, "record"), &record))
		fault = "record";
	if (!fault) {
		message->service = gc_str_dup(message, name);
		message->record = record;
		message->order_revision = revision_of(json, "revision");
	} else {
		set_invalid(err, fault);
		TALLOC_FREE(message);
	}
	json_decref(json);
	return message;
}

/* The member that is missing or invalid, or NULL. */
static const char *read_numbers(const json_t *json, gc_rollout_report_t *report)
{
	const json_t *elapsed = json_object_get(json, "elapsed_ms");
	int64_t order;

	if (!read_hash(json_object_get(json, "daemon"), &report->daemon))
		return "daemon";
	if (!read_whole(json_object_get(json, "order"), INT64_MAX, &order))
		return "order";
	report->order = (uint64_t)order;
	report->elapsed_ms = -1;
	if (!(json_is_integer(elapsed) && json_integer_value(elapsed) == -1) &&
	    !read_whole(elapsed, INT64_MAX, &report->elapsed_ms))
		return "elapsed_ms";
	if (!read_u32(json_object_get(json, "requests"), &report->n_requests))
		return "requests";
	if (!read_u32(json_object_get(json, "sent"), &report->n_sent))
		return "sent";
	return NULL;
}

static bool read_whole(const json_t *value, int64_t max, int64_t *number)
{
	json_int_t whole = json_integer_value(value);

	if (!json_is_integer(value) || whole < 0 || whole > max)
		return false;
	*number = whole;
	return true;
}

/* 0 if the member is missing or no revision. */
static uint64_t revision_of(const json_t *json, const char *name)
{
	int64_t revision = 0;

	read_whole(json_object_get(json, name), INT64_MAX, &revision);
	return (uint64_t)revision;
}

static bool read_u32(const json_t *value, uint32_t *number)
{
	int64_t whole;

	if (!read_whole(value, UINT32_MAX, &whole))
		return false;
	*number = (uint32_t)whole;
	return true;
}

static bool read_hash(const json_t *value, uint64_t *hash)
{
	return json_string_length(value) == HASH_DIGITS &&
	       g_ascii_string_to_unsigned(json_string_value(value), 16, 0,
					  G_MAXUINT64, hash, NULL);
}

static bool read_counts(TALLOC_CTX *mem, const json_t *list,
			gc_rollout_report_t *report)
{
	size_t n = json_array_size(list);
	gc_rollout_counts_t *counts;

	if (!json_is_array(list) || n > MAX_COUNTS)
		return false;
	counts = talloc_zero_array(mem, gc_rollout_counts_t, (unsigned int)n);
	for (size_t i = 0; i < n; i++)
		if (!read_count(json_array_get(list, i), &counts[i]))
			return false;
	report->counts = counts;
	report->n_counts = n;
	return true;
}

/* Fields that a later build appends are ignored. */
static bool read_count(const json_t *item, gc_rollout_counts_t *counts)
{
	int64_t measure;
	int64_t target;

	if (json_array_size(item) < COUNTS_N_FIELDS ||
	    !read_hash(json_array_get(item, COUNTS_ROUTE), &counts->route) ||
	    !read_whole(json_array_get(item, COUNTS_MEASURE),
			GC_ROLLOUT_N_MEASURES - 1, &measure) ||
	    !read_whole(json_array_get(item, COUNTS_TARGET), 1, &target) ||
	    !read_u32(json_array_get(item, COUNTS_ANSWERS), &counts->n) ||
	    !read_u32(json_array_get(item, COUNTS_FAILED), &counts->n_failed) ||
	    counts->n_failed > counts->n)
		return false;
	counts->measure = (gc_rollout_measure_t)measure;
	counts->target = target == 1;
	return read_times(json_array_get(item, COUNTS_TIMES), counts);
}

static bool read_times(const json_t *list, gc_rollout_counts_t *counts)
{
	size_t n = json_array_size(list);
	uint64_t sum = counts->n_failed;

	if (!json_is_array(list) || n % 2 != 0)
		return false;
	for (size_t i = 0; i < n; i += 2) {
		int64_t bucket;

		if (!read_whole(json_array_get(list, i),
				GC_ROLLOUT_TIME_BUCKETS - 1, &bucket) ||
		    !read_u32(json_array_get(list, i + 1),
			      &counts->times[bucket]))
			return false;
		sum += counts->times[bucket];
	}
	return sum <= counts->n;
}

/* False if there is one that is invalid. */
static bool read_record(TALLOC_CTX *mem, const gc_adapter_t *adapter,
			gc_str_t service, const json_t *value,
			gc_rollout_record_t **record)
{
	gc_str_t text = {json_string_value(value), json_string_length(value)};

	*record = NULL;
	if (!value || json_is_null(value))
		return true;
	if (!json_is_string(value))
		return false;
	*record = talloc_zero(mem, gc_rollout_record_t);
	if (adapter->read_rollout_record(*record, service, text, *record, NULL))
		return true;
	TALLOC_FREE(*record);
	return false;
}

char *gc_rollouts_encode_response(const gc_adapter_t *adapter,
				  const gc_rollouts_answer_t *answer)
{
	g_autofree char *text = record_text(adapter, answer->record);

	return g_strdup_printf("{\"order\":%" G_GUINT64_FORMAT
			       ",\"revision\":%" G_GUINT64_FORMAT
			       ",\"record\":%s}",
			       answer->order, answer->order_revision, text);
}

gc_rollouts_answer_t *gc_rollouts_decode_response(TALLOC_CTX *mem,
						  const gc_adapter_t *adapter,
						  gc_str_t service,
						  gc_str_t body, GError **err)
{
	gc_rollouts_answer_t *answer = talloc_zero(mem, gc_rollouts_answer_t);
	json_t *json = json_loadb(body.data, body.len, 0, NULL);
	gc_rollout_record_t *record = NULL;

	if (json_is_object(json) &&
	    read_record(answer, adapter, service,
			json_object_get(json, "record"), &record)) {
		answer->order = revision_of(json, "order");
		answer->order_revision = revision_of(json, "revision");
		answer->record = record;
	} else {
		set_invalid(err, "record");
		TALLOC_FREE(answer);
	}
	json_decref(json);
	return answer;
}
