/*
 * Reads the instance lists, polls the load of engines, ejects failed engines
 * and probes ejected ones.
 */
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/error.h"
#include "lib/control_private.h"
#include "lib/instance_list.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define LIST_TIMEOUT_MS 2000L
/* Time for which a blocking query waits for a change. */
#define LIST_WAIT_S 30
/*
 * Wait of the first blocking query after a change. An instance listed as
 * leaving stays marked so for at least 5 s, and only a later answer removes the
 * mark; so the wait is a little longer.
 */
#define LIST_WAIT_AFTER_CHANGE_S 6
/* The service prolongs waits by up to wait / 16, to spread its answers. */
#define LIST_WAIT_JITTER_DIVISOR 16
/*
 * A service that doesn't block is polled at this multiple of list_poll_ms. This
 * takes a third of the bytes, and a leaving instance is still noticed within a
 * few seconds.
 */
#define LIST_NONBLOCKING_FACTOR 3
#define LOAD_TIMEOUT_MS		1000L
/* Multiple of load_poll_ms for engines without runs of this daemon. */
#define LOAD_IDLE_INTERVAL_FACTOR 10
/* Longer than the 500 ms after which traffic threads repeat the mark. */
#define ENGINE_USE_EXPIRY_MS 2000
/*
 * Polls started per load_poll_ms, most overdue engines first, so that the bytes
 * don't grow with the number of engines. 12 calls/s by default, of about 230
 * bytes each.
 */
#define MAX_LOAD_POLLS_PER_TICK 6
/* Probes started per load_poll_ms; avoids a burst after a mass failure. */
#define MAX_PROBES_PER_TICK 8
#define STRING_CHUNK_BYTES  4096

typedef enum list_kind {
	LIST_ENGINES,
	LIST_SERVERS,
	LIST_DAEMONS,
	N_LISTS,
} list_kind_t;

static const char *const list_names[N_LISTS] = {
	[LIST_ENGINES] = "engine",
	[LIST_SERVERS] = "service",
	[LIST_DAEMONS] = "goldcrest",
};

typedef struct list_poll {
	gc_control_t *control;
	list_kind_t kind;
	gc_http_call_t *call;
	bool was_read; /* successfully, at least once */
	bool failing; /* the last query failed */
	uint64_t index; /* X-Consul-Index of the last answer, 0 if none */
	/*
	 * The last two answers had the same index. Only then does the next
	 * query block: an instance is dropped when two lists in a row lack it,
	 * so a changed list is read once more.
	 */
	bool index_unchanged;
	bool blocking; /* the query in flight is a blocking one */
	int wait_s; /* of the next blocking query */
	struct timespec query_started;
} list_poll_t;

typedef struct load_poll {
	gc_control_t *control;
	char name[GC_NAME_MAX];
	bool probe;
} load_poll_t;

/* When an engine of the subset was last polled and used. */
typedef struct load_poll_state {
	bool polled;
	struct timespec last_polled_at;
	bool used;
	struct timespec last_used_at;
} load_poll_state_t;

/* An engine whose load poll is due. */
typedef struct due_poll {
	gc_str_t name;
	gc_str_t url;
	double overdue; /* time since the last poll / poll interval */
	load_poll_state_t *state;
} due_poll_t;

struct gc_control_engines {
	gc_control_t *control;
	list_poll_t lists[N_LISTS];
	GHashTable *subset; /* engine name -> load_poll_state_t */
	GHashTable *polls_in_flight; /* engine names; without probes */
	gc_metric_t *list_bytes;
	gc_metric_t *load_bytes;
};

static int engines_destructor(gc_control_engines_t *engines);
static void on_list_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx);
static void start_list_query(list_poll_t *list);
static int64_t update_list_index(list_poll_t *list, int status);
static void on_list_answer(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err);
static void log_list_state(list_poll_t *list, int status, const GError *err);
static void apply_list(list_poll_t *list, json_t *answer);
static void update_subset(gc_control_engines_t *engines);
static void add_to_subset(gc_control_engines_t *engines, GHashTable *old_subset,
			  gc_str_t name);
