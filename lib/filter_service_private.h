/* Private to filter_service.c and filter_action.c: one call of a service. */
#ifndef GC_LIB_FILTER_SERVICE_PRIVATE_H
#define GC_LIB_FILTER_SERVICE_PRIVATE_H

#include <jansson.h>

#include "lib/claims.h"
#include "lib/filter.h"

/* Backend servers tried for one GET, status read or unsent action. */
#define GC_SERVICE_TRIES	   3
#define GC_SERVICE_NOT_RUN_RETRY_S 1

/*
 * One call of a service. It has a talloc context of its own, because a
 * dispatched action goes on when its caller hangs up.
 */
typedef struct gc_service_call {
	gc_traffic_t *traffic;
	gc_traffic_job_t job;
	bool broken_off; /* the daemon's grace is over: no dispatch any more */
	gc_view_t *view; /* keeps account and service alive */
	const gc_account_t *account;
	const gc_service_t *service;
	gc_http_req_t *req; /* NULL once the caller hung up */
	struct request_watch *watch;
	struct timespec arrived;
	bool is_get;
	const char *method;
	const char *path; /* with the query, escaped */
	const char *key; /* canonical UUID */
	uint64_t key_ms; /* its time stamp */
	const char *key_header; /* as the caller sent it */
	const char *content_type;
	gc_str_t body;
	gc_claim_t claim;
	bool own_claim; /* granted to this call */
	uint64_t fence;
	gc_http_call_t *call; /* open */
	const gc_view_instance_t *server; /* of the last call */
	gc_str_t tried[GC_SERVICE_TRIES];
	size_t n_tried;
	bool any_sent; /* of a GET: a server may have got it */
	json_t *status_read; /* the last one, or NULL */
} gc_service_call_t;

/* filter_service.c */
/* The request to be answered; NULL if its caller hung up. */
gc_http_req_t *gc_service_call_take(gc_service_call_t *call);
/* False if no other server is left or enough were tried. */
bool gc_service_call_next_server(gc_service_call_t *call);
/* Of the chosen server; a talloc child of the call. */
char *gc_service_call_url(gc_service_call_t *call, const char *path);
/* Sends to the chosen server. */
gc_http_call_t *
gc_service_call_http(gc_service_call_t *call, const gc_http_call_conf_t *conf,
		     void (*done)(void *ctx, int status, gc_str_t body,
				  bool sent, const GError *err));
/* Gives the caller the backend server's answer. */
void gc_service_call_pass_on(gc_service_call_t *call, int status,
			     gc_str_t body);

/* filter_action.c */
/* False if the key is unfit; the caller has its answer then. */
bool gc_action_set_key(gc_service_call_t *call);
/* Claims the key and goes on from there; frees the call in the end. */
void gc_action_start(gc_service_call_t *call);
/* The claim stays, so that nobody dispatches again. Frees the call. */
void gc_action_in_doubt(gc_service_call_t *call);

#endif
