/* A traffic thread: caller listener, filter chain, upstream connections. */
#include <pthread.h>
#include <signal.h>

#include "core/error.h"
#include "lib/control.h"
#include "lib/filter.h"
#include "lib/traffic.h"

/* How often a stopping thread looks whether its requests have ended. */
#define STOP_POLL_MS 50
/* Broken-off answers get this long to go out before the listener closes. */
#define BREAK_OFF_MS 1000
/* How often the control thread is told of the engines in use, at most. */
#define TELL_USED_MS 500
/*
 * New attempts of broken generations, as a share of new generations; a full
 * budget lets every stream of the thread move once, e.g. when a rack fails.
 */
#define RETRIES_PER_REQUEST 0.2

struct gc_traffic {
	gc_traffic_conf_t conf;
	GThread *thread;
	TALLOC_CTX *mem; /* of the thread */
	struct tevent_context *ev;
	gc_mailbox_t *mailbox;
	gc_httpd_t *httpd;
	gc_httpc_t *http;
	gc_engine_pool_t *engines;
	gc_admission_t *admit;
	gc_retry_budget_t retries;
	struct tevent_timer *queue_timer;
	GRand *rand;
	gc_random_t random;
	gc_view_t *view;
	struct timespec told_used_at;
	gc_traffic_job_t *jobs;
	unsigned int n_jobs;
	bool stopping;
	bool broken_off;
	bool quit;
	struct timespec stop_at;
	void (*stopped)(void *ctx);
	void *stopped_ctx;
	/* Handover of the start's result to the creating thread. */
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
	{"addresses", gc_filter_addresses}, {"in_effect", gc_filter_in_effect},
	{"auth", gc_filter_auth},	    {"body", gc_filter_body},
	{"models", gc_filter_models},	    {"service", gc_filter_service},
	{"generate", gc_filter_generate},   {NULL, NULL},
};

static GThread *start_thread(gc_traffic_t *traffic);
static gpointer run_thread(gpointer data);
static bool set_up(gc_traffic_t *traffic, GError **err);
static void clean_up(gc_traffic_t *traffic);
static uint64_t next_random(void *ctx);
static void on_request(void *ctx, gc_http_req_t *req);
static int exchange_destructor(gc_request_ctx_t *exchange);
static void take_view(void *ctx, void *message);
static void tell_used(gc_traffic_t *traffic);
static void tell_used_engine(void *ctx, const char *name);
static void take_attach(void *ctx, void *message);
static void take_stop(void *ctx, void *message);
static void take_quit(void *ctx, void *message);
static void on_stop_poll(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void arm_stop_poll(gc_traffic_t *traffic);
static void break_off_jobs(gc_traffic_t *traffic);
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

/* Signals are the main thread's. */
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
	bool up = set_up(traffic, &err);

	g_mutex_lock(&traffic->lock);
	traffic->started = true;
	traffic->start_err = err;
	g_cond_signal(&traffic->cond);
	g_mutex_unlock(&traffic->lock);
	while (up && !traffic->quit)
		tevent_loop_once(traffic->ev);
	clean_up(traffic);
	return NULL;
}

