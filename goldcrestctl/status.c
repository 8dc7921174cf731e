/* Status of the daemons, and waiting for a version to be in effect. */
#include <stdio.h>
#include <string.h>

#include "goldcrestctl.h"

#define POLL_US		  100000
#define DEFAULT_TIMEOUT_S 8

static void print_status(json_t *status);
static void print_daemon(json_t *daemon);
static void print_instance(json_t *instance);
static const char *str(json_t *object, const char *name);
static long long num(json_t *object, const char *name);
static bool is_true(json_t *object, const char *name);
static void count_holders(json_t *status, long long version, size_t *holders,
			  size_t *live);
static ctl_exit_t wait_for(const ctl_t *ctl, long long version, int timeout_s);

static const char *str(json_t *object, const char *name)
{
	const char *value = json_string_value(json_object_get(object, name));

	return value ? value : "";
}

static long long num(json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static bool is_true(json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}

ctl_exit_t ctl_status(const ctl_t *ctl, int argc, char **argv)
{
	ctl_exit_t result = CTL_OK;
	ctl_answer_t answer;

	if (argc != 0)
		return ctl_usage("status: takes no arguments");
	ctl_request(ctl, "GET", "/v1/status", NULL, NULL, &answer);
	if (answer.status != 200) {
		result = ctl_fail(&answer);
	} else if (ctl->json) {
		json_dumpf(answer.body, stdout, JSON_COMPACT | JSON_SORT_KEYS);
		puts("");
	} else {
		print_status(answer.body);
	}
	ctl_answer_clear(&answer);
	return result;
}

static void print_status(json_t *status)
{
	const char *version;
	json_t *item;
	size_t i;

	printf("%s: version %lld, %s\n", str(status, "instance"),
	       num(status, "version"),
	       is_true(status, "in_effect") ? "in effect" : "not in effect");
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

	if (is_true(daemon, "leaving"))
		state = "leaving";
	else if (is_true(daemon, "live"))
		state = "live";
	printf("daemon %s %s version %lld %s\n", str(daemon, "name"),
	       str(daemon, "failure_domain"), num(daemon, "version"), state);
}

static void print_instance(json_t *instance)
{
	printf("instance %s %s slots %lld running %lld queued %lld%s%s\n",
	       str(instance, "name"), str(instance, "failure_domain"),
	       num(instance, "slots"), num(instance, "running"),
	       num(instance, "queued"),
	       is_true(instance, "leaving") ? " leaving" : "",
	       is_true(instance, "ejected") ? " ejected" : "");
}

ctl_exit_t ctl_wait(const ctl_t *ctl, int argc, char **argv)
{
	gint timeout_s = DEFAULT_TIMEOUT_S;
	const GOptionEntry entries[] = {{"timeout-s", 0, 0, G_OPTION_ARG_INT,
					 &timeout_s, NULL, NULL},
					G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	gint64 version;
	/* argv[-1] is "wait": the parser skips it as the program's name. */
	int n = argc + 1;
	char **args = argv - 1;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &n, &args, &err))
		return ctl_usage("wait: %s", err->message);
	if (n != 2 || !g_ascii_string_to_signed(args[1], 10, 1, G_MAXINT64,
						&version, NULL))
		return ctl_usage("wait: expected VERSION");
	return wait_for(ctl, version, timeout_s);
}

static void count_holders(json_t *status, long long version, size_t *holders,
			  size_t *live)
{
	json_t *daemon;
	size_t i;

	*holders = 0;
	*live = 0;
	json_array_foreach (json_object_get(status, "daemons"), i, daemon) {
		bool self = is_true(daemon, "self");

		/* A dead daemon stays known for a while and serves nobody. */
		if (is_true(daemon, "leaving") || !is_true(daemon, "live"))
			continue;
		(*live)++;
		*holders += num(daemon, "version") >= version &&
			    (!self || is_true(status, "in_effect"));
	}
}

static ctl_exit_t wait_for(const ctl_t *ctl, long long version, int timeout_s)
{
	gint64 end =
		g_get_monotonic_time() + (gint64)timeout_s * G_USEC_PER_SEC;
	size_t holders = 0;
	size_t live = 0;
	ctl_answer_t answer;
	bool answered;
	bool done;

	do {
		ctl_request(ctl, "GET", "/v1/status", NULL, NULL, &answer);
		answered = answer.status == 200;
		if (answered)
			count_holders(answer.body, version, &holders, &live);
		done = answered && live > 0 && holders == live;
		if (!done && g_get_monotonic_time() < end)
			g_usleep(POLL_US);
		if (!done && g_get_monotonic_time() >= end && !answered) {
			ctl_exit_t result = ctl_fail(&answer);

			ctl_answer_clear(&answer);
			return result;
		}
		ctl_answer_clear(&answer);
	} while (!done && g_get_monotonic_time() < end);
	if (ctl->json)
		printf("{\"daemons\":%zu,\"in_effect\":%zu,\"version\":%lld}\n",
		       live, holders, version);
	else
		printf("version %lld is in effect on %zu of %zu daemons\n",
		       version, holders, live);
	return done ? CTL_OK : CTL_NOT_IN_EFFECT;
}
