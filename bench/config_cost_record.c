/* Configurations as an operator writes them, with a change from version to version. */
#include "config_cost.h"

#define N_TENANTS 4

const char *const change_names[N_CHANGES] = {"route", "key", "limit", "all"};

static void append_route(GString *text, uint64_t index, uint64_t timeout_ms)
{
	static const char *const kinds[] = {"idempotent", "non_idempotent",
					    "streaming"};

	g_string_append_printf(
		text,
		"%s{\"name\":\"route-%" G_GUINT64_FORMAT
		"\",\"host\":\"h%" G_GUINT64_FORMAT
		".example\",\"path_prefix\":\"/path/%" G_GUINT64_FORMAT
		"/\",\"kind\":\"%s\",\"service\":\"s%" G_GUINT64_FORMAT
		"\",\"max_attempts\":4,\"timeout_ms\":%" G_GUINT64_FORMAT
		",\"target_latency_ms\":300,\"target_gap_ms\":700,"
		"\"priority\":1,\"anonymous\":false,\"sticky\":false,"
		"\"resumable\":%s}",
		index == 0 ? "" : ",", index, index % 4, index,
		kinds[index % G_N_ELEMENTS(kinds)], index % 8, timeout_ms,
		index % G_N_ELEMENTS(kinds) == 2 ? "true" : "false");
}

static uint64_t timeout_of(uint64_t index, uint64_t n_routes,
			   change_kind_t kind, uint64_t version)
{
	bool changes = kind == CHANGE_ALL ||
		       (kind == CHANGE_ROUTE && index == n_routes / 2);

	return changes ? 5000 + version : 5000;
}

char *write_record(uint64_t n_routes, change_kind_t kind, uint64_t version)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "{\"version\":%" G_GUINT64_FORMAT
			       ",\"routes\":[",
			       1000 + version);
	for (uint64_t i = 0; i < n_routes; i++)
		append_route(text, i, timeout_of(i, n_routes, kind, version));
	g_string_append(text, "],\"services\":[");
	for (int i = 0; i < 8; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"s%d\",\"max_connections\":50,"
			"\"engine\":{\"backups\":true}}",
			i == 0 ? "" : ",", i);
	g_string_append_printf(text,
			       "],\"limits\":{\"max_header_bytes\":16384,"
			       "\"max_body_bytes\":1048576,"
			       "\"header_timeout_ms\":400,"
			       "\"idle_timeout_ms\":%" G_GUINT64_FORMAT
			       "},\"tenants\":[",
			       kind == CHANGE_LIMIT ? 5000 + version : 5000);
	for (int i = 0; i < N_TENANTS; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"tenant-%d\",\"api_keys\":["
			"\"key-%d-%" G_GUINT64_FORMAT "\",\"key-%d\"]}",
			i == 0 ? "" : ",", i, i,
			kind == CHANGE_KEY && i == 1 ? 1000 + version : 1000,
			i);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}
