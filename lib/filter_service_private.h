/*
 * State of one service call, shared by filter_service.c (all calls, GET) and
 * filter_action.c (actions, i.e. calls with any other method).
 */
#ifndef GC_LIB_FILTER_SERVICE_PRIVATE_H
#define GC_LIB_FILTER_SERVICE_PRIVATE_H

#include <jansson.h>

#include "lib/claims.h"
#include "lib/filter.h"

/*
 * Maximum number of backend servers tried for a GET, for a status request or
 * for an action that could not be sent.
 */
#define GC_SERVICE_MAX_ATTEMPTS 3
/* Retry-After of failed GETs and of actions that were not run, in seconds. */
#define GC_SERVICE_RETRY_AFTER_S 1

/*
 * One call of a service. It isn't a talloc child of the request, because a
 * dispatched action continues after its caller has disconnected.
 */
typedef struct gc_service_call {
	gc_traffic_t *traffic;
	gc_traffic_job_t job;
	bool aborted; /* the grace period has expired: don't dispatch */
	gc_view_t *view; /* holds the account and the service */
	const gc_account_t *account;
	const gc_service_t *service;
	gc_http_req_t *req; /* NULL once answered or the caller disconnected */
	struct request_watch *watch;
	struct timespec arrived;
	bool is_get;
	const char *method;
	const char *path; /* path and query on the backend server, escaped */
	const char *key; /* idempotency key, canonical UUID */
	uint64_t key_time_ms; /* the key's time stamp, Unix time */
	const char *key_header; /* Idempotency-Key as the caller sent it */
	const char *content_type;
	gc_str_t body;
	gc_claim_t claim;
	bool claim_granted; /* to this call */
	uint64_t fencing_token;
	gc_http_call_t *http_call; /* in flight, or NULL */
	const gc_view_instance_t *server; /* the last one chosen */
	gc_str_t tried[GC_SERVICE_MAX_ATTEMPTS]; /* names of servers */
	size_t n_tried;
	bool any_sent; /* GET: a backend server may have received it */
	json_t *last_status; /* last status response, or NULL */
} gc_service_call_t;

/* filter_service.c */
/*
 * Detaches the HTTP request from the call and returns it; it must then be
 * answered. Returns NULL if the caller has disconnected.
 */
gc_http_req_t *gc_service_call_detach_request(gc_service_call_t *call);
/*
 * Chooses a backend server that wasn't tried yet. False if none is left or
 * GC_SERVICE_MAX_ATTEMPTS were tried.
 */
bool gc_service_call_choose_server(gc_service_call_t *call);
/* Returns the URL of path at the chosen server, a talloc child of the call. */
char *gc_service_call_url(gc_service_call_t *call, const char *path);
/* Starts an HTTP call to the chosen server. */
gc_http_call_t *
gc_service_call_send(gc_service_call_t *call, const gc_http_call_conf_t *conf,
		     void (*done)(void *ctx, int status, gc_str_t body,
				  bool sent, const GError *err));
/* Forwards the backend server's response to the caller. */
void gc_service_call_forward_response(gc_service_call_t *call, int status,
				      gc_str_t body);

/* filter_action.c */
/*
 * Reads the idempotency key. If it is missing, invalid or expired, refuses the
 * request and returns false.
 */
bool gc_action_read_key(gc_service_call_t *call);
/*
 * Claims the key, then dispatches the action. The call is freed once the
 * outcome is known or the action is in doubt.
 */
void gc_action_start(gc_service_call_t *call);
/*
 * Answers that the action is in doubt. Keeps the claim, so that no repeat of
 * the key is dispatched. Frees the call.
 */
void gc_action_reply_in_doubt(gc_service_call_t *call);

#endif