static void start_due_load_polls(gc_control_engines_t *engines);
static size_t collect_due_polls(gc_control_engines_t *engines,
				struct timespec now, due_poll_t *due);
static int most_overdue_first(const void *a, const void *b);
static void on_load_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx);
static void start_load_poll(gc_control_engines_t *engines, gc_str_t name,
			    gc_str_t url, bool probe);
static void start_probes(gc_control_engines_t *engines);
static void on_load_answer(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err);
static bool apply_load(gc_control_t *control, gc_str_t name, gc_str_t body);
static gc_str_t find_engine_url(const gc_health_t *health, struct timespec now,
				gc_str_t name);

gc_control_engines_t *gc_control_engines_create(gc_control_t *control)
{
	gc_control_engines_t *engines =
		talloc_zero(control, gc_control_engines_t);

	engines->control = control;
	engines->subset =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	engines->polls_in_flight =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	engines->list_bytes = gc_control_byte_counter("list");
	engines->load_bytes = gc_control_byte_counter("load");
	talloc_set_destructor(engines, engines_destructor);
	for (unsigned int i = 0; i < N_LISTS; i++) {
		engines->lists[i].control = control;
		engines->lists[i].kind = (list_kind_t)i;
		gc_control_add_timer(control, engines, 0, on_list_timer,
				     &engines->lists[i]);
	}
	gc_control_add_timer(control, engines, control->settings->load_poll_ms,
			     on_load_timer, engines);
	return engines;
}

static int engines_destructor(gc_control_engines_t *engines)
{
	g_hash_table_destroy(engines->subset);
	g_hash_table_destroy(engines->polls_in_flight);
	return 0;
}

bool gc_control_instance_lists_read(const gc_control_t *control)
{
	return control->engines->lists[LIST_ENGINES].was_read &&
	       control->engines->lists[LIST_SERVERS].was_read;
}

static void on_list_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx)
{
	start_list_query(ctx);
}

/*
 * Each daemon queries the list itself. While the list doesn't change, blocking
 * queries cost a constant number of calls and bytes, whatever its length; only
 * a change transfers the whole list.
 */
static void start_list_query(list_poll_t *list)
{
	gc_control_t *control = list->control;
	const gc_http_call_ops_t ops = {.done = on_list_answer};
	g_autofree char *url = NULL;
	gc_http_call_conf_t conf = {.method = "GET",
				    .peer = "instance list",
				    .body = GC_STR_EMPTY,
				    .timeout_ms = LIST_TIMEOUT_MS,
				    .bytes = control->engines->list_bytes};

	list->blocking = list->index_unchanged && list->index > 0;
	list->query_started = gc_control_now(control);
	url = g_strdup_printf("%s/v1/health/service/%s",
			      control->settings->platform_url,
			      list_names[list->kind]);
	if (list->blocking) {
		char *plain = url;

		url = g_strdup_printf("%s?index=%" PRIu64 "&wait=%ds", plain,
				      list->index, list->wait_s);
		g_free(plain);
		conf.timeout_ms +=
			list->wait_s * 1000L +
			list->wait_s * 1000L / LIST_WAIT_JITTER_DIVISOR;
	}
	conf.url = url;
	list->call = gc_httpc_start(control->http, &conf, &ops, list);
}

static void on_list_answer(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err)
{
	list_poll_t *list = ctx;
	int64_t pause_ms = update_list_index(list, err ? 0 : status);
	json_t *answer = NULL;

	list->call = NULL;
	gc_control_add_timer(list->control, list->control->engines, pause_ms,
			     on_list_timer, list);
	log_list_state(list, status, err);
	if (err || status != 200)
		return;
	answer = json_loadb(body.data, body.len, 0, NULL);
	if (json_is_array(answer))
		apply_list(list, answer);
	json_decref(answer);
}

