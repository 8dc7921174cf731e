/* The daemon's own entry in the store. */
#include <jansson.h>
#include <stdlib.h>

#include "core/error.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/registration.h"

/* A renewal is sent this many times within the lease. */
#define RENEWALS 3
/* Pause after a failed call; doubles up to the longest. Two calls fit into
 * the rest of the lease, and all daemons call at once while the store is away. */
#define RETRY_MS     400
#define RETRY_MAX_MS 3200

struct gc_registration {
	gc_registration_conf_t conf;
	gc_timer_t *renewal;
	uint64_t lease; /* 0: none */
	bool entry_written;
	bool leaving;
	bool calling; /* a call is in progress */
	int64_t retry_ms; /* pause after the next failure */
	char *own_key;
	gc_metric_t *calls;
};

static void on_renewal(void *ctx);
static void on_lease(void *ctx, uint64_t id, const GError *err);
static void write_entry(gc_registration_t *presence);
static void on_written(void *ctx, uint64_t id, const GError *err);
static void on_renewed(void *ctx, uint64_t id, const GError *err);
static void on_left(void *ctx, uint64_t id, const GError *err);
static void renew_later(gc_registration_t *presence, bool ok);

gc_registration_t *gc_registration_create(TALLOC_CTX *mem,
					  const gc_registration_conf_t *conf)
{
	gc_registration_t *presence = talloc_zero(mem, gc_registration_t);

	presence->conf = *conf;
	presence->retry_ms = RETRY_MS;
	presence->own_key =
		talloc_asprintf(presence, "%s%.*s", conf->key_prefix,
				GC_STR_ARG(conf->self.id));
	presence->calls = gc_counter("goldcrest_store_calls_total",
				     "Calls to the store.", NULL, NULL);
	presence->renewal =
		gc_timer_create(presence, conf->timers, on_renewal, presence);
	on_renewal(presence);
	return presence;
}

static void on_renewal(void *ctx)
{
	gc_registration_t *presence = ctx;
	const gc_store_ops_t *ops = presence->conf.store.ops;

	if (presence->leaving)
		return;
	presence->calling = true;
	gc_counter_add(presence->calls, 1);
	if (presence->lease == 0)
		ops->lease(presence->conf.store.store, presence->conf.lease_ms,
			   on_lease, presence);
	else if (!presence->entry_written)
		write_entry(presence);
	else
		ops->renew(presence->conf.store.store, presence->lease,
			   on_renewed, presence);
}

static void on_lease(void *ctx, uint64_t id, const GError *err)
{
	gc_registration_t *presence = ctx;

	if (err || id == 0) {
		renew_later(presence, false);
		return;
	}
	presence->lease = id;
	if (presence->leaving)
		gc_registration_leave(presence);
	else
		write_entry(presence);
}

static void write_entry(gc_registration_t *presence)
{
	const gc_registry_entry_t *self = &presence->conf.self;
	json_t *json =
		json_pack("{s:s#,s:s#,s:s#}", "address", self->address.data,
			  (int)self->address.len, "peer",
			  self->peer_address.data, (int)self->peer_address.len,
			  "failure_domain", self->failure_domain.data,
			  (int)self->failure_domain.len);
	char *text = json_dumps(json, JSON_COMPACT);

	presence->conf.store.ops->put(presence->conf.store.store,
				      gc_str(presence->own_key), gc_str(text),
				      presence->lease, on_written, presence);
	free(text);
	json_decref(json);
}

static void on_written(void *ctx, uint64_t id, const GError *err)
{
	gc_registration_t *presence = ctx;

	if (err && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND))
		presence->lease = 0;
	presence->entry_written = !err;
	renew_later(presence, !err);
}

static void on_renewed(void *ctx, uint64_t id, const GError *err)
{
	gc_registration_t *presence = ctx;

	if (err && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND)) {
		presence->lease = 0;
		presence->entry_written = false;
	}
	renew_later(presence, !err);
}

static void renew_later(gc_registration_t *presence, bool ok)
{
	presence->calling = false;
	if (presence->leaving)
		return;
	gc_timer_set(presence->renewal, ok ? presence->conf.lease_ms / RENEWALS
					   : presence->retry_ms);
	presence->retry_ms =
		ok ? RETRY_MS : MIN(presence->retry_ms * 2, RETRY_MAX_MS);
}

void gc_registration_store_found(gc_registration_t *presence)
{
	if (presence->calling || presence->retry_ms == RETRY_MS)
		return;
	presence->retry_ms = RETRY_MS;
	gc_timer_set(presence->renewal, 0);
}

void gc_registration_leave(gc_registration_t *presence)
{
	presence->leaving = true;
	gc_timer_stop(presence->renewal);
	if (presence->lease == 0)
		return;
	gc_counter_add(presence->calls, 1);
	presence->conf.store.ops->end_lease(presence->conf.store.store,
					    presence->lease, on_left, presence);
	presence->lease = 0;
}

static void on_left(void *ctx, uint64_t id, const GError *err)
{
	if (err)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_LEAVE_FAILED,
			     "the own entry could not be taken away", err);
}
