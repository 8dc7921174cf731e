/*
 * Guards against misread records of the platform, and against invalid entries
 * of other writers that are accepted as usable servers.
 */
#include "core/error.h"
#include "platform/platform.h"
#include "platform/records.h"
#include "regress/unit.h"

static bool accepts_server(const char *record);
static char *server_record(const char *field, const char *value);
static void check_field(const char *field, const char *value, bool accepted);

static const char *const config =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"h.example\",\"path_prefix\":\"/a/\","
	"\"kind\":\"streaming\",\"timeout_ms\":25000,"
	"\"target_latency_ms\":4500,\"traffic_split\":["
	"{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\","
	"\"weight\":10}],\"max_attempts\":5,\"anonymous\":false,"
	"\"resumable\":true,\"target_gap_ms\":700},"
	"{\"name\":\"r2\",\"host\":\"h.example\",\"path_prefix\":\"/b/\","
	"\"kind\":\"non_idempotent\",\"service\":\"s2\",\"anonymous\":true},"
	"{\"name\":\"r3\",\"host\":\"h.example\",\"path_prefix\":\"/c/\","
	"\"kind\":\"unheard_of\",\"service\":\"s2\"}],"
	"\"services\":[{\"name\":\"s1\",\"max_connections\":771,\"engine\":"
	"{\"backups\":true}},{\"name\":\"s2\",\"max_connections\":214}],"
	"\"limits\":{\"max_header_bytes\":1000,\"idle_timeout_ms\":9000},"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\",3]}]}";

/* Values in the store have any bytes; a copy that ended at a NUL was read on behind
 * its end. */
START_TEST(test_copies_keep_all_bytes)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t text = {"a\0b\0", 4};
	gc_str_t copy = gc_str_dup(mem, text);

	ck_assert_uint_ge(talloc_get_size(copy.data), 5);
	ck_assert(gc_str_eq(copy, text));
	ck_assert_int_eq(copy.data[4], 0);
	talloc_free(mem);
}
END_TEST

START_TEST(test_routes)
{
	g_autoptr(GError) err = NULL;
	gc_routes_t *routes =
		gc_platform_read_routes(gc_str(config), NULL, &err);
	const gc_route_t *route;
	gc_str_t account;

	ck_assert_ptr_nonnull(routes);
	ck_assert_uint_eq(gc_routes_version(routes), 7);
	ck_assert_uint_eq(gc_routes_count(routes), 2);
	route = gc_routes_find(routes, gc_str("h.example"), gc_str("/a/x"));
	ck_assert_int_eq(route->kind, GC_ROUTE_STREAM);
	ck_assert(route->resumable);
	ck_assert(!route->anonymous);
	ck_assert_uint_eq(route->n_targets, 2);
	ck_assert_uint_eq(route->targets[0].weight, 90);
	ck_assert_uint_eq(route->max_attempts, 5);
	ck_assert_int_eq(route->timeout_ms, 25000);
	ck_assert_int_eq(route->target_latency_ms, 4500);
	ck_assert_int_eq(route->target_gap_ms, 700);
	route = gc_routes_find(routes, gc_str("h.example"), gc_str("/b/"));
	ck_assert_int_eq(route->kind, GC_ROUTE_NON_IDEMPOTENT);
	ck_assert(route->anonymous);
	ck_assert_uint_eq(route->n_targets, 1);
	ck_assert_uint_eq(route->max_attempts, 1);
	ck_assert(
		gc_routes_find_service(routes, gc_str("s1"))->copies_kv_cache);
	ck_assert(!gc_routes_find_service(routes, gc_str("s2"))->reports_load);
	ck_assert_uint_eq(gc_routes_limits(routes)->max_header_bytes, 1000);
	ck_assert_uint_eq(gc_routes_limits(routes)->max_body_bytes, 4194304);
	ck_assert_int_eq(gc_routes_limits(routes)->idle_timeout_ms, 9000);
	ck_assert(gc_routes_find_account(routes, gc_str("k2"), &account));
	ck_assert_str_eq(account.data, "t");
	gc_routes_unref(routes);
}
END_TEST

