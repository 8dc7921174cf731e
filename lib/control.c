/* The control thread: creates its components and publishes views. */
#include <string.h>

#include "core/error.h"
#include "lib/control_private.h"

/*
 * Time limit of a call to the key-value service. Two attempts must fit into the
 * 3 s for which a confirmation is valid by default (config_confirm_ms).
 */
#define KV_TIMEOUT_MS 1500

typedef struct engine_report {
	gc_engine_verdict_t verdict;
	char engine[GC_NAME_MAX];
} engine_report_t;

static uint64_t next_random(void *ctx);
static bool create_peer_socket(gc_control_t *control, GError **err);
static void create_membership(gc_control_t *control, uint16_t caller_port);
static void on_publish(struct tevent_context *ev, struct tevent_immediate *im,
		       void *ctx);
static void on_engine_report(void *ctx, void *message);
static void on_engine_used(void *ctx, void *message);
static void fill_instances(gc_view_t *view, const gc_health_t *health,
			   struct timespec now, gc_view_instance_t *out);
static void count_serving_daemon(void *ctx, const gc_member_info_t *info);
static void add_serving_daemon(void *ctx, const gc_member_info_t *info);

gc_control_t *gc_control_create(TALLOC_CTX *mem, struct tevent_context *ev,
				const gc_control_conf_t *conf, GError **err)
{
	gc_control_t *control = talloc_zero(mem, gc_control_t);

	control->ev = ev;
	control->settings = conf->settings;
	control->clock = conf->clock;
	control->random_state = conf->seed;
	control->random = (gc_random_t){next_random, &control->random_state};
	control->publish = conf->publish;
	control->publish_ctx = conf->ctx;
	control->publish_event = tevent_create_immediate(control);
	control->mailbox = gc_mailbox_create(control, ev, control);
	control->http = gc_httpc_create(control, ev);
	control->kv = gc_kv_create(control, control->http,
				   conf->settings->platform_url, KV_TIMEOUT_MS);
	gc_kv_count_bytes(control->kv, "", gc_control_byte_counter("claims"));
	gc_kv_count_bytes(control->kv, GC_CONFIG_KEY,
			  gc_control_byte_counter("config"));
	control->engine_health = gc_health_create(control);
	control->server_health = gc_health_create(control);
	if (!create_peer_socket(control, err)) {
		talloc_free(control);
		return NULL;
	}
	create_membership(control, conf->caller_port);
	control->operator_api = gc_operator_api_create(control, err);
	if (!control->operator_api) {
		talloc_free(control);
		return NULL;
	}
	control->config = gc_control_config_create(control);
	control->engines = gc_control_engines_create(control);
	control->control_peers = gc_control_peers_create(control);
	gc_control_sweep_create(control);
	gc_control_schedule_publish(control);
	return control;
}

uint16_t gc_control_operator_port(const gc_control_t *control)
{
	return gc_operator_api_port(control->operator_api);
}

void gc_control_destroy(gc_control_t *control)
{
	talloc_free(control);
}

