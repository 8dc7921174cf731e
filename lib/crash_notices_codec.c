/* Notices on requests that crash servers, as JSON. */
#include <jansson.h>
#include <stdlib.h>

#include "core/error.h"
#include "lib/crash_notices.h"

#define HEX_DIGITS 16 /* of a 64-bit number */
/* End of the year 9999: sums with times up to it don't overflow. */
#define MAX_TIME_OF_DAY_MS INT64_C(253402300799999)

static json_t *encode_report(const gc_crash_report_t *report);
static json_t *encode_hex(uint64_t number);
static bool decode_report(const json_t *json, gc_crash_report_t *report,
			  GError **err);
static bool decode_parts(const json_t *json, gc_request_traits_t *traits,
			 GError **err);
static bool parse_hex_json(const json_t *json, uint64_t *number);
static bool invalid(GError **err, const char *message);

char *gc_crash_notices_encode_reports(const gc_crash_report_t *reports,
				      size_t n, int64_t kept_ms)
{
	json_t *list = json_array();
	json_t *json = json_pack("{s:o}", "reports", list);
	char *text;
	char *copy;

	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, encode_report(&reports[i]));
	if (kept_ms > 0)
		json_object_set_new(json, "kept_ms", json_integer(kept_ms));
	text = json_dumps(json, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(json);
	return copy;
}

static json_t *encode_report(const gc_crash_report_t *report)
{
	json_t *parts = json_array();

	for (size_t i = 0; i < report->traits.n_parts; i++)
		json_array_append_new(parts,
				      encode_hex(report->traits.parts[i]));
	return json_pack("{s:o,s:o,s:o,s:I,s:b,s:o,s:o}", "id",
			 encode_hex(report->id), "server",
			 encode_hex(report->server), "domain",
			 encode_hex(report->domain), "at_ms",
			 (json_int_t)report->at_ms, "resent", report->resent,
			 "request", encode_hex(report->traits.request), "parts",
			 parts);
}

static json_t *encode_hex(uint64_t number)
{
	g_autofree char *digits =
		g_strdup_printf("%016" G_GINT64_MODIFIER "x", number);

	return json_string(digits);
}

bool gc_crash_notices_decode_reports(gc_str_t value, GArray *reports,
				     int64_t *kept_ms, GError **err)
{
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	const json_t *list = json_object_get(json, "reports");
	const json_t *kept = json_object_get(json, "kept_ms");
	guint known = reports->len;
	bool valid = json_is_array(list) && json_array_size(list) > 0 &&
		     json_array_size(list) <= GC_CRASH_NOTICES_MAX_REPORTS;

	if (!valid)
		invalid(err, "not an object with a list of 1 to " G_STRINGIFY(
				     GC_CRASH_NOTICES_MAX_REPORTS) " reports");
	*kept_ms = json_integer_value(kept);
	if (valid && kept && (!json_is_integer(kept) || *kept_ms < 0))
		valid = invalid(err, "kept_ms must be a time in ms");
	for (size_t i = 0; valid && i < json_array_size(list); i++) {
		gc_crash_report_t report;

		valid = decode_report(json_array_get(list, i), &report, err);
		g_array_append_val(reports, report);
	}
	if (!valid)
		g_array_set_size(reports, known);
	json_decref(json);
	return valid;
}

static bool decode_report(const json_t *json, gc_crash_report_t *report,
			  GError **err)
{
	const json_t *at_ms = json_object_get(json, "at_ms");

	*report = (gc_crash_report_t){
		.at_ms = json_integer_value(at_ms),
		.resent = json_is_true(json_object_get(json, "resent")),
	};
	if (!json_is_object(json))
		return invalid(err, "a report must be an object");
	if (!parse_hex_json(json_object_get(json, "id"), &report->id) ||
	    !parse_hex_json(json_object_get(json, "server"), &report->server) ||
	    !parse_hex_json(json_object_get(json, "domain"), &report->domain) ||
	    !parse_hex_json(json_object_get(json, "request"),
			    &report->traits.request))
		return invalid(err, "id, server, domain and request must be "
				    "strings of 16 hex digits");
	if (!json_is_integer(at_ms) || report->at_ms < 0 ||
	    report->at_ms > MAX_TIME_OF_DAY_MS)
		return invalid(err, "at_ms must be a time of day in ms");
	if (!decode_parts(json_object_get(json, "parts"), &report->traits, err))
		return false;
	return report->traits.request != 0 || report->traits.n_parts > 0 ||
	       invalid(err, "a report must have a request or a part");
}

static bool decode_parts(const json_t *json, gc_request_traits_t *traits,
			 GError **err)
{
	size_t i;
	json_t *id;

	if (!json_is_array(json) ||
	    json_array_size(json) > GC_REQUEST_PARTS_MAX)
		return invalid(err,
			       "parts must be a list of up to " G_STRINGIFY(
				       GC_REQUEST_PARTS_MAX) " strings");
	json_array_foreach (json, i, id) {
		if (!parse_hex_json(id, &traits->parts[i]))
			return invalid(
				err,
				"a part must be a string of 16 hex digits");
	}
	traits->n_parts = json_array_size(json);
	return true;
}

static bool parse_hex_json(const json_t *json, uint64_t *number)
{
	return json_is_string(json) &&
	       gc_crash_notices_parse_hex((gc_str_t){json_string_value(json),
						     json_string_length(json)},
					  number);
}

/* Only lower-case digits, so that each trait has one key. */
bool gc_crash_notices_parse_hex(gc_str_t digits, uint64_t *number)
{
	*number = 0;
	if (digits.len != HEX_DIGITS)
		return false;
	for (size_t i = 0; i < digits.len; i++) {
		if (!g_ascii_isxdigit(digits.data[i]) ||
		    g_ascii_isupper(digits.data[i]))
			return false;
		*number = *number << 4 |
			  (uint64_t)g_ascii_xdigit_value(digits.data[i]);
	}
	return true;
}

static bool invalid(GError **err, const char *message)
{
	gc_error_set(err, GC_ERR_INVALID, "read notice", "store", "%s",
		     message);
	return false;
}
