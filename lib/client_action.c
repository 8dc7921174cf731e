/* Client: actions on plain services. */
#include "lib/client_private.h"

#define CALL_TIMEOUT_MS 10000
#define RETRY_DELAY_MS	200
/* Retries of an action in doubt before it is reported as in doubt. */
#define MAX_IN_DOUBT_RETRIES 5

typedef struct action {
	gc_client_t *client;
	char *path;
	char *key_header;
	gc_str_t body;
	gc_client_action_done_t done;
	void *ctx;
	char *url; /* daemon of the last request */
	unsigned int in_doubt_retries;
	struct timespec started_at;
} action_t;

static void send_request(action_t *action);
static void on_address(void *ctx, const char *address);
static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err);
static void handle_error_response(action_t *action, int status, gc_str_t body);
static bool schedule_retry(action_t *action, int64_t delay_ms);
static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx);
static void finish_action(action_t *action, gc_run_state_t run, int status,
			  gc_str_t body, const GError *err);

void gc_client_action(gc_client_t *client, const char *service,
		      const char *path, const char *key, gc_str_t body,
		      gc_client_action_done_t done, void *ctx)
{
	action_t *action = talloc_zero(client, action_t);

	action->client = client;
	action->path =
		talloc_asprintf(action, "/v1/services/%s%s", service, path);
	action->key_header =
		talloc_asprintf(action, "Idempotency-Key: %s", key);
	action->body = gc_str_dup(action, body);
	action->done = done;
	action->ctx = ctx;
	action->started_at = gc_clock_now(client->conf.clock);
	send_request(action);
}

static void send_request(action_t *action)
{
	gc_client_get_address(action->client, action->url, on_address, action);
}

static void on_address(void *ctx, const char *address)
{
	static const gc_http_call_ops_t ops = {.done = on_done};
	action_t *action = ctx;
	const char *headers[] = {"Content-Type: application/json",
				 action->client->authorization,
				 action->key_header, NULL};
	gc_http_call_conf_t conf = {.method = "POST",
				    .headers = headers,
				    .body = action->body,
				    .timeout_ms = CALL_TIMEOUT_MS,
				    /*
				     * The outcome of a request that libcurl
				     * sent twice would be in doubt.
				     */
				    .send_once = true};
	g_autofree char *url = NULL;

	if (!address) {
		g_autoptr(GError) err = NULL;

		gc_error_set(&err, GC_ERR_UNAVAILABLE, "addresses", NULL,
			     "no daemon answered");
		finish_action(action, GC_RUN_IN_DOUBT, 0, GC_STR_EMPTY, err);
		return;
	}
	TALLOC_FREE(action->url);
	action->url = talloc_strdup(action, address);
	url = g_strconcat(address, action->path, NULL);
	conf.url = url;
	gc_httpc_start(action->client->http, &conf, &ops, action);
}

static void on_done(void *ctx, int status, gc_str_t body, bool sent,
		    const GError *err)
{
	action_t *action = ctx;

	if (err) {
		gc_client_drop_address(action->client, action->url);
		if (!schedule_retry(action, RETRY_DELAY_MS))
			finish_action(action, GC_RUN_IN_DOUBT, status, body,
				      err);
		return;
	}
	if (status >= 200 && status < 300) {
		finish_action(action, GC_RUN_DONE, status, body, NULL);
		return;
	}
	handle_error_response(action, status, body);
}

static void handle_error_response(action_t *action, int status, gc_str_t body)
{
	g_autoptr(GError) response_err = NULL;
	gc_run_state_t run;
	int64_t retry_after_ms;

	response_err = gc_client_parse_error(status, body, action->url, &run,
					     &retry_after_ms);
	retry_after_ms = MAX(retry_after_ms, RETRY_DELAY_MS);
	if (run == GC_RUN_NOT_RUN && status == 503 &&
	    schedule_retry(action, retry_after_ms))
		return;
	if (run == GC_RUN_IN_DOUBT && status == 409 &&
	    action->in_doubt_retries++ < MAX_IN_DOUBT_RETRIES &&
	    schedule_retry(action, retry_after_ms))
		return;
	finish_action(action, run, status, body, response_err);
}

/* Returns false if the retry would exceed progress_timeout_ms. */
static bool schedule_retry(action_t *action, int64_t delay_ms)
{
	struct timespec now = gc_clock_now(action->client->conf.clock);
	struct timeval at = tevent_timeval_current_ofs(
		delay_ms / 1000, (delay_ms % 1000) * 1000);

	if (gc_ms_between(action->started_at, now) + delay_ms >
	    action->client->conf.progress_timeout_ms)
		return false;
	tevent_add_timer(action->client->ev, action, at, on_retry, action);
	return true;
}

static void on_retry(struct tevent_context *ev, struct tevent_timer *te,
		     struct timeval now, void *ctx)
{
	send_request(ctx);
}

static void finish_action(action_t *action, gc_run_state_t run, int status,
			  gc_str_t body, const GError *err)
{
	action->done(action->ctx, run, status, body, err);
	talloc_free(action);
}
