/* Commands that print the status and wait for a configuration version. */
#include <stdio.h>
#include <string.h>

#include "goldcrestctl.h"

#define POLL_INTERVAL_US       100000
#define DEFAULT_WAIT_TIMEOUT_S 8

static void print_status(json_t *status);
static void print_daemon(json_t *daemon);
static void print_instance(json_t *instance);
static const char *get_string(json_t *object, const char *name);
static long long get_int(json_t *object, const char *name);
static bool get_bool(json_t *object, const char *name);
static void count_daemons(json_t *status, long long version,
			  size_t *n_in_effect, size_t *n_counted);
static ctl_exit_t wait_for_version(const ctl_t *ctl, long long version,
				   int timeout_s);

static const char *get_string(json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return value ? value : "";
}

static long long get_int(json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static bool get_bool(json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

ctl_exit_t ctl_status(const ctl_t *ctl, int argc, char **argv)
{
	ctl_exit_t result = CTL_OK;
	ctl_response_t response;

	if (argc != 0)
		return ctl_usage_error("status: takes no arguments");
	ctl_request(ctl, "GET", "/v1/status", NULL, NULL, &response);
	if (response.status != 200) {
		result = ctl_report_error(&response);
	} else if (ctl->json) {
		json_dumpf(response.body, stdout,
			   JSON_COMPACT | JSON_SORT_KEYS);
		puts("");
	} else {
		print_status(response.body);
	}
	ctl_response_clear(&response);
	return result;
}

static void print_status(json_t *status)
{
	const char *version;
	json_t *item;
	size_t i;

	printf("%s: version %lld, %s\n", get_string(status, "instance"),
	       get_int(status, "version"),
	       get_bool(status, "in_effect") ? "in effect" : "not in effect");
	json_object_foreach (json_object_get(status, "versions"), version, item)
		printf("version %s: %lld daemons\n", version,
		       (long long)json_integer_value(item));
	json_array_foreach (json_object_get(status, "daemons"), i, item)
		print_daemon(item);
	json_array_foreach (json_object_get(status, "engines"), i, item)
		print_instance(item);
	json_array_foreach (json_object_get(status, "services"), i, item)
		print_instance(item);
}

static void print_daemon(json_t *daemon)
{
	const char *state = "silent";

	if (get_bool(daemon, "leaving"))
		state = "leaving";
	else if (get_bool(daemon, "live"))
		state = "live";
	else if (get_bool(daemon, "gone"))
		state = "gone";
	printf("daemon %s %s version %lld %s\n", get_string(daemon, "name"),
	       get_string(daemon, "failure_domain"), get_int(daemon, "version"),
	       state);
}

static void print_instance(json_t *instance)
{
	printf("instance %s %s slots %lld running %lld queued %lld%s%s\n",
	       get_string(instance, "name"),
	       get_string(instance, "failure_domain"),
	       get_int(instance, "slots"), get_int(instance, "running"),
	       get_int(instance, "queued"),
	       get_bool(instance, "leaving") ? " leaving" : "",
	       get_bool(instance, "ejected") ? " ejected" : "");
}

ctl_exit_t ctl_wait(const ctl_t *ctl, int argc, char **argv)
{
	gint timeout_s = DEFAULT_WAIT_TIMEOUT_S;
	const GOptionEntry entries[] = {{"timeout-s", 0, 0, G_OPTION_ARG_INT,
					 &timeout_s, NULL, NULL},
					G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	gint64 version;
	/* argv[-1] is "wait", which GOption skips as the program name. */
	int n_args = argc + 1;
	char **args = argv - 1;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &n_args, &args, &err))
		return ctl_usage_error("wait: %s", err->message);
	if (n_args != 2 || !g_ascii_string_to_signed(args[1], 10, 1, G_MAXINT64,
						     &version, NULL))
		return ctl_usage_error("wait: expected VERSION");
	return wait_for_version(ctl, version, timeout_s);
}

/*
 * Counts the daemons that may act on a configuration and those of them that
 * have applied the version. A silent daemon may only be slow.
 */
static void count_daemons(json_t *status, long long version,
			  size_t *n_in_effect, size_t *n_counted)
{
	json_t *daemon;
	size_t i;

	*n_in_effect = 0;
	*n_counted = 0;
	json_array_foreach (json_object_get(status, "daemons"), i, daemon) {
		bool self = get_bool(daemon, "self");

		/* Dead daemons stay listed for a while, but serve nothing. */
		if (get_bool(daemon, "leaving") || get_bool(daemon, "gone"))
			continue;
		(*n_counted)++;
		*n_in_effect += get_int(daemon, "version") >= version &&
				(!self || get_bool(status, "in_effect"));
	}
}

static ctl_exit_t wait_for_version(const ctl_t *ctl, long long version,
				   int timeout_s)
{
	gint64 deadline =
		g_get_monotonic_time() + (gint64)timeout_s * G_USEC_PER_SEC;
	size_t n_in_effect = 0;
	size_t n_counted = 0;
	ctl_response_t response;
	bool ok;
	bool in_effect;

	do {
		ctl_request(ctl, "GET", "/v1/status", NULL, NULL, &response);
		ok = response.status == 200;
		if (ok)
			count_daemons(response.body, version, &n_in_effect,
				      &n_counted);
		in_effect = ok && n_counted > 0 && n_in_effect == n_counted;
		if (!in_effect && g_get_monotonic_time() < deadline)
			g_usleep(POLL_INTERVAL_US);
		if (!in_effect && g_get_monotonic_time() >= deadline && !ok) {
			ctl_exit_t result = ctl_report_error(&response);

			ctl_response_clear(&response);
			return result;
		}
		ctl_response_clear(&response);
	} while (!in_effect && g_get_monotonic_time() < deadline);
	if (ctl->json)
		printf("{\"daemons\":%zu,\"in_effect\":%zu,\"version\":%lld}\n",
		       n_counted, n_in_effect, version);
	else
		printf("version %lld is in effect on %zu of %zu daemons\n",
		       version, n_in_effect, n_counted);
	return in_effect ? CTL_OK : CTL_NOT_IN_EFFECT;
}