/*
 * Stores the index of the answer; returns the pause before the next query in
 * milliseconds. status is 0 if no answer came. After a failure the next query
 * doesn't block, so that the end of an outage is noticed.
 */
static int64_t update_list_index(list_poll_t *list, int status)
{
	int64_t poll_ms = list->control->settings->list_poll_ms;
	int64_t took_ms = gc_ms_between(list->query_started,
					gc_control_now(list->control));
	const char *text = NULL;
	uint64_t index;

	if (status == 200)
		text = gc_http_call_header(list->call, "X-Consul-Index");
	index = text ? g_ascii_strtoull(text, NULL, 10) : 0;
	list->index_unchanged = index > 0 && index == list->index;
	list->index = index;
	if (status != 200)
		return poll_ms;
	if (index == 0)
		return poll_ms * LIST_NONBLOCKING_FACTOR;
	if (!list->blocking || !list->index_unchanged) {
		list->wait_s = LIST_WAIT_AFTER_CHANGE_S;
		return poll_ms;
	}
	/* Answered within half of wait_s: the service doesn't block. */
	if (took_ms < list->wait_s * INT64_C(500))
		return poll_ms * LIST_NONBLOCKING_FACTOR;
	list->wait_s = LIST_WAIT_S;
	return 0;
}

static void log_list_state(list_poll_t *list, int status, const GError *err)
{
	bool failing = err != NULL || status != 200;

	if (failing == list->failing)
		return;
	list->failing = failing;
	gc_log(failing ? GC_LOG_WARNING : GC_LOG_INFO,
	       failing ? GC_EVENT_LIST_UNREADABLE : GC_EVENT_LIST_READABLE,
	       failing ? "can't read the instance list; keeping the last one"
		       : "instance list can be read again",
	       "list", list_names[list->kind], "error", err ? err->message : "",
	       NULL);
}

static void apply_list(list_poll_t *list, json_t *answer)
{
	gc_control_t *control = list->control;
	struct timespec now = gc_control_now(control);
	GStringChunk *strings = g_string_chunk_new(STRING_CHUNK_BYTES);
	size_t n;

	list->was_read = true;
	if (list->kind == LIST_DAEMONS) {
		g_autofree gc_member_descriptor_t *daemons =
			gc_instance_list_parse_daemons(answer, strings, &n);

		gc_membership_on_daemon_list(control->membership, now, daemons,
					     n);
	} else {
		g_autofree gc_instance_list_entry_t *entries =
			gc_instance_list_parse(answer, strings, &n);
		gc_health_t *health = list->kind == LIST_ENGINES
					      ? control->engine_health
					      : control->server_health;

		if (gc_health_on_list(health, now, entries, n)) {
			update_subset(control->engines);
			gc_control_schedule_publish(control);
		}
	}
	g_string_chunk_free(strings);
}

/* Chooses the engines that this daemon polls. */
static void update_subset(gc_control_engines_t *engines)
{
	gc_control_t *control = engines->control;
	size_t n = gc_health_count(control->engine_health);
	gc_str_t *names = g_new0(gc_str_t, n + 1);
	struct timespec now = gc_control_now(control);
	gc_health_instance_t instance;
	GHashTable *old_subset;

	for (size_t i = 0; i < n; i++) {
		gc_health_get(control->engine_health, now, i, &instance);
		names[i] = instance.name;
	}
	old_subset = engines->subset;
	engines->subset =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < n; i++) {
		if (gc_placement_in_subset(gc_str(control->settings->instance),
					   names[i], names, n,
					   control->settings->engine_subset))
			add_to_subset(engines, old_subset, names[i]);
	}
	g_hash_table_destroy(old_subset);
	g_free(names);
}

