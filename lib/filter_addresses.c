/* Filter: addresses of the daemons, and refusals that point to another one. */
#include <stdlib.h>
#include <string.h>

#include "lib/filter.h"

/* A caller needs a few addresses, not the whole fleet's. */
#define MAX_ADDRESSES 16

/* A daemon and its place in the answer. */
typedef struct entry {
	const gc_view_daemon_t *daemon;
	size_t turn; /* place within its failure domain */
	uint64_t domain_rank; /* random, the same within a domain */
	uint64_t rank; /* random */
} entry_t;

static size_t spread(gc_request_ctx_t *ex, entry_t *entries);
static int by_domain(const void *a, const void *b);
static int by_turn(const void *a, const void *b);
static json_t *entry_json(const entry_t *entry);
static char *other_address(gc_request_ctx_t *ex);

gc_filter_result_t gc_filter_addresses(gc_request_ctx_t *ex, GError **err)
{
	const gc_settings_t *settings = gc_traffic_settings(ex->traffic);
	json_t *addresses;
	json_t *body;
	entry_t *entries;
	char *text;
	size_t n;

	if (strcmp(gc_http_req_path(ex->req), "/v1/addresses") != 0)
		return GC_FILTER_NEXT;
	if (strcmp(gc_http_req_method(ex->req), "GET") != 0) {
		gc_error_set(err, GC_ERR_INVALID, "addresses", NULL,
			     "only GET is served here");
		return GC_FILTER_REFUSE;
	}
	if (!ex->view || ex->view->n_daemons == 0) {
		gc_error_set(err, GC_ERR_UNAVAILABLE, "addresses", NULL,
			     "no daemon is known yet");
		return GC_FILTER_REFUSE;
	}
	entries = talloc_zero_array(ex, entry_t, ex->view->n_daemons);
	n = MIN(spread(ex, entries), MAX_ADDRESSES);
	addresses = json_array();
	for (size_t i = 0; i < n; i++)
		json_array_append_new(addresses, entry_json(&entries[i]));
	body = json_pack("{si so}", "ttl_s", (int)settings->address_ttl_s,
			 "addresses", addresses);
	text = json_dumps(body, JSON_COMPACT);
	gc_http_reply(ex->req, 200, "application/json", gc_str(text));
	free(text);
	json_decref(body);
	return GC_FILTER_TAKEN;
}

/*
 * Orders the daemons at random, but so that neighbours are in different
 * failure domains; a caller that goes down the list leaves a failed domain at
 * its second try.
 */
static size_t spread(gc_request_ctx_t *ex, entry_t *entries)
{
	const gc_random_t *random = gc_traffic_random(ex->traffic);
	size_t n = ex->view->n_daemons;

	for (size_t i = 0; i < n; i++) {
		entries[i].daemon = &ex->view->daemons[i];
		entries[i].rank = random->next(random->ctx);
	}
	qsort(entries, n, sizeof(*entries), by_domain);
	for (size_t i = 0; i < n; i++) {
		bool same = i > 0 &&
			    gc_str_eq(entries[i].daemon->failure_domain,
				      entries[i - 1].daemon->failure_domain);

		entries[i].turn = same ? entries[i - 1].turn + 1 : 0;
		entries[i].domain_rank = same ? entries[i - 1].domain_rank
					      : random->next(random->ctx);
	}
	qsort(entries, n, sizeof(*entries), by_turn);
	return n;
}

static int by_domain(const void *a, const void *b)
{
	const entry_t *x = a;
	const entry_t *y = b;
	gc_str_t dx = x->daemon->failure_domain;
	gc_str_t dy = y->daemon->failure_domain;
	int order = memcmp(dx.data, dy.data, MIN(dx.len, dy.len));

	if (order != 0)
		return order;
	if (dx.len != dy.len)
		return dx.len < dy.len ? -1 : 1;
	return (x->rank > y->rank) - (x->rank < y->rank);
}

static int by_turn(const void *a, const void *b)
{
	const entry_t *x = a;
	const entry_t *y = b;

	if (x->turn != y->turn)
		return x->turn < y->turn ? -1 : 1;
	return (x->domain_rank > y->domain_rank) -
	       (x->domain_rank < y->domain_rank);
}

static json_t *entry_json(const entry_t *entry)
{
	const gc_view_daemon_t *daemon = entry->daemon;

	return json_pack("{ss% ss% ss%}", "url", daemon->caller_url.data,
			 daemon->caller_url.len, "failure_domain",
			 daemon->failure_domain.data,
			 daemon->failure_domain.len, "instance",
			 daemon->name.data, daemon->name.len);
}

gc_filter_result_t gc_filter_in_effect(gc_request_ctx_t *ex, GError **err)
{
	struct timespec now = gc_clock_now(gc_traffic_clock(ex->traffic));
	gc_view_t *view = ex->view;
	GError *stopping = NULL;

	if (gc_traffic_stopping(ex->traffic) || (view && view->stopping)) {
		gc_error_set(&stopping, GC_ERR_UNAVAILABLE, "in_effect", NULL,
			     "this daemon is stopping");
		gc_refuse_elsewhere(ex->req, stopping, GC_RUN_NOT_RUN,
				    gc_retry_after_s(ex->traffic),
				    other_address(ex));
		g_error_free(stopping);
		return GC_FILTER_TAKEN;
	}
	if (view && view->config &&
	    gc_us_between(now, view->in_effect_until) >= 0)
		return GC_FILTER_NEXT;
	gc_error_set(err, GC_ERR_UNAVAILABLE, "in_effect", NULL,
		     "the configuration isn't confirmed at this daemon");
	return GC_FILTER_REFUSE;
}

/* URL of a random other daemon; NULL if none is known. */
static char *other_address(gc_request_ctx_t *ex)
{
	gc_str_t own = gc_str(gc_traffic_settings(ex->traffic)->instance);
	entry_t *entries;

	if (!ex->view || ex->view->n_daemons == 0)
		return NULL;
	entries = talloc_zero_array(ex, entry_t, ex->view->n_daemons);
	spread(ex, entries);
	for (size_t i = 0; i < ex->view->n_daemons; i++) {
		gc_str_t url = entries[i].daemon->caller_url;

		if (!gc_str_eq(entries[i].daemon->name, own))
			return talloc_strndup(ex, url.data, url.len);
	}
	return NULL;
}
