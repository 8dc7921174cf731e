/* Instance list, load polls and ejection of engines. */
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/error.h"
#include "lib/control_list.h"
#include "lib/control_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

#define LIST_TIMEOUT_MS 2000L
/* Time that a blocking query waits for a change. */
#define LIST_WAIT_S 30
/*
 * The first wait after a change. It is longer than the time for which an
 * instance that was seen leaving stays so, which only a later answer ends.
 */
#define LIST_FIRST_WAIT_S 6
/* The service adds up to this part of the wait, to spread its answers. */
#define LIST_WAIT_JITTER 16
/*
 * A service that doesn't block is polled at this multiple of list_poll_ms, so
 * that the polls cost a third of the bytes and a leaving instance is still
 * noticed within a few seconds.
 */
#define LIST_NO_BLOCKING_FACTOR 3
#define LOAD_TIMEOUT_MS		1000L
/*
 * An engine that this daemon has no run on is asked for its load this much
 * less often.
 */
#define LOAD_IDLE_FACTOR 10
/* Longer than traffic threads take to tell of a used engine again. */
#define LOAD_USED_MS 2000
/*
 * Polls started per load_poll_ms, so that the bytes don't grow with the number
 * of engines: 12 calls/s by default, of about 230 bytes each. The engines that
 * wait longest by their interval go first.
 */
#define MAX_LOAD_POLLS 6
/* Probes started per load poll, so that a mass failure sends no burst. */
#define MAX_PROBES 8

typedef enum list_kind {
	LIST_ENGINES,
	LIST_SERVICES,
	LIST_DAEMONS,
	N_LISTS,
} list_kind_t;

static const char *const list_names[N_LISTS] = {
	[LIST_ENGINES] = "engine",
	[LIST_SERVICES] = "service",
	[LIST_DAEMONS] = "goldcrest",
};

typedef struct list_poll {
	gc_control_t *control;
	list_kind_t kind;
	gc_http_call_t *call;
	bool read_once;
	bool failing;
	/*
	 * X-Consul-Index of the last answer, 0 if it had none. The next query
	 * blocks only if settled: an instance is dropped when two lists in a
	 * row lack it, so a changed list is read once more.
	 */
	uint64_t index;
	bool settled;
	bool blocking; /* the call under way */
	int wait_s; /* of the next blocking query */
	struct timespec started;
} list_poll_t;

typedef struct load_poll {
	gc_control_t *control;
	char name[GC_NAME_MAX];
	bool probe;
} load_poll_t;

/* When the load of an engine was read; the value of the subset. */
typedef struct load_state {
	bool polled;
	struct timespec polled_at;
	bool used;
	struct timespec used_at;
} load_state_t;

/* An engine whose load could be read now. */
typedef struct load_due {
	gc_str_t name;
	gc_str_t url;
	double overdue; /* time since the last poll by the interval */
	load_state_t *state;
} load_due_t;

struct gc_control_engines {
	gc_control_t *control;
	list_poll_t lists[N_LISTS];
	GHashTable *subset; /* name of an engine to poll -> load_state_t */
	GHashTable *pending; /* names whose load poll is under way */
	gc_metric_t *list_bytes;
	gc_metric_t *load_bytes;
};

