/* A traffic thread: caller listener, filter chain, HTTP client. */
#include <pthread.h>
#include <signal.h>

#include "core/error.h"
#include "lib/control.h"
#include "lib/filter.h"
#include "lib/traffic.h"

/* Interval of a stopping thread's checks for open requests. */
#define STOP_POLL_INTERVAL_MS 50
/* Time in which the requests of the connections accepted last arrive. */
#define LAST_REQUESTS_MS 200
/* Time for sending the responses of aborted jobs before the listener closes. */
#define ABORT_FLUSH_MS 1000
/* Minimum interval of reports on the engines in use to the control thread. */
#define USED_REPORT_INTERVAL_MS 500
/*
 * Retries of failed generations per new generation. A full budget lets every
 * stream of the thread move to another engine once, e.g. when a rack fails.
 */
#define RETRY_BUDGET_RATIO 0.2

struct gc_traffic {
	gc_traffic_conf_t conf;
	GThread *thread;
	TALLOC_CTX *mem; /* freed when the thread ends */
	struct tevent_context *ev;
	gc_mailbox_t *mailbox;
	gc_httpd_t *httpd;
	gc_httpc_t *http_client;
	gc_engine_pool_t *engine_pool;
	gc_admission_t *admission;
	gc_retry_budget_t retry_budget;
	struct tevent_timer *queue_timer;
	GRand *glib_rand;
	gc_random_t random;
	gc_view_t *view;
	struct timespec used_reported_at;
	gc_traffic_job_t *jobs;
	unsigned int n_jobs;
	bool stopping;
	bool jobs_aborted;
	bool quit;
	struct timespec stop_deadline;
	bool refuses_connections;
	struct timespec refused_since; /* valid if refuses_connections */
	void (*stopped_cb)(void *ctx);
	void *stopped_cb_ctx;
	/* Result of init_thread for the creating thread, guarded by lock. */
	GMutex lock;
	GCond cond;
	bool started;
	GError *start_err;
	uint16_t port;
};

typedef struct stop_message {
	unsigned int grace_s;
	void (*done)(void *ctx);
	void *ctx;
} stop_message_t;

typedef struct attach_message {
	struct gc_control *control;
	struct gc_claims *claims;
} attach_message_t;

static const gc_filter_t chain[] = {
	{"addresses", gc_filter_addresses}, {"in_effect", gc_filter_readiness},
	{"auth", gc_filter_auth},	    {"body", gc_filter_body},
	{"models", gc_filter_models},	    {"service", gc_filter_service},
	{"generate", gc_filter_generate},   {NULL, NULL},
};

static GThread *start_thread(gc_traffic_t *traffic);
static gpointer run_thread(gpointer data);
static bool init_thread(gc_traffic_t *traffic, GError **err);
static void free_thread_resources(gc_traffic_t *traffic);
static uint64_t next_random(void *ctx);
static void on_request(void *ctx, gc_http_req_t *req);
static int request_ctx_destructor(gc_request_ctx_t *req_ctx);
static void on_view_message(void *ctx, void *message);
static void report_used_engines(gc_traffic_t *traffic);
static void report_used_engine(void *ctx, const char *name);
static void on_attach_message(void *ctx, void *message);
static void on_stop_message(void *ctx, void *message);
static void on_quit_message(void *ctx, void *message);
static void on_stop_poll_timer(struct tevent_context *ev,
			       struct tevent_timer *te, struct timeval now,
			       void *ctx);
static void arm_stop_poll_timer(gc_traffic_t *traffic);
static bool is_idle(const gc_traffic_t *traffic);
static void abort_jobs(gc_traffic_t *traffic);
static void on_queue_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx);

gc_traffic_t *gc_traffic_create(const gc_traffic_conf_t *conf, GError **err)
{
	gc_traffic_t *traffic = g_new0(gc_traffic_t, 1);

	traffic->conf = *conf;
	g_mutex_init(&traffic->lock);
	g_cond_init(&traffic->cond);
	traffic->thread = start_thread(traffic);
	g_mutex_lock(&traffic->lock);
	while (!traffic->started)
		g_cond_wait(&traffic->cond, &traffic->lock);
	g_mutex_unlock(&traffic->lock);
	if (!traffic->start_err)
		return traffic;
	g_propagate_error(err, g_steal_pointer(&traffic->start_err));
	g_thread_join(traffic->thread);
	g_free(traffic);
	return NULL;
}