static char *config_of(const char *routes)
{
	return g_strdup_printf("{\"version\":2,\"routes\":[%s]}", routes);
}

#define ROUTE(path, service)                      \
	"{\"host\":\"h\",\"path_prefix\":\"" path \
	"\",\"kind\":\"idempotent\",\"service\":\"" service "\"}"

/* A change must not cost what there is, but what it changes. */
START_TEST(test_routes_that_did_not_change_are_shared)
{
	g_autofree char *first =
		config_of(ROUTE("/a/", "s") "," ROUTE("/b/", "s"));
	g_autofree char *second = config_of(
		ROUTE("/n/", "s") "," ROUTE("/a/", "s") "," ROUTE("/b/", "t"));
	gc_routes_t *former =
		gc_platform_read_routes(gc_str(first), NULL, NULL);
	gc_routes_t *routes =
		gc_platform_read_routes(gc_str(second), former, NULL);

	ck_assert_uint_eq(gc_routes_count(routes), 3);
	ck_assert_ptr_eq(gc_routes_find(routes, gc_str("h"), gc_str("/a/")),
			 gc_routes_find(former, gc_str("h"), gc_str("/a/")));
	ck_assert_ptr_ne(gc_routes_find(routes, gc_str("h"), gc_str("/b/")),
			 gc_routes_find(former, gc_str("h"), gc_str("/b/")));
	ck_assert_ptr_null(gc_routes_find(former, gc_str("h"), gc_str("/n/")));
	gc_routes_unref(former);
	ck_assert_str_eq(gc_routes_find(routes, gc_str("h"), gc_str("/a/"))
				 ->targets[0]
				 .service.data,
			 "s");
	gc_routes_unref(routes);
}
END_TEST

/* The first one counts, also after any other version. */
START_TEST(test_route_twice)
{
	static const struct {
		const char *routes;
		const char *service;
	} cases[] = {
		{ROUTE("/a/", "s") "," ROUTE("/b/", "u") "," ROUTE("/a/", "t"),
		 "s"},
		{ROUTE("/b/", "u") "," ROUTE("/a/", "t"), "t"},
		{ROUTE("/a/", "t") "," ROUTE("/a/", "s") "," ROUTE("/b/", "u"),
		 "t"},
	};
	gc_routes_t *former = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = config_of(cases[i].routes);
		gc_routes_t *routes =
			gc_platform_read_routes(gc_str(text), former, NULL);

		ck_assert_ptr_nonnull(routes);
		ck_assert_uint_eq(gc_routes_count(routes), 2);
		ck_assert_str_eq(gc_routes_find(routes, gc_str("h"),
						gc_str("/a/x"))
					 ->targets[0]
					 .service.data,
				 cases[i].service);
		gc_routes_unref(former);
		former = routes;
	}
	gc_routes_unref(former);
}
END_TEST

START_TEST(test_place_of_a_wrong_route_is_named)
{
	static const struct {
		const char *routes;
		const char *error;
	} cases[] = {
		{ROUTE("/a/", "s") ",{\"host\":h}",
		 "routes: element 1 at byte 90: invalid token near 'h'"},
		{ROUTE("/a/", "s") " " ROUTE("/b/", "s"),
		 "routes: element 1 at byte 90: a comma or a bracket is "
		 "missing"},
		{ROUTE("/a/", "s") ",{\"host\":\"",
		 "routes: element 1 at byte 90: not a JSON value"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) err = NULL;
		g_autofree char *text = config_of(cases[i].routes);

		ck_assert_ptr_null(
			gc_platform_read_routes(gc_str(text), NULL, &err));
		ck_assert_str_eq(err->message, cases[i].error);
	}
}
END_TEST