static int engines_destructor(gc_control_engines_t *engines);
static void on_list_tick(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void start_list(list_poll_t *list);
static int64_t take_index(list_poll_t *list, int status);
static void on_list(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void note_list(list_poll_t *list, int status, const GError *err);
static void take_list(list_poll_t *list, json_t *answer);
static void choose_subset(gc_control_engines_t *engines);
static void keep_in_subset(gc_control_engines_t *engines, GHashTable *before,
			   gc_str_t name);
static void start_due_loads(gc_control_engines_t *engines);
static size_t collect_due(gc_control_engines_t *engines, struct timespec now,
			  load_due_t *due);
static int most_overdue_first(const void *a, const void *b);
static void on_load_tick(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void start_load(gc_control_engines_t *engines, gc_str_t name,
		       gc_str_t url, bool probe);
static void start_probes(gc_control_engines_t *engines);
static void on_load(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static bool take_load(gc_control_t *control, gc_str_t name, gc_str_t body);
static gc_str_t url_of(const gc_health_t *health, struct timespec now,
		       gc_str_t name);

gc_control_engines_t *gc_control_engines_create(gc_control_t *control)
{
	gc_control_engines_t *engines =
		talloc_zero(control, gc_control_engines_t);

	engines->control = control;
	engines->subset =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	engines->pending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	engines->list_bytes = gc_control_bytes("list");
	engines->load_bytes = gc_control_bytes("load");
	talloc_set_destructor(engines, engines_destructor);
	for (unsigned int i = 0; i < N_LISTS; i++) {
		engines->lists[i].control = control;
		engines->lists[i].kind = (list_kind_t)i;
		gc_control_after_ms(control, engines, 0, on_list_tick,
				    &engines->lists[i]);
	}
	gc_control_after_ms(control, engines, control->settings->load_poll_ms,
			    on_load_tick, engines);
	return engines;
}

static int engines_destructor(gc_control_engines_t *engines)
{
	g_hash_table_destroy(engines->subset);
	g_hash_table_destroy(engines->pending);
	return 0;
}

bool gc_control_engines_listed(const gc_control_t *control)
{
	return control->engines->lists[LIST_ENGINES].read_once &&
	       control->engines->lists[LIST_SERVICES].read_once;
}

static void on_list_tick(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	start_list(ctx);
}

/*
 * Each daemon waits for changes itself. Bytes and calls at rest don't grow with
 * the list, and only a change is paid for with the whole list.
 */
static void start_list(list_poll_t *list)
{
	gc_control_t *control = list->control;
	const gc_http_call_ops_t ops = {.done = on_list};
	g_autofree char *url = NULL;
	gc_http_call_conf_t conf = {.method = "GET",
				    .peer = "instance list",
				    .body = GC_STR_EMPTY,
				    .timeout_ms = LIST_TIMEOUT_MS,
				    .bytes = control->engines->list_bytes};

	list->blocking = list->settled && list->index > 0;
	list->started = gc_control_now(control);
	url = g_strdup_printf("%s/v1/health/service/%s",
			      control->settings->platform_url,
			      list_names[list->kind]);
	if (list->blocking) {
		char *plain = url;

		url = g_strdup_printf("%s?index=%" PRIu64 "&wait=%ds", plain,
				      list->index, list->wait_s);
		g_free(plain);
		conf.timeout_ms += list->wait_s * 1000L +
				   list->wait_s * 1000L / LIST_WAIT_JITTER;
	}
	conf.url = url;
	list->call = gc_httpc_start(control->http, &conf, &ops, list);
}

static void on_list(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	list_poll_t *list = ctx;
	int64_t pause_ms = take_index(list, err ? 0 : status);
	json_t *answer = NULL;

	list->call = NULL;
	gc_control_after_ms(list->control, list->control->engines, pause_ms,
			    on_list_tick, list);
	note_list(list, status, err);
	if (err || status != 200)
		return;
	answer = json_loadb(body.data, body.len, 0, NULL);
	if (json_is_array(answer))
		take_list(list, answer);
	json_decref(answer);
}

/*
 * Keeps the index of the answer; returns the pause before the next query. A
 * status of 0 means that no answer came. After a failure the list is read
 * without blocking, so that the end of an outage is noticed.
 */
static int64_t take_index(list_poll_t *list, int status)
{
	int64_t poll_ms = list->control->settings->list_poll_ms;
	int64_t took_ms =
		gc_ms_between(list->started, gc_control_now(list->control));
	const char *text = NULL;
	uint64_t index;

	if (status == 200)
		text = gc_http_call_header(list->call, "X-Consul-Index");
	index = text ? g_ascii_strtoull(text, NULL, 10) : 0;
	list->settled = index > 0 && index == list->index;
	list->index = index;
	if (status != 200)
		return poll_ms;
	if (index == 0)
		return poll_ms * LIST_NO_BLOCKING_FACTOR;
	if (!list->blocking || !list->settled) {
		list->wait_s = LIST_FIRST_WAIT_S;
		return poll_ms;
	}
	/* A service that has an index and yet doesn't block. */
	if (took_ms < list->wait_s * INT64_C(500))
		return poll_ms * LIST_NO_BLOCKING_FACTOR;
	list->wait_s = LIST_WAIT_S;
	return 0;
}

static void note_list(list_poll_t *list, int status, const GError *err)
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

static void take_list(list_poll_t *list, json_t *answer)
{
	gc_control_t *control = list->control;
	struct timespec now = gc_control_now(control);
	GStringChunk *strings = g_string_chunk_new(4096);
	size_t n;

	list->read_once = true;
	if (list->kind == LIST_DAEMONS) {
		g_autofree gc_member_descriptor_t *daemons =
			gc_list_daemons(answer, strings, &n);

		gc_membership_on_daemon_list(control->members, now, daemons, n);
	} else {
		g_autofree gc_instance_list_entry_t *entries =
			gc_list_instances(answer, strings, &n);
		gc_health_t *health = list->kind == LIST_ENGINES
					      ? control->engines_health
					      : control->services_health;

		if (gc_health_on_list(health, now, entries, n)) {
			choose_subset(control->engines);
			gc_control_changed(control);
		}
	}
	g_string_chunk_free(strings);
}

static void choose_subset(gc_control_engines_t *engines)
{
	gc_control_t *control = engines->control;
	size_t n = gc_health_count(control->engines_health);
	gc_str_t *names = g_new0(gc_str_t, n + 1);
	struct timespec now = gc_control_now(control);
	gc_health_instance_t instance;
	GHashTable *before;

	for (size_t i = 0; i < n; i++) {
		gc_health_get(control->engines_health, now, i, &instance);
		names[i] = instance.name;
	}
	before = engines->subset;
	engines->subset =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (size_t i = 0; i < n; i++) {
		if (gc_placement_in_subset(gc_str(control->settings->instance),
					   names[i], names, n,
					   control->settings->engine_subset))
			keep_in_subset(engines, before, names[i]);
	}
	g_hash_table_destroy(before);
	g_free(names);
}

static void keep_in_subset(gc_control_engines_t *engines, GHashTable *before,
			   gc_str_t name)
{
	char *key = g_strndup(name.data, name.len);
	const load_state_t *old = g_hash_table_lookup(before, key);
	load_state_t *state = g_new0(load_state_t, 1);

	if (old)
		*state = *old;
	g_hash_table_insert(engines->subset, key, state);
}

void gc_control_engines_used(gc_control_t *control, const char *name)
{
	load_state_t *state =
		g_hash_table_lookup(control->engines->subset, name);

	if (!state)
		return;
	state->used = true;
	state->used_at = gc_control_now(control);
}

static void on_load_tick(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	gc_control_engines_t *engines = ctx;
	gc_control_t *control = engines->control;

	gc_control_after_ms(control, engines, control->settings->load_poll_ms,
			    on_load_tick, engines);
	start_due_loads(engines);
	start_probes(engines);
}

static void start_due_loads(gc_control_engines_t *engines)
{
	size_t n = gc_health_count(engines->control->engines_health);
	load_due_t *due = g_new0(load_due_t, n + 1);
	struct timespec now = gc_control_now(engines->control);
	unsigned int started = 0;

	n = collect_due(engines, now, due);
	qsort(due, n, sizeof(*due), most_overdue_first);
	for (size_t i = 0; i < n; i++) {
		/* The first report of an engine isn't put off. */
		if (due[i].state->polled && started++ >= MAX_LOAD_POLLS)
			break;
		due[i].state->polled = true;
		due[i].state->polled_at = now;
		start_load(engines, due[i].name, due[i].url, false);
	}
	g_free(due);
}

static size_t collect_due(gc_control_engines_t *engines, struct timespec now,
			  load_due_t *due)
{
	const gc_health_t *health = engines->control->engines_health;
	double poll_ms = engines->control->settings->load_poll_ms;
	gc_health_instance_t instance;
	size_t n = 0;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		load_state_t *state;
		double interval_ms = poll_ms;

		gc_health_get(health, now, i, &instance);
		state = g_hash_table_lookup(engines->subset,
					    instance.name.data);
		/* Only the probe decides about an ejected engine. */
		if (!state || instance.ejected)
			continue;
		if (!state->used ||
		    gc_ms_between(state->used_at, now) > LOAD_USED_MS)
			interval_ms *= LOAD_IDLE_FACTOR;
		due[n] = (load_due_t){instance.name, instance.url, HUGE_VAL,
				      state};
		if (state->polled)
			due[n].overdue = gc_ms_between(state->polled_at, now) /
					 interval_ms;
		/* Timers come a little early or late. */
		n += due[n].overdue >= 1 - poll_ms / 2 / interval_ms;
	}
	return n;
}

static int most_overdue_first(const void *a, const void *b)
{
	const load_due_t *x = a;
	const load_due_t *y = b;

	return (x->overdue < y->overdue) - (x->overdue > y->overdue);
}

static void start_probes(gc_control_engines_t *engines)
{
	gc_health_t *health = engines->control->engines_health;
	struct timespec now = gc_control_now(engines->control);

	for (unsigned int i = 0; i < MAX_PROBES; i++) {
		gc_str_t name = gc_health_start_probe(health, now);

		if (name.len == 0)
			return;
		start_load(engines, name, url_of(health, now, name), true);
	}
}

static gc_str_t url_of(const gc_health_t *health, struct timespec now,
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

static void start_load(gc_control_engines_t *engines, gc_str_t name,
		       gc_str_t url, bool probe)
{
	const gc_http_call_ops_t ops = {.done = on_load};
	load_poll_t *poll;
	gc_http_call_conf_t conf = {.method = "GET",
				    .body = GC_STR_EMPTY,
				    .timeout_ms = LOAD_TIMEOUT_MS,
				    .bytes = engines->load_bytes};
	char *load_url;

	if (!probe && g_hash_table_contains(engines->pending, name.data))
		return;
	poll = talloc_zero(engines, load_poll_t);
	poll->control = engines->control;
	poll->probe = probe;
	g_strlcpy(poll->name, name.data, sizeof(poll->name));
	if (!probe)
		g_hash_table_add(engines->pending, g_strdup(poll->name));
	load_url = talloc_asprintf(poll, "%.*s/v1/load", GC_STR_ARG(url));
	conf.url = load_url;
	conf.peer = poll->name;
	gc_httpc_start(engines->control->http, &conf, &ops, poll);
}

static void on_load(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	load_poll_t *poll = ctx;
	gc_control_t *control = poll->control;
	gc_str_t name = gc_str(poll->name);
	bool ok = !err && status == 200 && take_load(control, name, body);

	if (poll->probe) {
		gc_health_on_probe_result(control->engines_health,
					  gc_control_now(control), name, ok);
		gc_log(GC_LOG_INFO,
		       ok ? GC_EVENT_ENGINE_READMITTED : GC_EVENT_PROBE_FAILED,
		       ok ? "engine re-admitted after a probe"
			  : "probe of an ejected engine failed",
		       "engine", poll->name, NULL);
	} else {
		g_hash_table_remove(control->engines->pending, poll->name);
		/* No connection: dead. A slow answer is no proof of that. */
		if (err && !sent)
			gc_control_engines_report(control, name,
						  GC_ENGINE_FAILED);
	}
	gc_control_changed(control);
	talloc_free(poll);
}

static bool take_load(gc_control_t *control, gc_str_t name, gc_str_t body)
{
	json_t *load = json_loadb(body.data, body.len, 0, NULL);
	json_t *slots = json_object_get(load, "slots");
	json_t *running = json_object_get(load, "running");
	json_t *queued = json_object_get(load, "queued");
	bool ok = json_is_integer(slots) && json_is_integer(running) &&
		  json_is_integer(queued);

	if (ok)
		gc_health_on_load(control->engines_health,
				  gc_control_now(control), name,
				  json_integer_value(slots),
				  json_integer_value(running),
				  json_integer_value(queued));
	json_decref(load);
	return ok;
}

void gc_control_engines_report(gc_control_t *control, gc_str_t engine,
			       gc_engine_verdict_t verdict)
{
	g_autofree char *name = NULL;

	if (!gc_health_on_stream_report(control->engines_health,
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
		gc_control_tell_engine_down(control, engine);
	gc_control_changed(control);
}