/* Keeps the state that the engine has in old_subset. */
static void add_to_subset(gc_control_engines_t *engines, GHashTable *old_subset,
			  gc_str_t name)
{
	char *key = g_strndup(name.data, name.len);
	const load_poll_state_t *old_state =
		g_hash_table_lookup(old_subset, key);
	load_poll_state_t *state = g_new0(load_poll_state_t, 1);

	if (old_state)
		*state = *old_state;
	g_hash_table_insert(engines->subset, key, state);
}

void gc_control_engines_mark_used(gc_control_t *control, const char *name)
{
	load_poll_state_t *state =
		g_hash_table_lookup(control->engines->subset, name);

	if (!state)
		return;
	state->used = true;
	state->last_used_at = gc_control_now(control);
}

static void on_load_timer(struct tevent_context *ev, struct tevent_timer *te,
			  struct timeval now, void *ctx)
{
	gc_control_engines_t *engines = ctx;
	gc_control_t *control = engines->control;

	gc_control_add_timer(control, engines, control->settings->load_poll_ms,
			     on_load_timer, engines);
	start_due_load_polls(engines);
	start_probes(engines);
}

static void start_due_load_polls(gc_control_engines_t *engines)
{
	size_t n = gc_health_count(engines->control->engine_health);
	due_poll_t *due = g_new0(due_poll_t, n + 1);
	struct timespec now = gc_control_now(engines->control);
	unsigned int polls_started = 0;

	n = collect_due_polls(engines, now, due);
	qsort(due, n, sizeof(*due), most_overdue_first);
	for (size_t i = 0; i < n; i++) {
		/* The first poll of an engine isn't limited. */
		if (due[i].state->polled &&
		    polls_started++ >= MAX_LOAD_POLLS_PER_TICK)
			break;
		due[i].state->polled = true;
		due[i].state->last_polled_at = now;
		start_load_poll(engines, due[i].name, due[i].url, false);
	}
	g_free(due);
}

static size_t collect_due_polls(gc_control_engines_t *engines,
				struct timespec now, due_poll_t *due)
{
	const gc_health_t *health = engines->control->engine_health;
	double poll_ms = engines->control->settings->load_poll_ms;
	gc_health_instance_t instance;
	size_t n = 0;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		load_poll_state_t *state;
		double interval_ms = poll_ms;

		gc_health_get(health, now, i, &instance);
		state = g_hash_table_lookup(engines->subset,
					    instance.name.data);
		/* An ejected engine is re-admitted only by a probe. */
		if (!state || instance.ejected)
			continue;
		if (!state->used || gc_ms_between(state->last_used_at, now) >
					    ENGINE_USE_EXPIRY_MS)
			interval_ms *= LOAD_IDLE_INTERVAL_FACTOR;
		due[n] = (due_poll_t){instance.name, instance.url, HUGE_VAL,
				      state};
		if (state->polled)
			due[n].overdue =
				gc_ms_between(state->last_polled_at, now) /
				interval_ms;
		/* Half a tick of tolerance, as timers fire early or late. */
		n += due[n].overdue >= 1 - poll_ms / 2 / interval_ms;
	}
	return n;
}

static int most_overdue_first(const void *a, const void *b)
{
	const due_poll_t *x = a;
	const due_poll_t *y = b;

	return (x->overdue < y->overdue) - (x->overdue > y->overdue);
}

static void start_probes(gc_control_engines_t *engines)
{
	gc_health_t *health = engines->control->engine_health;
	struct timespec now = gc_control_now(engines->control);

	for (unsigned int i = 0; i < MAX_PROBES_PER_TICK; i++) {
		gc_str_t name = gc_health_start_probe(health, now);

		if (name.len == 0)
			return;
		start_load_poll(engines, name,
				find_engine_url(health, now, name), true);
	}
}

static gc_str_t find_engine_url(const gc_health_t *health, struct timespec now,
				gc_str_t name)
{
	gc_health_instance_t instance;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		gc_health_get(health, now, i, &instance);
		if (gc_str_eq(instance.name, name))
			return instance.url;
	}
	return GC_STR_EMPTY;
}