/* Blocks all signals in the thread; the main thread handles them. */
static GThread *start_thread(gc_traffic_t *traffic)
{
	sigset_t all, old;
	GThread *thread;

	sigfillset(&all);
	pthread_sigmask(SIG_BLOCK, &all, &old);
	thread = g_thread_new("traffic", run_thread, traffic);
	pthread_sigmask(SIG_SETMASK, &old, NULL);
	return thread;
}

static gpointer run_thread(gpointer data)
{
	gc_traffic_t *traffic = data;
	GError *err = NULL;
	bool initialized = init_thread(traffic, &err);

	g_mutex_lock(&traffic->lock);
	traffic->started = true;
	traffic->start_err = err;
	g_cond_signal(&traffic->cond);
	g_mutex_unlock(&traffic->lock);
	while (initialized && !traffic->quit)
		tevent_loop_once(traffic->ev);
	free_thread_resources(traffic);
	return NULL;
}

static bool init_thread(gc_traffic_t *traffic, GError **err)
{
	const gc_settings_t *settings = traffic->conf.settings;
	gc_admission_conf_t admission = {
		.clock = traffic->conf.clock,
		.random = &traffic->random,
		.max_queued = settings->max_streams,
		.queue_ms = settings->queue_ms,
	};
	gc_httpd_conf_t listen = {
		.address = settings->caller.address,
		.port = settings->caller.port,
		.max_body = settings->max_body_bytes,
		.shared_port = settings->traffic_threads > 1,
	};
	guint32 seed[2] = {traffic->conf.seed >> 32,
			   traffic->conf.seed & 0xffffffff};

	traffic->mem = talloc_new(NULL);
	traffic->ev = tevent_context_init(traffic->mem);
	traffic->mailbox =
		gc_mailbox_create(traffic->mem, traffic->ev, traffic);
	traffic->glib_rand = g_rand_new_with_seed_array(seed, 2);
	traffic->random = (gc_random_t){next_random, traffic->glib_rand};
	traffic->http_client = gc_httpc_create(traffic->mem, traffic->ev);
	traffic->engine_pool = gc_engine_pool_create(
		traffic->mem, settings, traffic->conf.clock, &traffic->random);
	traffic->admission = gc_admission_create(traffic->mem, &admission);
	traffic->retry_budget =
		(gc_retry_budget_t){settings->max_streams, RETRY_BUDGET_RATIO,
				    settings->max_streams};
	traffic->httpd = gc_httpd_create(traffic->mem, traffic->ev, &listen,
					 on_request, traffic, err);
	if (!traffic->httpd)
		return false;
	traffic->port = gc_httpd_port(traffic->httpd);
	return true;
}

/* Frees the listener first: ending its requests uses the other members. */
static void free_thread_resources(gc_traffic_t *traffic)
{
	TALLOC_FREE(traffic->httpd);
	TALLOC_FREE(traffic->http_client);
	TALLOC_FREE(traffic->mem);
	if (traffic->view)
		gc_view_unref(traffic->view);
	g_rand_free(traffic->glib_rand);
}

static uint64_t next_random(void *ctx)
{
	uint64_t high = g_rand_int(ctx);

	return high << 32 | g_rand_int(ctx);
}

uint16_t gc_traffic_port(const gc_traffic_t *traffic)
{
	return traffic->port;
}

static void on_request(void *ctx, gc_http_req_t *req)
{
	gc_traffic_t *traffic = ctx;
	gc_request_ctx_t *req_ctx =
		talloc_zero(gc_http_req_mem(req), gc_request_ctx_t);

	req_ctx->traffic = traffic;
	req_ctx->req = req;
	req_ctx->arrived = gc_clock_now(traffic->conf.clock);
	if (traffic->view)
		req_ctx->view = gc_view_ref(traffic->view);
	talloc_set_destructor(req_ctx, request_ctx_destructor);
	gc_filter_run(chain, req_ctx);
}