/* SplitMix64, seeded with gc_control_conf_t.seed. */
static uint64_t next_random(void *ctx)
{
	uint64_t *state = ctx;
	uint64_t z = (*state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static bool create_peer_socket(gc_control_t *control, GError **err)
{
	control->peers =
		gc_peers_create(control, control->ev, &control->settings->peer,
				&gc_control_peer_ops, control, err);
	return control->peers != NULL;
}

static void create_membership(gc_control_t *control, uint16_t caller_port)
{
	const gc_settings_t *settings = control->settings;
	g_autofree char *caller_url = g_strdup_printf(
		"http://%s:%u", settings->caller.address, caller_port);
	gc_str_t *seeds = g_new(gc_str_t, settings->n_seed_peers + 1);
	gc_membership_conf_t conf = {
		.self = gc_str(settings->instance),
		.failure_domain = gc_str(settings->failure_domain),
		.peer_url = gc_str(gc_peers_url(control->peers)),
		.caller_url = gc_str(caller_url),
		.heartbeat_ms = settings->heartbeat_ms,
		.confirm_ms = settings->config_confirm_ms,
		.random = &control->random,
		.started = gc_control_now(control),
	};

	control->membership = gc_membership_create(control, &conf);
	for (size_t i = 0; i < settings->n_seed_peers; i++)
		seeds[i] = gc_str(settings->seed_peers[i]);
	gc_membership_set_seeds(control->membership, seeds,
				settings->n_seed_peers);
	g_free(seeds);
}

void gc_control_leave(gc_control_t *control)
{
	gc_membership_set_leaving(control->membership);
	gc_control_send_heartbeats(control);
	gc_control_schedule_publish(control);
}

void gc_control_report_engine(gc_control_t *control, gc_str_t engine,
			      gc_engine_verdict_t verdict)
{
	engine_report_t *report = g_new0(engine_report_t, 1);
	size_t len = MIN(engine.len, sizeof(report->engine) - 1);

	report->verdict = verdict;
	memcpy(report->engine, engine.data, len);
	gc_mailbox_post(control->mailbox, on_engine_report, report);
}

static void on_engine_report(void *ctx, void *message)
{
	engine_report_t *report = message;

	gc_control_engines_on_verdict(ctx, gc_str(report->engine),
				      report->verdict);
	g_free(report);
}

void gc_control_mark_engine_used(gc_control_t *control, gc_str_t engine)
{
	gc_mailbox_post(control->mailbox, on_engine_used,
			g_strndup(engine.data, engine.len));
}

static void on_engine_used(void *ctx, void *message)
{
	gc_control_engines_mark_used(ctx, message);
	g_free(message);
}

gc_kv_t *gc_control_kv(gc_control_t *control)
{
	return control->kv;
}

gc_mailbox_t *gc_control_mailbox(gc_control_t *control)
{
	return control->mailbox;
}

struct timespec gc_control_now(const gc_control_t *control)
{
	return gc_clock_now(control->clock);
}

struct tevent_timer *gc_control_add_timer(const gc_control_t *control,
					  TALLOC_CTX *mem, int64_t ms,
					  tevent_timer_handler_t fn, void *ctx)
{
	struct timeval at =
		tevent_timeval_current_ofs(ms / 1000, (ms % 1000) * 1000);

	return tevent_add_timer(control->ev, mem, at, fn, ctx);
}

gc_metric_t *gc_control_byte_counter(const char *kind)
{
	return gc_counter("goldcrest_control_bytes",
			  "Bytes of control traffic by kind", "kind", kind);
}

void gc_control_schedule_publish(gc_control_t *control)
{
	if (control->publish_pending)
		return;
	control->publish_pending = true;
	tevent_schedule_immediate(control->publish_event, control->ev,
				  on_publish, control);
}

static void on_publish(struct tevent_context *ev, struct tevent_immediate *im,
		       void *ctx)
{
	gc_control_t *control = ctx;
	gc_view_t *view = gc_control_create_view(control);

	control->publish_pending = false;
	control->publish(control->publish_ctx, view);
	gc_view_unref(view);
}

typedef struct daemon_list {
	gc_view_t *view;
	size_t n;
} daemon_list_t;

gc_view_t *gc_control_create_view(gc_control_t *control)
{
	struct timespec now = gc_control_now(control);
	gc_config_t *config = gc_control_config_current(control);
	daemon_list_t daemons = {0};
	gc_view_t *view;

	gc_membership_foreach(control->membership, now, count_serving_daemon,
			      &daemons.n);
	view = gc_view_create(gc_health_count(control->engine_health),
			      gc_health_count(control->server_health),
			      daemons.n);
	view->config = config ? gc_config_ref(config) : NULL;
	view->in_effect_until =
		gc_membership_in_effect_until(control->membership, now);
	view->stopping = gc_membership_leaving(control->membership);
	fill_instances(view, control->engine_health, now, view->engines);
	fill_instances(view, control->server_health, now, view->servers);
	daemons.view = view;
	daemons.n = 0;
	gc_membership_foreach(control->membership, now, add_serving_daemon,
			      &daemons);
	return view;
}

static void fill_instances(gc_view_t *view, const gc_health_t *health,
			   struct timespec now, gc_view_instance_t *out)
{
	gc_health_instance_t instance;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		gc_health_get(health, now, i, &instance);
		out[i] = (gc_view_instance_t){
			.name = gc_view_copy_str(view, instance.name),
			.url = gc_view_copy_str(view, instance.url),
			.failure_domain =
				gc_view_copy_str(view, instance.failure_domain),
			.labels = json_incref(instance.labels),
			.leaving = instance.leaving,
			.ejected = instance.ejected,
			.slots = instance.slots,
			.running = instance.running,
			.queued = instance.queued,
			.reported_at = instance.reported_at,
		};
	}
}

/* True if the daemon belongs in the address list of callers. */
static bool is_serving(const gc_member_info_t *info)
{
	return info->live && !info->leaving && info->caller_url.len > 0;
}

static void count_serving_daemon(void *ctx, const gc_member_info_t *info)
{
	size_t *n = ctx;

	*n += is_serving(info);
}

static void add_serving_daemon(void *ctx, const gc_member_info_t *info)
{
	daemon_list_t *list = ctx;

	if (!is_serving(info))
		return;
	list->view->daemons[list->n++] = (gc_view_daemon_t){
		.name = gc_view_copy_str(list->view, info->name),
		.caller_url = gc_view_copy_str(list->view, info->caller_url),
		.failure_domain =
			gc_view_copy_str(list->view, info->failure_domain),
	};
}
