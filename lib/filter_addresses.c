/*
 * Filters: the list of daemon addresses, and the readiness check. A daemon that
 * is shutting down names another daemon when it refuses a request.
 */
#include <stdlib.h>
#include <string.h>

#include "lib/filter.h"

/* Callers need a few addresses, not those of all daemons. */
#define MAX_ADDRESSES 16

/* A daemon and its sort keys. */
typedef struct address_entry {
	const gc_view_daemon_t *daemon;
	size_t domain_index; /* position within its failure domain */
	uint64_t domain_sort_key; /* random, the same within a domain */
	uint64_t sort_key; /* random */
} address_entry_t;

static size_t interleave_domains(gc_request_ctx_t *req_ctx,
				 address_entry_t *entries);
static int compare_by_domain(const void *a, const void *b);
static int compare_by_domain_index(const void *a, const void *b);
static json_t *address_json(const address_entry_t *entry);
static char *choose_other_address(gc_request_ctx_t *req_ctx);

gc_filter_result_t gc_filter_addresses(gc_request_ctx_t *req_ctx, GError **err)
{
	const gc_settings_t *settings = gc_traffic_settings(req_ctx->traffic);
	json_t *addresses;
	json_t *body;
	address_entry_t *entries;
	char *text;
	size_t n;

	if (strcmp(gc_http_req_path(req_ctx->req), "/v1/addresses") != 0)
		return GC_FILTER_NEXT;
	if (strcmp(gc_http_req_method(req_ctx->req), "GET") != 0) {
		gc_error_set(err, GC_ERR_INVALID, "addresses", NULL,
			     "method not supported; use GET");
		return GC_FILTER_REFUSE;
	}
	if (!req_ctx->view || req_ctx->view->n_daemons == 0) {
		gc_error_set(err, GC_ERR_UNAVAILABLE, "addresses", NULL,
			     "no daemon is known yet");
		return GC_FILTER_REFUSE;
	}
	entries = talloc_zero_array(req_ctx, address_entry_t,
				    req_ctx->view->n_daemons);
	n = MIN(interleave_domains(req_ctx, entries), MAX_ADDRESSES);
	addresses = json_array();
	for (size_t i = 0; i < n; i++)
		json_array_append_new(addresses, address_json(&entries[i]));
	body = json_pack("{si so}", "ttl_s", (int)settings->address_ttl_s,
			 "addresses", addresses);
	text = json_dumps(body, JSON_COMPACT);
	gc_http_reply(req_ctx->req, 200, "application/json", gc_str(text));
	free(text);
	json_decref(body);
	return GC_FILTER_HANDLED;
}

/*
 * Orders the daemons at random, with neighbours in different failure domains as
 * far as possible: a caller that tries the list in order leaves a failed domain
 * at its second attempt. Returns the number of daemons.
 */
static size_t interleave_domains(gc_request_ctx_t *req_ctx,
				 address_entry_t *entries)
{
	const gc_random_t *random = gc_traffic_random(req_ctx->traffic);
	size_t n = req_ctx->view->n_daemons;

	for (size_t i = 0; i < n; i++) {
		entries[i].daemon = &req_ctx->view->daemons[i];
		entries[i].sort_key = random->next(random->ctx);
	}
	qsort(entries, n, sizeof(*entries), compare_by_domain);
	for (size_t i = 0; i < n; i++) {
		bool same_domain =
			i > 0 &&
			gc_str_eq(entries[i].daemon->failure_domain,
				  entries[i - 1].daemon->failure_domain);

		entries[i].domain_index =
			same_domain ? entries[i - 1].domain_index + 1 : 0;
		entries[i].domain_sort_key =
			same_domain ? entries[i - 1].domain_sort_key
				    : random->next(random->ctx);
	}
	qsort(entries, n, sizeof(*entries), compare_by_domain_index);
	return n;
}

static int compare_by_domain(const void *a, const void *b)
{
	const address_entry_t *x = a;
	const address_entry_t *y = b;
	gc_str_t x_domain = x->daemon->failure_domain;
	gc_str_t y_domain = y->daemon->failure_domain;
	int cmp = memcmp(x_domain.data, y_domain.data,
			 MIN(x_domain.len, y_domain.len));

	if (cmp != 0)
		return cmp;
	if (x_domain.len != y_domain.len)
		return x_domain.len < y_domain.len ? -1 : 1;
	return (x->sort_key > y->sort_key) - (x->sort_key < y->sort_key);
}

static int compare_by_domain_index(const void *a, const void *b)
{
	const address_entry_t *x = a;
	const address_entry_t *y = b;

	if (x->domain_index != y->domain_index)
		return x->domain_index < y->domain_index ? -1 : 1;
	return (x->domain_sort_key > y->domain_sort_key) -
	       (x->domain_sort_key < y->domain_sort_key);
}

static json_t *address_json(const address_entry_t *entry)
{
	const gc_view_daemon_t *daemon = entry->daemon;

	return json_pack("{ss% ss% ss%}", "url", daemon->caller_url.data,
			 daemon->caller_url.len, "failure_domain",
			 daemon->failure_domain.data,
			 daemon->failure_domain.len, "instance",
			 daemon->name.data, daemon->name.len);
}

gc_filter_result_t gc_filter_readiness(gc_request_ctx_t *req_ctx, GError **err)
{
	struct timespec now = gc_clock_now(gc_traffic_clock(req_ctx->traffic));
	gc_view_t *view = req_ctx->view;
	GError *stopping = NULL;

	if (gc_traffic_is_stopping(req_ctx->traffic) ||
	    (view && view->stopping)) {
		gc_error_set(&stopping, GC_ERR_UNAVAILABLE, "in_effect", NULL,
			     "this daemon is stopping");
		gc_refuse_with_address(req_ctx->req, stopping, GC_RUN_NOT_RUN,
				       gc_retry_after_s(req_ctx->traffic),
				       choose_other_address(req_ctx));
		g_error_free(stopping);
		return GC_FILTER_HANDLED;
	}
	if (view && view->config &&
	    gc_us_between(now, view->in_effect_until) >= 0)
		return GC_FILTER_NEXT;
	gc_error_set(err, GC_ERR_UNAVAILABLE, "in_effect", NULL,
		     "this daemon has no confirmed configuration");
	return GC_FILTER_REFUSE;
}

/* URL of another daemon, chosen at random; NULL if none is known. */
static char *choose_other_address(gc_request_ctx_t *req_ctx)
{
	gc_str_t own = gc_str(gc_traffic_settings(req_ctx->traffic)->instance);
	address_entry_t *entries;

	if (!req_ctx->view || req_ctx->view->n_daemons == 0)
		return NULL;
	entries = talloc_zero_array(req_ctx, address_entry_t,
				    req_ctx->view->n_daemons);
	interleave_domains(req_ctx, entries);
	for (size_t i = 0; i < req_ctx->view->n_daemons; i++) {
		gc_str_t url = entries[i].daemon->caller_url;

		if (!gc_str_eq(entries[i].daemon->name, own))
			return talloc_strndup(req_ctx, url.data, url.len);
	}
	return NULL;
}