static int request_ctx_destructor(gc_request_ctx_t *req_ctx)
{
	json_decref(req_ctx->body);
	if (req_ctx->view)
		gc_view_unref(req_ctx->view);
	return 0;
}

void gc_traffic_attach(gc_traffic_t *traffic, struct gc_control *control,
		       struct gc_claims *claims)
{
	attach_message_t *message = g_new0(attach_message_t, 1);

	message->control = control;
	message->claims = claims;
	gc_mailbox_post(traffic->mailbox, on_attach_message, message);
}

static void on_attach_message(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;
	attach_message_t *attach = message;

	traffic->conf.control = attach->control;
	traffic->conf.claims = attach->claims;
	g_free(attach);
}

void gc_traffic_set_view(gc_traffic_t *traffic, gc_view_t *view)
{
	gc_mailbox_post(traffic->mailbox, on_view_message, gc_view_ref(view));
}

static void on_view_message(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;
	const gc_settings_t *settings = traffic->conf.settings;
	uint32_t max_streams_per_thread =
		settings->max_streams / settings->traffic_threads;

	if (traffic->view)
		gc_view_unref(traffic->view);
	traffic->view = message;
	gc_engine_pool_set_view(traffic->engine_pool, traffic->view);
	gc_admission_set_limit(traffic->admission,
			       MIN(gc_engine_pool_slots(traffic->engine_pool),
				   max_streams_per_thread));
	report_used_engines(traffic);
}

static void report_used_engines(gc_traffic_t *traffic)
{
	struct timespec now = gc_clock_now(traffic->conf.clock);

	if (!traffic->conf.control ||
	    gc_ms_between(traffic->used_reported_at, now) <
		    USED_REPORT_INTERVAL_MS)
		return;
	traffic->used_reported_at = now;
	gc_engine_pool_foreach_used(traffic->engine_pool, report_used_engine,
				    traffic->conf.control);
}

static void report_used_engine(void *ctx, const char *name)
{
	gc_control_mark_engine_used(ctx, gc_str(name));
}

void gc_traffic_stop(gc_traffic_t *traffic, unsigned int grace_s,
		     void (*done)(void *ctx), void *ctx)
{
	stop_message_t *message = g_new0(stop_message_t, 1);

	message->grace_s = grace_s;
	message->done = done;
	message->ctx = ctx;
	gc_mailbox_post(traffic->mailbox, on_stop_message, message);
}

static void on_stop_message(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;
	stop_message_t *stop = message;

	traffic->stopping = true;
	gc_httpd_set_closing(traffic->httpd);
	traffic->stop_deadline = gc_add_ms(gc_clock_now(traffic->conf.clock),
					   stop->grace_s * INT64_C(1000));
	traffic->stopped_cb = stop->done;
	traffic->stopped_cb_ctx = stop->ctx;
	g_free(stop);
	arm_stop_poll_timer(traffic);
}

static void arm_stop_poll_timer(gc_traffic_t *traffic)
{
	tevent_add_timer(
		traffic->ev, traffic->mem,
		tevent_timeval_current_ofs(0, STOP_POLL_INTERVAL_MS * 1000),
		on_stop_poll_timer, traffic);
}

static void on_stop_poll_timer(struct tevent_context *ev,
			       struct tevent_timer *te, struct timeval now,
			       void *ctx)
{
	gc_traffic_t *traffic = ctx;
	struct timespec time = gc_clock_now(traffic->conf.clock);
	int64_t overdue_ms = gc_ms_between(traffic->stop_deadline, time);
	bool idle = is_idle(traffic);

	if ((idle || overdue_ms >= 0) && !traffic->refuses_connections) {
		gc_httpd_stop_accepting(traffic->httpd);
		traffic->refuses_connections = true;
		traffic->refused_since = time;
		idle = false;
	}
	if (!idle && overdue_ms >= 0 && !traffic->jobs_aborted)
		abort_jobs(traffic);
	if (overdue_ms < ABORT_FLUSH_MS &&
	    (!idle ||
	     gc_ms_between(traffic->refused_since, time) < LAST_REQUESTS_MS)) {
		arm_stop_poll_timer(traffic);
		return;
	}
	/* A request that arrived while the process ends would be cut off. */
	if (idle)
		TALLOC_FREE(traffic->httpd);
	traffic->stopped_cb(traffic->stopped_cb_ctx);
}