/* More than a response of the store may have; the last one has the path of the first. */
START_TEST(test_very_many_routes)
{
	g_autoptr(GError) err = NULL;
	GString *list = g_string_new(NULL);
	gc_routes_t *former;
	g_autofree char *all = NULL;
	g_autofree char *twice = NULL;

	for (int i = 0; i < 100000; i++)
		g_string_append_printf(
			list,
			"%s{\"name\":\"route-%d\",\"host\":\"h.example\","
			"\"path_prefix\":\"/path/%d/\",\"kind\":\"idempotent\","
			"\"service\":\"s1\"}",
			i ? "," : "", i, i);
	all = config_of(list->str);
	g_string_append(list, "," ROUTE("/x/", "s"));
	g_string_append(list, ",{\"host\":\"h.example\",\"path_prefix\":"
			      "\"/path/0/\",\"kind\":\"streaming\"}");
	twice = config_of(list->str);
	g_string_free(list, TRUE);
	former = gc_platform_read_routes(gc_str(all), NULL, NULL);
	ck_assert_uint_eq(gc_routes_count(former), 100000);
	for (int i = 0; i < 2; i++) {
		gc_routes_t *routes = gc_platform_read_routes(
			gc_str(twice), i ? former : NULL, &err);

		ck_assert_ptr_nonnull(routes);
		ck_assert(gc_routes_has_duplicates(routes));
		ck_assert_uint_eq(gc_routes_count(routes), 100001);
		ck_assert_int_eq(gc_routes_find(routes, gc_str("h.example"),
						gc_str("/path/0/x"))
					 ->kind,
				 GC_ROUTE_IDEMPOTENT);
		gc_routes_unref(routes);
	}
	gc_routes_unref(former);
}
END_TEST

/* Keys are required only if the configuration lists client accounts. */
START_TEST(test_keys_are_required_only_with_accounts)
{
	static const char *const texts[] = {
		"{\"version\":1,\"routes\":[{\"host\":\"h\",\"path_prefix\":"
		"\"/\",\"kind\":\"idempotent\",\"service\":\"s\"}]}",
		"{\"version\":1,\"routes\":[{\"host\":\"h\",\"path_prefix\":"
		"\"/\",\"kind\":\"idempotent\",\"service\":\"s\"}],"
		"\"tenants\":[]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		gc_routes_t *routes =
			gc_platform_read_routes(gc_str(texts[i]), NULL, NULL);
		const gc_route_t *route =
			gc_routes_find(routes, gc_str("h"), gc_str("/x"));

		ck_assert(gc_routes_needs_key(routes, route) == (i == 1));
		gc_routes_unref(routes);
	}
}
END_TEST

START_TEST(test_invalid_config)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"version\":\"7\"}",
		"{\"version\":7",
		"{\"version\":-1}",
		"{\"version\":7.0}",
		"{\"version\":9223372036854775808}",
		"{\"version\":7,\"routes\":{}}",
		"{\"version\":7,\"services\":7}",
		"{\"version\":7,\"tenants\":{}}",
		"{\"version\":7,\"tenants\":\"none\"}",
		"{\"version\":7,\"limits\":[]}",
		"{\"version\":7,\"limits\":{\"max_body_bytes\":-1}}",
		"{\"version\":7,\"limits\":{\"max_header_bytes\":\"9\"}}",
		"{\"version\":7,\"limits\":{\"idle_timeout_ms\":1e300}}",
		"{\"version\":7,\"limits\":{\"header_timeout_ms\":0.5}}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		g_autoptr(GError) err = NULL;

		ck_assert_ptr_null(
			gc_platform_read_routes(gc_str(texts[i]), NULL, &err));
		ck_assert(g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
	}
}
END_TEST

/* True if the record is accepted as the entry of a usable server. */
static bool accepts_server(const char *record)
{
	g_autoptr(GError) err = NULL;
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_registry_entry_t entry;
	bool ok = gc_platform_read_server(mem, gc_str("i-1"), gc_str(record),
					  &entry, &err);

	ck_assert(ok || err);
	talloc_free(mem);
	return ok;
}

START_TEST(test_server_entries)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_registry_entry_t entry;

	ck_assert(gc_platform_read_server(
		mem, gc_str("i-1"),
		gc_str("{\"service\":\"s\",\"address\":\"10.0.0.1:80\","
		       "\"zone\":\"z\",\"slots\":64,\"state\":\"draining\","
		       "\"born\":1790000000123}"),
		&entry, NULL));
	ck_assert_str_eq(entry.id.data, "i-1");
	ck_assert_str_eq(entry.failure_domain.data, "z");
	ck_assert(entry.draining);
	ck_assert_int_eq(entry.started_ms, INT64_C(1790000000123));
	talloc_free(mem);
	ck_assert(!accepts_server("\xff\x00"));
	ck_assert(!accepts_server("null"));
}
END_TEST