static bool set_up(gc_traffic_t *traffic, GError **err)
{
	const gc_settings_t *settings = traffic->conf.settings;
	gc_admission_conf_t admit = {
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
	traffic->rand = g_rand_new_with_seed_array(seed, 2);
	traffic->random = (gc_random_t){next_random, traffic->rand};
	traffic->http = gc_httpc_create(traffic->mem, traffic->ev);
	traffic->engines = gc_engine_pool_create(
		traffic->mem, settings, traffic->conf.clock, &traffic->random);
	traffic->admit = gc_admission_create(traffic->mem, &admit);
	traffic->retries =
		(gc_retry_budget_t){settings->max_streams, RETRIES_PER_REQUEST,
				    settings->max_streams};
	traffic->httpd = gc_httpd_create(traffic->mem, traffic->ev, &listen,
					 on_request, traffic, err);
	if (!traffic->httpd)
		return false;
	traffic->port = gc_httpd_port(traffic->httpd);
	return true;
}

/* The listener goes first: ending its requests uses all the rest. */
static void clean_up(gc_traffic_t *traffic)
{
	TALLOC_FREE(traffic->httpd);
	TALLOC_FREE(traffic->http);
	TALLOC_FREE(traffic->mem);
	if (traffic->view)
		gc_view_unref(traffic->view);
	g_rand_free(traffic->rand);
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
	gc_request_ctx_t *exchange =
		talloc_zero(gc_http_req_mem(req), gc_request_ctx_t);

	exchange->traffic = traffic;
	exchange->req = req;
	exchange->arrived = gc_clock_now(traffic->conf.clock);
	if (traffic->view)
		exchange->view = gc_view_ref(traffic->view);
	talloc_set_destructor(exchange, exchange_destructor);
	gc_filter_run(chain, exchange);
}

static int exchange_destructor(gc_request_ctx_t *exchange)
{
	json_decref(exchange->body);
	if (exchange->view)
		gc_view_unref(exchange->view);
	return 0;
}

void gc_traffic_attach(gc_traffic_t *traffic, struct gc_control *control,
		       struct gc_claims *claims)
{
	attach_message_t *message = g_new0(attach_message_t, 1);

	message->control = control;
	message->claims = claims;
	gc_mailbox_post(traffic->mailbox, take_attach, message);
}

static void take_attach(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;
	attach_message_t *attach = message;

	traffic->conf.control = attach->control;
	traffic->conf.claims = attach->claims;
	g_free(attach);
}

void gc_traffic_set_view(gc_traffic_t *traffic, gc_view_t *view)
{
	gc_mailbox_post(traffic->mailbox, take_view, gc_view_ref(view));
}

static void take_view(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;
	const gc_settings_t *settings = traffic->conf.settings;
	uint32_t most = settings->max_streams / settings->traffic_threads;

	if (traffic->view)
		gc_view_unref(traffic->view);
	traffic->view = message;
	gc_engine_pool_set_view(traffic->engines, traffic->view);
	gc_admission_set_limit(traffic->admit,
			       MIN(gc_engine_pool_slots(traffic->engines),
				   most));
	tell_used(traffic);
}

static void tell_used(gc_traffic_t *traffic)
{
	struct timespec now = gc_clock_now(traffic->conf.clock);

	if (!traffic->conf.control ||
	    gc_ms_between(traffic->told_used_at, now) < TELL_USED_MS)
		return;
	traffic->told_used_at = now;
	gc_engine_pool_each_used(traffic->engines, tell_used_engine,
				 traffic->conf.control);
}

static void tell_used_engine(void *ctx, const char *name)
{
	gc_control_note_used(ctx, gc_str(name));
}

void gc_traffic_stop(gc_traffic_t *traffic, unsigned int grace_s,
		     void (*done)(void *ctx), void *ctx)
{
	stop_message_t *message = g_new0(stop_message_t, 1);

	message->grace_s = grace_s;
	message->done = done;
	message->ctx = ctx;
	gc_mailbox_post(traffic->mailbox, take_stop, message);
}

static void take_stop(void *ctx, void *message)
{
	gc_traffic_t *traffic = ctx;
	stop_message_t *stop = message;

	traffic->stopping = true;
	traffic->stop_at = gc_add_ms(gc_clock_now(traffic->conf.clock),
				     stop->grace_s * INT64_C(1000));
	traffic->stopped = stop->done;
	traffic->stopped_ctx = stop->ctx;
	g_free(stop);
	arm_stop_poll(traffic);
}

static void arm_stop_poll(gc_traffic_t *traffic)
{
	tevent_add_timer(traffic->ev, traffic->mem,
			 tevent_timeval_current_ofs(0, STOP_POLL_MS * 1000),
			 on_stop_poll, traffic);
}

static void on_stop_poll(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	gc_traffic_t *traffic = ctx;
	int64_t over_ms = gc_ms_between(traffic->stop_at,
					gc_clock_now(traffic->conf.clock));
	/* An action goes on as a job when its caller has hung up. */
	bool idle = gc_httpd_open_requests(traffic->httpd) == 0 &&
		    traffic->n_jobs == 0;

	if (!idle && over_ms >= 0 && !traffic->broken_off)
		break_off_jobs(traffic);
	if (!idle && over_ms < BREAK_OFF_MS) {
		arm_stop_poll(traffic);
		return;
	}
	gc_httpd_stop_accepting(traffic->httpd);
	traffic->stopped(traffic->stopped_ctx);
}

static void break_off_jobs(gc_traffic_t *traffic)
{
	gc_traffic_job_t *next;

	traffic->broken_off = true;
	for (gc_traffic_job_t *job = traffic->jobs; job; job = next) {
		next = job->next;
		job->break_off(job->ctx);
	}
}

void gc_traffic_destroy(gc_traffic_t *traffic)
{
	gc_mailbox_post(traffic->mailbox, take_quit, NULL);
	g_thread_join(traffic->thread);
	g_mutex_clear(&traffic->lock);
	g_cond_clear(&traffic->cond);
	g_free(traffic);
}

static void take_quit(void *ctx, void *message)
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

void gc_traffic_watch_queue(gc_traffic_t *traffic)
{
	int64_t ms = gc_admission_expire(traffic->admit);

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
	gc_traffic_watch_queue(traffic);
}

struct tevent_context *gc_traffic_ev(gc_traffic_t *traffic)
{
	return traffic->ev;
}

gc_httpc_t *gc_traffic_http(gc_traffic_t *traffic)
{
	return traffic->http;
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

gc_engine_pool_t *gc_traffic_engines(gc_traffic_t *traffic)
{
	return traffic->engines;
}

gc_admission_t *gc_traffic_admit(gc_traffic_t *traffic)
{
	return traffic->admit;
}

gc_retry_budget_t *gc_traffic_retry_budget(gc_traffic_t *traffic)
{
	return &traffic->retries;
}

bool gc_traffic_stopping(const gc_traffic_t *traffic)
{
	return traffic->stopping;
}