static bool is_idle(const gc_traffic_t *traffic)
{
	gc_httpd_read_pending(traffic->httpd);
	/* An action's job remains when its caller has disconnected. */
	return gc_httpd_open_requests(traffic->httpd) == 0 &&
	       traffic->n_jobs == 0;
}

static void abort_jobs(gc_traffic_t *traffic)
{
	gc_traffic_job_t *next;

	traffic->jobs_aborted = true;
	for (gc_traffic_job_t *job = traffic->jobs; job; job = next) {
		next = job->next;
		job->abort_job(job->ctx);
	}
}

void gc_traffic_destroy(gc_traffic_t *traffic)
{
	gc_mailbox_post(traffic->mailbox, on_quit_message, NULL);
	g_thread_join(traffic->thread);
	g_mutex_clear(&traffic->lock);
	g_cond_clear(&traffic->cond);
	g_free(traffic);
}

static void on_quit_message(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;

	traffic->quit = true;
}

void gc_traffic_job_add(gc_traffic_t *traffic, gc_traffic_job_t *job)
{
	job->traffic = traffic;
	job->prev = NULL;
	job->next = traffic->jobs;
	if (job->next)
		job->next->prev = job;
	traffic->jobs = job;
	traffic->n_jobs++;
}

void gc_traffic_job_remove(gc_traffic_job_t *job)
{
	if (!job->traffic)
		return;
	if (job->prev)
		job->prev->next = job->next;
	else
		job->traffic->jobs = job->next;
	if (job->next)
		job->next->prev = job->prev;
	job->traffic->n_jobs--;
	job->traffic = NULL;
}

void gc_traffic_expire_queue(gc_traffic_t *traffic)
{
	int64_t ms = gc_admission_expire(traffic->admission);

	TALLOC_FREE(traffic->queue_timer);
	if (ms < 0)
		return;
	traffic->queue_timer = tevent_add_timer(
		traffic->ev, traffic->mem,
		tevent_timeval_current_ofs(ms / 1000, (ms % 1000) * 1000),
		on_queue_timer, traffic);
}

static void on_queue_timer(struct tevent_context *ev, struct tevent_timer *te,
			   struct timeval now, void *ctx)
{
	gc_traffic_t *traffic = ctx;

	traffic->queue_timer = NULL;
	gc_traffic_expire_queue(traffic);
}

struct tevent_context *gc_traffic_ev(gc_traffic_t *traffic)
{
	return traffic->ev;
}

gc_httpc_t *gc_traffic_http_client(gc_traffic_t *traffic)
{
	return traffic->http_client;
}

gc_mailbox_t *gc_traffic_mailbox(gc_traffic_t *traffic)
{
	return traffic->mailbox;
}

const gc_clock_t *gc_traffic_clock(gc_traffic_t *traffic)
{
	return traffic->conf.clock;
}

const gc_random_t *gc_traffic_random(gc_traffic_t *traffic)
{
	return &traffic->random;
}

const gc_settings_t *gc_traffic_settings(gc_traffic_t *traffic)
{
	return traffic->conf.settings;
}

struct gc_claims *gc_traffic_claims(gc_traffic_t *traffic)
{
	return traffic->conf.claims;
}

struct gc_control *gc_traffic_control(gc_traffic_t *traffic)
{
	return traffic->conf.control;
}

gc_engine_pool_t *gc_traffic_engine_pool(gc_traffic_t *traffic)
{
	return traffic->engine_pool;
}

gc_admission_t *gc_traffic_admission(gc_traffic_t *traffic)
{
	return traffic->admission;
}

gc_retry_budget_t *gc_traffic_retry_budget(gc_traffic_t *traffic)
{
	return &traffic->retry_budget;
}

bool gc_traffic_is_stopping(const gc_traffic_t *traffic)
{
	return traffic->stopping;
}
