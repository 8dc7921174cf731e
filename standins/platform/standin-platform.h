/* Stand-in for the platform services: key-value, instance list, weights. */
#ifndef GC_STANDIN_PLATFORM_H
#define GC_STANDIN_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "core/str.h"
#include "standins/serve.h"

typedef struct kv kv_t;
typedef struct sessions sessions_t;
typedef struct list list_t;

/* Allows `rate` calls per second, in bursts of one second at most. */
typedef struct bucket {
	double rate; /* 0: no limit */
	double tokens;
	int64_t at_us;
} bucket_t;

typedef struct platform_stats {
	uint64_t reads;
	uint64_t writes; /* of keys and sessions */
	uint64_t watches;
	uint64_t list;
	uint64_t registrations;
	uint64_t weights;
	uint64_t refused; /* above a rate limit */
	uint64_t unavailable; /* in an outage */
	uint64_t lost; /* answers of writes that took effect */
} platform_stats_t;

typedef struct platform {
	standin_t *standin;
	kv_t *kv;
	sessions_t *sessions;
	list_t *list;
	bucket_t reads;
	bucket_t writes;
	bucket_t weights;
	platform_stats_t stats;
	int64_t outage_until_us;
	bool outage_cuts; /* connections instead of answering 503 */
	int64_t delay_us;
	int64_t delay_until_us;
	bool delay_answers; /* of writes, which take effect at once */
	int64_t lose_count;
} platform_t;

/* standin-platform.c */
/* Answers a write that took effect, unless a fault loses its answer. */
void platform_answer_effect(platform_t *platform, gc_http_req_t *req,
			    const char *text);
/* Answers a write, with or without effect, after the delay of a fault. */
void platform_answer_write(platform_t *platform, gc_http_req_t *req,
			   const char *text);
/* Reads "10s", "500ms", "5m" or "1h"; false if it is none of these. */
bool platform_duration_us(const char *text, int64_t *us);

/* kv.c */
kv_t *kv_create(TALLOC_CTX *mem, platform_t *platform);
/* True if the request waits for a change. */
bool kv_is_watch(gc_http_req_t *req);
void kv_get(kv_t *kv, gc_http_req_t *req, const char *key);
void kv_put(kv_t *kv, gc_http_req_t *req, const char *key);
void kv_delete(kv_t *kv, gc_http_req_t *req, const char *key);
/* Deletes or releases what a session holds, without a lock delay. */
void kv_session_ended(kv_t *kv, const char *session, bool delete_keys);
/* Answers all watches as an outage does. */
void kv_end_watches(kv_t *kv, bool cut);

/* session.c */
sessions_t *sessions_create(TALLOC_CTX *mem, platform_t *platform);
bool session_exists(const sessions_t *sessions, const char *id);
/* path is what follows "/v1/session/"; false if there is no such path. */
bool session_handle(sessions_t *sessions, gc_http_req_t *req, const char *path);

/* list.c */
list_t *list_create(TALLOC_CTX *mem, standin_t *standin, int64_t lag_ms);
void list_set_lag(list_t *list, int64_t lag_ms);
/* Whether blocking queries block; without it answers have no index. */
void list_set_blocking(list_t *list, bool blocks);
void list_end_watches(list_t *list);
/* Blocks while the service's index isn't above ?index=N, for ?wait=30s. */
void list_show(list_t *list, gc_http_req_t *req, const char *service);
void list_register(list_t *list, gc_http_req_t *req);
void list_deregister(list_t *list, gc_http_req_t *req, const char *id);

#endif