static void start_load_poll(gc_control_engines_t *engines, gc_str_t name,
			    gc_str_t url, bool probe)
{
	const gc_http_call_ops_t ops = {.done = on_load_answer};
	load_poll_t *poll;
	gc_http_call_conf_t conf = {.method = "GET",
				    .body = GC_STR_EMPTY,
				    .timeout_ms = LOAD_TIMEOUT_MS,
				    .bytes = engines->load_bytes};
	char *load_url;

	if (!probe &&
	    g_hash_table_contains(engines->polls_in_flight, name.data))
		return;
	poll = talloc_zero(engines, load_poll_t);
	poll->control = engines->control;
	poll->probe = probe;
	g_strlcpy(poll->name, name.data, sizeof(poll->name));
	if (!probe)
		g_hash_table_add(engines->polls_in_flight,
				 g_strdup(poll->name));
	load_url = talloc_asprintf(poll, "%.*s/v1/load", GC_STR_ARG(url));
	conf.url = load_url;
	conf.peer = poll->name;
	gc_httpc_start(engines->control->http, &conf, &ops, poll);
}

static void on_load_answer(void *ctx, int status, gc_str_t body, bool sent,
			   const GError *err)
{
	load_poll_t *poll = ctx;
	gc_control_t *control = poll->control;
	gc_str_t name = gc_str(poll->name);
	bool ok = !err && status == 200 && apply_load(control, name, body);

	if (poll->probe) {
		gc_health_on_probe_result(control->engine_health,
					  gc_control_now(control), name, ok);
		gc_log(GC_LOG_INFO,
		       ok ? GC_EVENT_ENGINE_READMITTED : GC_EVENT_PROBE_FAILED,
		       ok ? "engine re-admitted after a probe"
			  : "probe of an ejected engine failed",
		       "engine", poll->name, NULL);
	} else {
		g_hash_table_remove(control->engines->polls_in_flight,
				    poll->name);
		/*
		 * Without a connection the engine has failed. A missing or late
		 * answer doesn't prove a failure.
		 */
		if (err && !sent)
			gc_control_engines_on_verdict(control, name,
						      GC_ENGINE_FAILED);
	}
	gc_control_schedule_publish(control);
	talloc_free(poll);
}

static bool apply_load(gc_control_t *control, gc_str_t name, gc_str_t body)
{
	json_t *load = json_loadb(body.data, body.len, 0, NULL);
	json_t *slots = json_object_get(load, "slots");
	json_t *running = json_object_get(load, "running");
	json_t *queued = json_object_get(load, "queued");
	bool ok = json_is_integer(slots) && json_is_integer(running) &&
		  json_is_integer(queued);

	if (ok)
		gc_health_on_load(control->engine_health,
				  gc_control_now(control), name,
				  json_integer_value(slots),
				  json_integer_value(running),
				  json_integer_value(queued));
	json_decref(load);
	return ok;
}

void gc_control_engines_on_verdict(gc_control_t *control, gc_str_t engine,
				   gc_engine_verdict_t verdict)
{
	g_autofree char *name = NULL;

	if (!gc_health_on_stream_report(control->engine_health,
					gc_control_now(control), engine,
					verdict))
		return;
	name = g_strndup(engine.data, engine.len);
	gc_log(GC_LOG_WARNING, GC_EVENT_ENGINE_EJECTED, "engine ejected",
	       "engine", name, "verdict",
	       verdict == GC_ENGINE_FAILED ? "failed" : "stalled", NULL);
	gc_counter_add(gc_counter("goldcrest_engine_ejections_total",
				  "Engines ejected by this daemon", NULL, NULL),
		       1);
	if (verdict == GC_ENGINE_FAILED)
		gc_control_send_engine_down(control, engine);
	gc_control_schedule_publish(control);
}