/* A valid entry in which `value` (JSON) stands for the field, or the field is
 * missing if value is NULL. */
static char *server_record(const char *field, const char *value)
{
	static const char *const fields[][2] = {
		{"service", "\"s\""},
		{"address", "\"10.0.0.1:80\""},
		{"zone", "\"z\""},
		{"version", "\"v1\""},
		{"slots", "64"},
		{"state", "\"ready\""},
		{"cold_remaining_ms", "0"},
		{"sequence", "1"},
		{"born", "1790000000123"},
	};
	GString *text = g_string_new("{\"more\":[]");

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		bool replaced = g_str_equal(fields[i][0], field);

		if (!replaced || value)
			g_string_append_printf(text, ",\"%s\":%s", fields[i][0],
					       replaced ? value : fields[i][1]);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static void check_field(const char *field, const char *value, bool accepted)
{
	g_autofree char *record = server_record(field, value);

	ck_assert_msg(accepts_server(record) == accepted, "%.300s", record);
}

/* Fault seen in a trial: a port of 70000 was taken for a usable server. */
START_TEST(test_addresses_of_server_entries)
{
	static const char *const good[] = {
		"\"10.0.0.1:1\"",
		"\"127.0.0.1:65535\"",
		"\"223.255.255.255:80\"",
	};
	static const char *const bad[] = {
		"\"\"",
		"\":\"",
		"\":80\"",
		"\"10.0.0.1\"",
		"\"10.0.0.1:\"",
		"\"10.0.0.1:0\"",
		"\"10.0.0.1:-1\"",
		"\"10.0.0.1:+80\"",
		"\"10.0.0.1: 80\"",
		"\"10.0.0.1:80 \"",
		"\"10.0.0.1:080\"",
		"\"10.0.0.1:0x50\"",
		"\"10.0.0.1:65536\"",
		"\"10.0.0.1:70000\"",
		"\"10.0.0.1:18446744073709551696\"",
		"\"10.0.0.1:-18446744073709551535\"",
		"\"10.0.0.1:80:80\"",
		"\"256.0.0.1:80\"",
		"\"10.0.1:80\"",
		"\"10.0.0.1.1:80\"",
		"\"0.0.0.0:80\"",
		"\"224.0.0.1:80\"",
		"\"255.255.255.255:80\"",
		"\"localhost:80\"",
		"\"[::1]:80\"",
		"\"10.0.0.1:80\\r\\nX: 1\"",
		"\"http://10.0.0.1:80\"",
		"80",
		"[\"10.0.0.1:80\"]",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(good); i++)
		check_field("address", good[i], true);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		check_field("address", bad[i], false);
}
END_TEST

START_TEST(test_fields_of_server_entries)
{
	/* Field, value (NULL: missing), accepted. */
	static const struct {
		const char *field, *value;
		bool accepted;
	} cases[] = {
		{"more", NULL, true},
		{"service", NULL, false},
		{"service", "\"\"", false},
		{"service", "7", false},
		{"service", "{}", false},
		{"address", NULL, false},
		{"zone", NULL, false},
		{"zone", "null", false},
		{"zone", "[]", false},
		{"version", NULL, true},
		{"version", "2", false},
		{"version", "null", false},
		{"slots", NULL, false},
		{"slots", "\"64\"", false},
		{"slots", "true", false},
		{"slots", "0", false},
		{"slots", "-1", false},
		{"slots", "64.0", true},
		{"slots", "64.5", false},
		{"slots", "4294967295", true},
		{"slots", "4294967296", false},
		{"slots", "1e300", false},
		{"slots", "-1e300", false},
		{"slots", "1e400", false},
		{"slots", "99999999999999999999", false},
		{"born", NULL, false},
		{"born", "\"1790000000123\"", false},
		{"born", "0", false},
		{"born", "-1", false},
		{"born", "1790000000123.5", false},
		{"born", "253402300799999", true},
		{"born", "253402300800000", false},
		{"born", "9223372036854775807", false},
		{"born", "9.3e18", false},
		{"born", "1e300", false},
		{"state", NULL, false},
		{"state", "\"sleeping\"", false},
		{"state", "\"READY\"", false},
		{"state", "1", false},
		{"cold_remaining_ms", NULL, true},
		{"cold_remaining_ms", "\"0\"", false},
		{"cold_remaining_ms", "1e300", false},
		{"sequence", NULL, true},
		{"sequence", "{}", false},
		{"sequence", "-1", false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		check_field(cases[i].field, cases[i].value, cases[i].accepted);
}
END_TEST

/* The id is sent to the server in a header. */
START_TEST(test_ids_of_server_entries)
{
	static const struct {
		gc_str_t id;
		bool accepted;
	} cases[] = {
		{GC_STR_LIT("i-7f3a91c2"), true},
		{GC_STR_LIT("a/b"), true},
		{GC_STR_LIT(""), false},
		{GC_STR_LIT(" i"), false},
		{GC_STR_LIT("i 1"), false},
		{GC_STR_LIT("i\r\nX: 1"), false},
		{GC_STR_LIT("i\n"), false},
		{GC_STR_LIT("i\0"), false},
		{GC_STR_LIT("i\x7f"), false},
		{GC_STR_LIT("\xc3\xa9"), false},
		{GC_STR_LIT("\xff"), false},
	};
	g_autofree char *record = server_record("", NULL);
	g_autofree char *text = g_strnfill(200, 'i');
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_registry_entry_t entry;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GError) err = NULL;

		ck_assert_msg(gc_platform_read_server(
				      mem, cases[i].id, gc_str(record), &entry,
				      &err) == cases[i].accepted,
			      "%s", cases[i].id.data);
	}
	ck_assert(gc_platform_read_server(mem, gc_str(text), gc_str(record),
					  &entry, NULL));
	talloc_free(mem);
}
END_TEST

/* Deeper than the parser goes, and as long as the store allows. */
START_TEST(test_large_server_entries)
{
	GString *deep = g_string_new(NULL);
	GString *text = g_string_new("\"");
	g_autofree char *record = NULL;

	for (int i = 0; i < 100000; i++)
		g_string_append_c(deep, '[');
	check_field("service", deep->str, false);
	ck_assert(!accepts_server(deep->str));
	for (int i = 0; i < 1 << 20; i++)
		g_string_append_c(text, 'x');
	g_string_append_c(text, '"');
	check_field("service", text->str, false);
	check_field("zone", text->str, false);
	check_field("version", text->str, false);
	record = g_strdup_printf("{\"text\":%s}", text->str);
	ck_assert(!accepts_server(record));
	g_string_free(deep, TRUE);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(test_load_report)
{
	gc_backend_load_t load;

	ck_assert(gc_platform_read_load(
		gc_str("{\"queued\":1,\"running\":12,\"kv_used\":45000,"
		       "\"kv_total\":90000}"),
		&load));
	ck_assert_uint_eq(load.running, 12);
	ck_assert_uint_eq(load.queued, 1);
	ck_assert_int_eq(load.kv_used * 2, load.kv_total);
	ck_assert_int_eq(load.started_ms, 0);
	ck_assert(gc_platform_read_load(gc_str("{\"born\":1700000000001}"),
					&load));
	ck_assert_int_eq(load.started_ms, 1700000000001);
	/* No times of day. */
	ck_assert(gc_platform_read_load(gc_str("{\"born\":-1}"), &load));
	ck_assert_int_eq(load.started_ms, 0);
	ck_assert(gc_platform_read_load(gc_str("{\"born\":\"now\"}"), &load));
	ck_assert_int_eq(load.started_ms, 0);
	ck_assert(!gc_platform_read_load(gc_str("busy"), &load));
	/* Too large for the integers in which they are kept. */
	ck_assert(gc_platform_read_load(
		gc_str("{\"queued\":1e300,\"running\":-1e300,"
		       "\"kv_used\":9.3e18,\"kv_total\":-9.3e18}"),
		&load));
	ck_assert_uint_eq(load.running, 0);
	ck_assert_uint_eq(load.queued, 0);
	ck_assert_int_eq(load.kv_used, 0);
	ck_assert_int_eq(load.kv_total, 0);
}
END_TEST

START_TEST(test_token_counts)
{
	static const char *const invalid[] = {"",      ",",    "1",    "1,",
					      ",1",    "-1,2", "+1,2", "1.0,2",
					      "1,2,3", "1, 2", "a,b"};
	const gc_adapter_t *adapter = &gc_platform_adapter;
	int64_t prompt, output;

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert(!adapter->read_token_counts(gc_str(invalid[i]),
						      &prompt, &output));
	ck_assert(adapter->read_token_counts(gc_str("0001460,80"), &prompt,
					     &output));
	ck_assert_int_eq(prompt, 1460);
	ck_assert_int_eq(output, 80);
	ck_assert(adapter->read_token_counts(
		gc_str("9223372036854775808,99999999999999999999"), &prompt,
		&output));
	ck_assert_int_eq(prompt, INT32_MAX);
	ck_assert_int_eq(output, INT32_MAX);
}
END_TEST

START_TEST(test_address_query_and_response)
{
	const gc_adapter_t *adapter = &gc_platform_adapter;
	gc_str_t addresses[] = {gc_str("10.0.0.1:1"), gc_str("10.0.0.2:1")};
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_address_query_t query;
	g_autofree char *text = adapter->write_addresses(addresses, 2, 2);

	ck_assert_str_eq(text, "{\"addresses\":[\"10.0.0.1:1\","
			       "\"10.0.0.2:1\"],\"ttl_s\":2}");
	adapter->read_address_query(
		mem, gc_str("/v1/resolve?name=h&region=r&zone=a%2Fb"), &query);
	ck_assert_str_eq(query.failure_domain.data, "a/b");
	adapter->read_address_query(mem, gc_str("/v1/resolve"), &query);
	ck_assert_uint_eq(query.failure_domain.len, 0);
	talloc_free(mem);
}
END_TEST

START_TEST(test_copy_requests)
{
	const gc_adapter_t *adapter = &gc_platform_adapter;
	g_autofree char *text = adapter->write_copy_request(
		gc_str("9c41"), gc_str("10.0.0.2:80"));
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_str_t handle;

	ck_assert_str_eq(text, "{\"id\":\"9c41\",\"target\":\"10.0.0.2:80\"}");
	ck_assert(adapter->read_copy_handle(mem, gc_str("{\"handle\":\"h1\"}"),
					    &handle));
	ck_assert_str_eq(handle.data, "h1");
	ck_assert(adapter->read_copy_handle(mem, gc_str("{\"handle\":17}"),
					    &handle));
	ck_assert_str_eq(handle.data, "17");
	ck_assert(!adapter->read_copy_handle(mem, gc_str("{}"), &handle));
	talloc_free(mem);
}
END_TEST

/* The last part is the request's own. */
START_TEST(test_shared_parts)
{
	const gc_adapter_t *adapter = &gc_platform_adapter;
	gc_str_t ids[3];

	ck_assert_uint_eq(
		adapter->shared_parts(gc_str("aa:100, b:5,own:3"), ids, 3), 2);
	ck_assert(gc_str_eq(ids[0], gc_str("aa")));
	ck_assert(gc_str_eq(ids[1], gc_str("b")));
	ck_assert_uint_eq(adapter->shared_parts(gc_str("own:3"), ids, 3), 0);
	ck_assert_uint_eq(adapter->shared_parts(GC_STR_EMPTY, ids, 3), 0);
	ck_assert_uint_eq(adapter->shared_parts((gc_str_t){NULL, 0}, ids, 3),
			  0);
	ck_assert_uint_eq(
		adapter->shared_parts(gc_str(",x,:4,a:1,,own:3"), ids, 3), 1);
	ck_assert(gc_str_eq(ids[0], gc_str("a")));
	ck_assert_uint_eq(adapter->shared_parts(gc_str("a:1,b:2,c:3,d:4,e:5"),
						ids, 3),
			  3);
	ck_assert(gc_str_eq(ids[2], gc_str("c")));
}
END_TEST

static char *rollout_fault(const char *order)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	GError *err = NULL;
	gc_rollout_order_t read;
	char *message = NULL;
	bool ok = gc_platform_adapter.read_rollout_order(
		mem, GC_STR_LIT("app"), gc_str(order), &read, &err);

	ck_assert(ok == !err);
	if (err) {
		ck_assert(g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
		message = g_strdup(err->message);
		g_error_free(err);
	}
	talloc_free(mem);
	return message;
}

static void check_rollout_fault(const char *order, const char *message)
{
	g_autofree char *fault = rollout_fault(order);

	ck_assert_ptr_nonnull(fault);
	ck_assert_ptr_nonnull(strstr(fault, message));
}

/* An order that can't be meant was carried out, or its fault not named. */
START_TEST(test_rollout_orders)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_order_t order;

	ck_assert(gc_platform_adapter.read_rollout_order(
		mem, GC_STR_LIT("app"),
		GC_STR_LIT("{\"service\":\"app\",\"target\":\"v2\","
			   "\"duration_s\":1.5,\"more\":[]}"),
		&order, NULL));
	ck_assert_str_eq(order.service.data, "app");
	ck_assert_str_eq(order.target.data, "v2");
	ck_assert_int_eq(order.duration_ms, 1500);
	/* The target is known although the order is invalid. */
	ck_assert(!gc_platform_adapter.read_rollout_order(
		mem, GC_STR_LIT("app"),
		GC_STR_LIT("{\"service\":\"app\",\"target\":\"v2\"}"), &order,
		NULL));
	ck_assert_str_eq(order.target.data, "v2");
	talloc_free(mem);
	check_rollout_fault("", "byte");
	check_rollout_fault("[]", "not an object");
	check_rollout_fault("{\"target\":\"v2\",\"duration_s\":9}",
			    "service: missing or invalid");
	check_rollout_fault(
		"{\"service\":7,\"target\":\"v2\",\"duration_s\":9}",
		"service: missing or invalid");
	check_rollout_fault(
		"{\"service\":\"b\",\"target\":\"v2\",\"duration_s\":9}",
		"service: differs from the key");
	check_rollout_fault("{\"service\":\"app\",\"duration_s\":9}",
			    "target: missing or invalid");
	check_rollout_fault(
		"{\"service\":\"app\",\"target\":\"\",\"duration_s\":9}",
		"target: missing or invalid");
	check_rollout_fault("{\"service\":\"app\",\"target\":\"v2\"}",
			    "duration_s: missing or invalid");
}
END_TEST

START_TEST(test_durations_of_rollouts)
{
	static const struct {
		const char *value;
		bool ok;
	} cases[] = {
		{"1", true},	    {"0.999", false}, {"86400", true},
		{"86400.1", false}, {"0", false},     {"-5", false},
		{"\"12\"", false},  {"null", false},  {"[12]", false},
		{"1e300", false},   {"12.25", true},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *order = g_strdup_printf(
			"{\"service\":\"app\",\"target\":\"v2\","
			"\"duration_s\":%s}",
			cases[i].value);
		g_autofree char *fault = rollout_fault(order);

		ck_assert_msg(cases[i].ok == !fault, "%s", cases[i].value);
	}
}
END_TEST

/* What a daemon writes is read by the others without a change. */
START_TEST(test_rollout_record)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_route_share_t routes[] = {{3, 0.25}, {UINT64_MAX, 0.5}};
	gc_str_t barred[] = {GC_STR_LIT("v1"), GC_STR_LIT("v0 \"x\"")};
	gc_rollout_record_t record = {
		.service = GC_STR_LIT("app"),
		.target = GC_STR_LIT("v2"),
		.state = GC_ROLLOUT_ROLLED_BACK,
		.reason = GC_STR_LIT("route \"r\": 9 of 40 answers failed"),
		.order = UINT64_C(1) << 40,
		.duration_ms = 12000,
		.started_ms = INT64_C(1796392898000),
		.share = 0.08,
		.routes = routes,
		.n_routes = 2,
		.barred = barred,
		.n_barred = 2,
	};
	g_autofree char *text =
		gc_platform_adapter.write_rollout_record(&record);
	gc_rollout_record_t read;

	ck_assert_ptr_nonnull(strstr(text, "\"state\":\"rolled_back\""));
	ck_assert(gc_platform_adapter.read_rollout_record(
		mem, record.service, gc_str(text), &read, NULL));
	ck_assert(gc_str_eq(read.service, record.service));
	ck_assert(gc_str_eq(read.target, record.target));
	ck_assert(gc_str_eq(read.reason, record.reason));
	ck_assert_int_eq(read.state, record.state);
	ck_assert_uint_eq(read.order, record.order);
	ck_assert_int_eq(read.duration_ms, record.duration_ms);
	ck_assert_int_eq(read.started_ms, record.started_ms);
	ck_assert_double_eq(read.share, record.share);
	ck_assert_uint_eq(read.n_routes, 2);
	ck_assert_uint_eq(read.routes[1].route, UINT64_MAX);
	ck_assert_double_eq(read.routes[1].share, 0.5);
	ck_assert_uint_eq(read.n_barred, 2);
	ck_assert(gc_str_eq(read.barred[1], barred[1]));
	talloc_free(mem);
}
END_TEST

