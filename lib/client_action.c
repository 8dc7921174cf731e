/* The caller's side of an action on a plain service. */
#include "lib/client_private.h"

#define ACTION_TIMEOUT_MS 10000
#define RETRY_MS	  200
/* Reads of an outcome in doubt before it is reported as such. */
#define MAX_DOUBT_READS 5

typedef struct action {
	gc_client_t *caller;
	char *path;
	char *key_header;
	gc_str_t body;
	gc_action_done_t done;
	void *ctx;
	char *url;
	unsigned int doubt_reads;
	struct timespec started;
} action_t;

static void connect_next(action_t *action);
static void on_address(void *ctx, const char *url);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void take_refusal(action_t *action, int status, gc_str_t body);
static bool retry(action_t *action, int64_t ms);
static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void finish(action_t *action, gc_run_state_t run, int status,
		   gc_str_t body, const GError *err);

void gc_client_action(gc_client_t *caller, const char *service,
		      const char *path, const char *key, gc_str_t body,
		      gc_action_done_t done, void *ctx)
{
	action_t *action = talloc_zero(caller, action_t);

	action->caller = caller;
	action->path =
		talloc_asprintf(action, "/v1/services/%s%s", service, path);
	action->key_header =
		talloc_asprintf(action, "Idempotency-Key: %s", key);
	action->body = gc_str_dup(action, body);
	action->done = done;
	action->ctx = ctx;
	action->started = gc_clock_now(caller->conf.clock);
	connect_next(action);
}

static void connect_next(action_t *action)
{
	gc_client_address(action->caller, action->url, on_address, action);
}

static void on_address(void *ctx, const char *address)
{
	static const gc_http_call_ops_t ops = {.done = on_done};
	action_t *action = ctx;
	const char *headers[] = {"Content-Type: application/json",
				 action->caller->authorization,
				 action->key_header, NULL};
	gc_http_call_conf_t conf = {.method = "POST",
				    .headers = headers,
				    .body = action->body,
				    .timeout_ms = ACTION_TIMEOUT_MS,
				    /* A repeat would be in doubt. */
				    .send_once = true};
	g_autofree char *url = NULL;

	if (!address) {
		g_autoptr(GError) err = NULL;

		gc_error_set(&err, GC_ERR_UNAVAILABLE, "addresses", NULL,
			     "no daemon answered");
		finish(action, GC_RUN_IN_DOUBT, 0, GC_STR_EMPTY, err);
		return;
	}
	TALLOC_FREE(action->url);
	action->url = talloc_strdup(action, address);
	url = g_strconcat(address, action->path, NULL);
	conf.url = url;
	gc_httpc_start(action->caller->http, &conf, &ops, action);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	action_t *action = ctx;

	if (err) {
		gc_client_address_failed(action->caller, action->url);
		if (!retry(action, RETRY_MS))
			finish(action, GC_RUN_IN_DOUBT, status, body, err);
		return;
	}
	if (status >= 200 && status < 300) {
		finish(action, GC_RUN_DONE, status, body, NULL);
		return;
	}
	take_refusal(action, status, body);
}

static void take_refusal(action_t *action, int status, gc_str_t body)
{
	g_autoptr(GError) refusal = NULL;
	gc_run_state_t run;
	int64_t retry_after_ms;

	refusal = gc_client_refusal(status, body, action->url, &run,
				    &retry_after_ms);
	retry_after_ms = MAX(retry_after_ms, RETRY_MS);
	if (run == GC_RUN_NOT_RUN && status == 503 &&
	    retry(action, retry_after_ms))
		return;
	if (run == GC_RUN_IN_DOUBT && status == 409 &&
	    action->doubt_reads++ < MAX_DOUBT_READS &&
	    retry(action, retry_after_ms))
		return;
	finish(action, run, status, body, refusal);
}

/* False if the caller's patience is over. */
static bool retry(action_t *action, int64_t ms)
{
	struct timespec now = gc_clock_now(action->caller->conf.clock);
	struct timeval at =
		tevent_timeval_current_ofs(ms / 1000, (ms % 1000) * 1000);

	if (gc_ms_between(action->started, now) + ms >
	    action->caller->conf.patience_ms)
		return false;
	tevent_add_timer(action->caller->ev, action, at, on_retry, action);
	return true;
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	connect_next(ctx);
}

static void finish(action_t *action, gc_run_state_t run, int status,
		   gc_str_t body, const GError *err)
{
	action->done(action->ctx, run, status, body, err);
	talloc_free(action);
}
