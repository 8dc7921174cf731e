/* Stand-in for platform services: key-value, instance list, weight store. */
#ifndef GC_STANDIN_PLATFORM_H
#define GC_STANDIN_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "core/str.h"
#include "standins/serve.h"

typedef struct kv kv_t;
typedef struct sessions sessions_t;
typedef struct instance_list instance_list_t;

/* Rate limit; allows bursts of one second's tokens, at least one token. */
typedef struct token_bucket {
	double rate; /* requests per second; 0: no limit */
	double tokens;
	int64_t refilled_us;
} token_bucket_t;

typedef struct platform_stats {
	uint64_t reads;
	uint64_t writes; /* of keys and sessions */
	uint64_t watches;
	uint64_t list_queries;
	uint64_t registrations;
	uint64_t weights;
	uint64_t refused; /* by a rate limit */
	uint64_t unavailable; /* in an outage */
	uint64_t lost; /* responses to applied writes, not sent */
} platform_stats_t;

typedef struct platform {
	standin_t *standin;
	kv_t *kv;
	sessions_t *sessions;
	instance_list_t *list;
	token_bucket_t reads;
	token_bucket_t writes;
	token_bucket_t weights;
	platform_stats_t stats;
	int64_t outage_until_us;
	bool outage_aborts; /* closes connections instead of sending 503 */
	int64_t delay_us;
	int64_t delay_until_us;
	bool delay_responses; /* delays responses to writes, not requests */
	int64_t lose_responses; /* remaining responses to lose */
} platform_t;

/* standin-platform.c */
/* Responds to an applied write, unless a fault loses the response. */
void platform_reply_applied(platform_t *platform, gc_http_req_t *req,
			    const char *text);
/* Responds to a write, whether applied or not, after the delay of a fault. */
void platform_reply_write(platform_t *platform, gc_http_req_t *req,
			  const char *text);
/* Parses a duration such as "500ms", "10s", "5m" or "1h"; false if invalid. */
bool platform_parse_duration(const char *text, int64_t *us);

/* kv.c */
kv_t *kv_create(TALLOC_CTX *mem, platform_t *platform);
/* True if the request is a blocking query. */
bool kv_is_watch(gc_http_req_t *req);
void kv_get(kv_t *kv, gc_http_req_t *req, const char *key);
void kv_put(kv_t *kv, gc_http_req_t *req, const char *key);
void kv_delete(kv_t *kv, gc_http_req_t *req, const char *key);
/* Deletes or releases the keys that a session holds, without a lock delay. */
void kv_end_session(kv_t *kv, const char *session, bool delete_keys);
/* Ends all watches with status 503 or by closing their connections. */
void kv_end_watches(kv_t *kv, bool abort_connections);

/* session.c */
sessions_t *sessions_create(TALLOC_CTX *mem, platform_t *platform);
bool session_exists(const sessions_t *sessions, const char *id);
/* path is the part after "/v1/session/"; returns false if it is unknown. */
bool session_handle(sessions_t *sessions, gc_http_req_t *req, const char *path);

/* instance_list.c */
instance_list_t *instance_list_create(TALLOC_CTX *mem, standin_t *standin,
				      int64_t lag_ms);
void instance_list_set_lag(instance_list_t *list, int64_t lag_ms);
/* Enables blocking queries; without them, responses have no index. */
void instance_list_set_blocking(instance_list_t *list, bool blocking);
/* Responds to all watches at once, as if their wait time had passed. */
void instance_list_end_watches(instance_list_t *list);
/*
 * Responds with the instances of the service; with ?index=N, once the index of
 * the service is greater than N or the time of ?wait=30s has passed.
 */
void instance_list_query(instance_list_t *list, gc_http_req_t *req,
			 const char *service);
void instance_list_register(instance_list_t *list, gc_http_req_t *req);
void instance_list_deregister(instance_list_t *list, gc_http_req_t *req,
			      const char *id);

#endif