/* Records of operators, older and later builds. */
START_TEST(test_other_rollout_records)
{
	static const char *const invalid[] = {
		"",
		"[]",
		"{\"state\":\"running\"}",
		"{\"target\":\"v2\"}",
		"{\"target\":\"v2\",\"state\":\"halfway\"}",
		"{\"target\":7,\"state\":\"running\"}",
	};
	TALLOC_CTX *mem = talloc_new(NULL);
	gc_rollout_record_t read;

	ck_assert(gc_platform_adapter.read_rollout_record(
		mem, GC_STR_LIT("app"),
		GC_STR_LIT("{\"state\":\"succeeded\",\"target\":\"v2\"}"),
		&read, NULL));
	ck_assert_int_eq(read.state, GC_ROLLOUT_SUCCEEDED);
	ck_assert_str_eq(read.target.data, "v2");
	ck_assert_str_eq(read.service.data, "app");
	ck_assert_uint_eq(read.order, 0);
	ck_assert_uint_eq(read.n_barred, 0);
	/* Members of other types count as absent; routes are sorted. */
	ck_assert(gc_platform_adapter.read_rollout_record(
		mem, GC_STR_LIT("app"),
		GC_STR_LIT("{\"state\":\"running\",\"target\":\"v2\","
			   "\"order\":-1,\"share\":7,\"barred\":[3,\"v1\"],"
			   "\"later\":{},\"routes\":[{\"route\":\"z\"},"
			   "{\"route\":\"ff\",\"share\":1},"
			   "{\"route\":\"0a\",\"share\":0.5},7]}"),
		&read, NULL));
	ck_assert_uint_eq(read.order, 0);
	ck_assert_double_eq(read.share, 0);
	ck_assert_uint_eq(read.n_barred, 1);
	ck_assert_uint_eq(read.n_routes, 2);
	ck_assert_uint_eq(read.routes[0].route, 10);
	ck_assert_uint_eq(read.routes[1].route, 255);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		g_autoptr(GError) err = NULL;

		ck_assert(!gc_platform_adapter.read_rollout_record(
			mem, GC_STR_LIT("app"), gc_str(invalid[i]), &read,
			&err));
		ck_assert(g_error_matches(err, GC_ERROR, GC_ERR_INVALID));
	}
	talloc_free(mem);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		test_keys_are_required_only_with_accounts,
		test_copies_keep_all_bytes,
		test_routes,
		test_routes_that_did_not_change_are_shared,
		test_route_twice,
		test_place_of_a_wrong_route_is_named,
		test_very_many_routes,
		test_invalid_config,
		test_server_entries,
		test_addresses_of_server_entries,
		test_fields_of_server_entries,
		test_ids_of_server_entries,
		test_large_server_entries,
		test_load_report,
		test_token_counts,
		test_address_query_and_response,
		test_copy_requests,
		test_shared_parts,
		test_rollout_orders,
		test_durations_of_rollouts,
		test_rollout_record,
		test_other_rollout_records,
		NULL,
	};

	return unit_run("platform", tests);
}
