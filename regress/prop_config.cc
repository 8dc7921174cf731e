/*
 * Guards against a configuration that mixes two versions: read after any series of
 * others, it must say what it says read from nothing.
 */
#include <string>
#include <vector>

#include <glib.h>

#include <rapidcheck.h>

extern "C" {
#include "core/change_log.h"
#include "platform/records.h"
}

namespace
{

constexpr int n_hosts = 3;
constexpr int n_prefixes = 150;
constexpr int max_edits = 6;
/* More than the reader keeps in two of its groups. */
constexpr int max_many = 1200;

struct route_t {
	int host;
	int prefix;
	int value; /* tells routes with the same host and prefix apart */
};

std::string host_name(int host)
{
	return "h" + std::to_string(host);
}

/* Prefixes of several lengths, some of which begin others. */
std::string prefix_name(int prefix)
{
	std::string name = "/" + std::to_string(prefix / 3) + "/";

	for (int i = 0; i < prefix % 3; i++)
		name += "x/";
	return name;
}

std::string space()
{
	return *rc::gen::weightedElement<std::string>(
		{{20, ""}, {2, " "}, {1, "\n\t"}, {1, "\r\n"}});
}

/* The same text for the same route, but for a few with space or escapes in it. */
std::string route_text(const route_t &route)
{
	static const char *const kinds[] = {"idempotent", "streaming",
					    "non_idempotent", "unheard_of"};
	std::string text = "{\"host\":\"" + host_name(route.host) +
			   "\",\"path_prefix\":\"" + prefix_name(route.prefix) +
			   "\",\"kind\":\"" + kinds[route.value % 4] +
			   "\",\"service\":\"s" +
			   std::to_string(route.value % 5) +
			   "\",\"timeout_ms\":" + std::to_string(route.value);

	if (route.value % 7 == 0)
		text += ",\"name\":\"a \\\"]},{[\\\\\"";
	return text + "}";
}

/* The same for the same number. */
std::string space_of(int number)
{
	static const char *const spaces[] = {"",  "",	  "",	 "",
					     " ", "\n\t", "\r\n"};

	return spaces[number % 7];
}

/* settings: chooses what stands beside the routes. steady: the space around a route
 * stays from version to version. */
std::string config_text(const std::vector<route_t> &routes, int version,
			int settings, bool steady)
{
	std::string text = "{" + (steady ? "" : space()) +
			   "\"version\":" + std::to_string(version) + "," +
			   (steady ? "" : space()) + "\"routes\":[";

	for (size_t i = 0; i < routes.size(); i++) {
		int number = routes[i].prefix;

		text += (i ? "," : "") + (steady ? space_of(number) : space()) +
			route_text(routes[i]) +
			(steady ? space_of(number / 7) : space());
	}
	return text + "],\"services\":[{\"name\":\"s" +
	       std::to_string(settings % 5) +
	       "\"}],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k" +
	       std::to_string(settings % 3) + "\"]}]}";
}

int arbitrary(int below)
{
	return *rc::gen::inRange(0, below);
}

route_t arbitrary_route()
{
	return {arbitrary(n_hosts), arbitrary(n_prefixes), arbitrary(1000)};
}

void edit(std::vector<route_t> &routes)
{
	size_t n = routes.size();
	size_t at = n ? static_cast<size_t>(arbitrary(static_cast<int>(n))) : 0;

	switch (arbitrary(n ? 5 : 1)) {
	case 0:
		routes.insert(routes.begin() + static_cast<long>(at),
			      arbitrary_route());
		break;
	case 1:
		routes.erase(routes.begin() + static_cast<long>(at));
		break;
	case 2:
		routes[at].value = arbitrary(1000);
		break;
	case 3: {
		route_t moved = routes[at];

		routes.erase(routes.begin() + static_cast<long>(at));
		routes.insert(routes.begin() + arbitrary(static_cast<int>(n)),
			      moved);
		break;
	}
	default:
		routes.erase(routes.begin() + static_cast<long>(at),
			     routes.end());
		break;
	}
}

/* No two of the same host and prefix, but once in a while. */
std::vector<route_t> arbitrary_routes()
{
	std::vector<route_t> routes;
	int n = arbitrary(n_prefixes);

	for (int i = 0; i < n; i++)
		routes.push_back({i % n_hosts, i, arbitrary(1000)});
	return routes;
}

/* At times cut, or with a byte that doesn't belong there. */
std::string maybe_broken(std::string text)
{
	size_t at =
		static_cast<size_t>(arbitrary(static_cast<int>(text.size())));

	switch (arbitrary(12)) {
	case 0:
		return text.substr(0, at);
	case 1:
		text[at] = *rc::gen::element('"', ',', ']', '}', '{', '\\',
					     '\x80', '\0', ' ');
		return text;
	case 2:
		return text.insert(at, ",");
	default:
		return text;
	}
}

void check_same(const gc_routes_t *a, const gc_routes_t *b, int prefixes)
{
	RC_ASSERT(gc_routes_version(a) == gc_routes_version(b));
	RC_ASSERT(gc_routes_count(a) == gc_routes_count(b));
	for (int i = 0; i < 6; i++) {
		std::string service = "s" + std::to_string(i);
		std::string key = "k" + std::to_string(i);
		gc_str_t account;

		RC_ASSERT(gc_routes_names_service(a, gc_str(service.c_str())) ==
			  gc_routes_names_service(b, gc_str(service.c_str())));
		RC_ASSERT(gc_routes_find_account(a, gc_str(key.c_str()),
						 &account) ==
			  gc_routes_find_account(b, gc_str(key.c_str()),
						 &account));
	}
	for (int host = 0; host < n_hosts; host++)
		for (int prefix = 0; prefix < prefixes; prefix++) {
			std::string name = host_name(host);
			std::string path = prefix_name(prefix) + "y";
			const gc_route_t *first = gc_routes_find(
				a, gc_str(name.c_str()), gc_str(path.c_str()));
			const gc_route_t *second = gc_routes_find(
				b, gc_str(name.c_str()), gc_str(path.c_str()));

			RC_ASSERT(!first == !second);
			if (!first)
				continue;
			RC_ASSERT(gc_str_eq(first->path_prefix,
					    second->path_prefix));
			RC_ASSERT(first->timeout_ms == second->timeout_ms);
			RC_ASSERT(first->kind == second->kind);
		}
}

/* In steps; now and then one that is given up in the middle comes before. */
gc_routes_t *read_in_steps(gc_str_t record, gc_routes_t *former)
{
	size_t n = static_cast<size_t>(arbitrary(20)) + 1;
	gc_routes_reader_t *reader = gc_platform_start_routes(record, former);
	gc_routes_t *routes = nullptr;

	if (arbitrary(4) == 0) {
		gc_platform_step_routes(reader, n, &routes, nullptr);
		gc_platform_end_routes(reader);
		gc_routes_unref(routes);
		reader = gc_platform_start_routes(record, former);
	}
	while (!gc_platform_step_routes(reader, n, &routes, nullptr))
		continue;
	gc_platform_end_routes(reader);
	return routes;
}

/* Also after one of a lower version or an unreadable one, which leaves the former in
 * force. */
void check_series()
{
	std::vector<route_t> routes = arbitrary_routes();
	gc_routes_t *former = nullptr;
	int n_versions = arbitrary(8) + 2;

	for (int i = 0; i < n_versions; i++) {
		int version = 1 + arbitrary(9);
		std::string text = maybe_broken(
			config_text(routes, version, version, false));
		gc_str_t record = {text.data(), text.size()};
		gc_routes_t *scratch =
			gc_platform_read_routes(record, nullptr, nullptr);
		gc_routes_t *next = read_in_steps(record, former);
		int n_edits = arbitrary(max_edits);

		RC_ASSERT(!next == !scratch);
		if (next) {
			check_same(next, scratch, n_prefixes);
			gc_routes_unref(former);
			former = next;
		}
		gc_routes_unref(scratch);
		for (int j = 0; j < n_edits; j++)
			edit(routes);
	}
	gc_routes_unref(former);
}

std::vector<route_t> many_routes()
{
	std::vector<route_t> routes;
	int n = arbitrary(max_many);

	for (int i = 0; i < n; i++)
		routes.push_back({i % n_hosts, i, i % 1000});
	return routes;
}

gc_routes_t *read_change_in_steps(const gc_logged_change_t *change,
				  gc_routes_t *former)
{
	size_t n = static_cast<size_t>(arbitrary(20)) + 1;
	gc_routes_reader_t *reader = gc_platform_start_change(change, former);
	gc_routes_t *routes = nullptr;

	while (!gc_platform_step_routes(reader, n, &routes, nullptr))
		continue;
	gc_platform_end_routes(reader);
	return routes;
}

/* As a daemon takes them: some are logged and not read, or read and not taken, so that
 * the edits are of another text than the former one's; at a restore the log begins
 * anew. */
void check_logged_series()
{
	std::vector<route_t> routes =
		arbitrary(2) ? many_routes() : arbitrary_routes();
	gc_change_log_t *log = gc_change_log_create(nullptr, 1);
	gc_routes_t *former = nullptr;
	int settings = arbitrary(15);
	int n_versions = arbitrary(8) + 2;

	for (int i = 0; i < n_versions; i++) {
		std::string text = maybe_broken(
			config_text(routes, arbitrary(1000), settings, true));
		gc_store_item_t item = {};
		gc_routes_t *scratch;
		gc_routes_t *next;
		const gc_logged_change_t *change;
		int n_edits = arbitrary(3);

		item.key = gc_str("op/config");
		item.value = {text.data(), text.size()};
		item.revision = static_cast<uint64_t>(i) + 1;
		change = gc_change_log_add(log, &item);
		RC_ASSERT(change);
		scratch = gc_platform_read_routes(item.value, nullptr, nullptr);
		next = read_change_in_steps(change, former);
		RC_ASSERT(!next == !scratch);
		if (next)
			check_same(next, scratch, max_many);
		if (next && arbitrary(5) > 0) {
			gc_routes_unref(former);
			former = gc_routes_ref(next);
		}
		gc_routes_unref(next);
		gc_routes_unref(scratch);
		if (arbitrary(12) == 0)
			gc_change_log_reset(log, 2, 0);
		for (int j = 0; j < n_edits; j++)
			edit(routes);
		if (arbitrary(4) == 0)
			settings = arbitrary(15);
	}
	gc_routes_unref(former);
	talloc_free(log);
}

} // namespace

int main()
{
	bool same = rc::check("a configuration is the same after any others",
			      check_series);

	return rc::check("a configuration is the same if it is read by edits",
			 check_logged_series) &&
			       same
		       ? 0
		       : 1;
}
