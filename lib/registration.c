/* Registration of this daemon in the store, renewed under a lease. */
#include <jansson.h>
#include <stdlib.h>

#include "core/error.h"
#include "lib/build.h"
#include "lib/capabilities.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/registration.h"
#include "lib/store_era.h"

#define RENEWALS_PER_LEASE 3
/* Delay of a retry after a failed call; doubles up to the maximum. The first
 * delay allows two retries within the rest of the lease; it grows because all
 * daemons retry at the same time while the store is unreachable. */
#define RETRY_DELAY_MS	   400
#define RETRY_MAX_DELAY_MS 3200

struct gc_registration {
	gc_registration_conf_t conf;
	gc_timer_t *timer;
	uint64_t lease; /* id; 0: none */
	uint64_t era; /* of the store: the newest one seen */
	uint64_t call_era; /* the same when the call in flight was made */
	bool entry_written;
	bool removing;
	bool call_in_flight;
	int64_t retry_delay_ms; /* after the next failure */
	char *key;
	gc_metric_t *store_calls;
};

static void on_timer(void *ctx);
static void on_lease_granted(void *ctx, uint64_t id, uint64_t era,
			     const GError *err);
static void write_entry(gc_registration_t *registration);
static void on_entry_written(void *ctx, uint64_t id, uint64_t era,
			     const GError *err);
static void on_renewed(void *ctx, uint64_t id, uint64_t era, const GError *err);
static void on_lease_ended(void *ctx, uint64_t id, uint64_t era,
			   const GError *err);
static void take_era(gc_registration_t *registration, uint64_t era);
static void repeat_call(gc_registration_t *registration, uint64_t era);
static void schedule_next_call(gc_registration_t *registration, bool succeeded);
static void call_now(gc_registration_t *registration);

gc_registration_t *gc_registration_create(TALLOC_CTX *mem,
					  const gc_registration_conf_t *conf)
{
	gc_registration_t *registration = talloc_zero(mem, gc_registration_t);

	registration->conf = *conf;
	registration->retry_delay_ms = RETRY_DELAY_MS;
	registration->key =
		talloc_asprintf(registration, "%s%.*s", conf->key_prefix,
				GC_STR_ARG(conf->self.id));
	registration->store_calls =
		gc_counter("goldcrest_store_calls_total", "Calls to the store.",
			   NULL, NULL);
	registration->timer = gc_timer_create(registration, conf->timers,
					      on_timer, registration);
	on_timer(registration);
	return registration;
}

static void on_timer(void *ctx)
{
	gc_registration_t *registration = ctx;
	const gc_store_ops_t *ops = registration->conf.store.ops;

	if (registration->removing)
		return;
	registration->call_in_flight = true;
	registration->call_era = registration->era;
	if (registration->lease != 0 && !registration->entry_written) {
		write_entry(registration);
		return;
	}
	gc_counter_add(registration->store_calls, 1);
	if (registration->lease == 0)
		ops->lease(registration->conf.store.store,
			   registration->conf.lease_ms, on_lease_granted,
			   registration);
	else
		ops->renew(registration->conf.store.store, registration->lease,
			   on_renewed, registration);
}

static void on_lease_granted(void *ctx, uint64_t id, uint64_t era,
			     const GError *err)
{
	gc_registration_t *registration = ctx;

	era = gc_store_era_plausible(registration->era, era);
	take_era(registration, era);
	if (era != 0 ? era != registration->era
		     : registration->call_era != registration->era) {
		repeat_call(registration, era);
		return;
	}
	if (err || id == 0) {
		schedule_next_call(registration, false);
		return;
	}
	registration->lease = id;
	registration->call_era = registration->era;
	if (registration->removing)
		gc_registration_remove(registration);
	else
		write_entry(registration);
}

static void write_entry(gc_registration_t *registration)
{
	const gc_registry_entry_t *self = &registration->conf.self;
	json_t *json =
		json_pack("{s:s#,s:s#,s:s#}", "address", self->address.data,
			  (int)self->address.len, "peer",
			  self->peer_address.data, (int)self->peer_address.len,
			  "failure_domain", self->failure_domain.data,
			  (int)self->failure_domain.len);
	char *text;

	json_object_set_new(json, "build", json_string(gc_build));
	if (self->forward_address.len > 0)
		json_object_set_new(json, "forward",
				    json_stringn(self->forward_address.data,
						 self->forward_address.len));
	json_object_set_new(json, GC_CAPABILITIES_MEMBER,
			    gc_capabilities_encode(self->capabilities));
	text = json_dumps(json, JSON_COMPACT);
	gc_counter_add(registration->store_calls, 1);
	registration->conf.store.ops->put(registration->conf.store.store,
					  gc_str(registration->key),
					  gc_str(text), registration->lease,
					  on_entry_written, registration);
	free(text);
	json_decref(json);
}

static void on_entry_written(void *ctx, uint64_t id, uint64_t era,
			     const GError *err)
{
	gc_registration_t *registration = ctx;

	era = gc_store_era_plausible(registration->era, era);
	take_era(registration, era);
	if (registration->call_era != registration->era ||
	    (era != 0 && era != registration->era)) {
		repeat_call(registration, era);
		return;
	}
	if (err && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND))
		registration->lease = 0;
	registration->entry_written = !err;
	schedule_next_call(registration, !err);
}

static void on_renewed(void *ctx, uint64_t id, uint64_t era, const GError *err)
{
	gc_registration_t *registration = ctx;

	era = gc_store_era_plausible(registration->era, era);
	take_era(registration, era);
	if (registration->call_era != registration->era ||
	    (era != 0 && era != registration->era)) {
		repeat_call(registration, era);
		return;
	}
	if (err && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND)) {
		registration->lease = 0;
		registration->entry_written = false;
	}
	schedule_next_call(registration, !err);
}

/* Reports the era of a response; the lease is gone if it is a new one. */
static void take_era(gc_registration_t *registration, uint64_t era)
{
	if (era == 0)
		return;
	gc_registration_set_era(registration, era);
	if (registration->conf.era_seen)
		registration->conf.era_seen(registration->conf.ctx, era);
}

/* The response belongs to an era that is over. */
static void repeat_call(gc_registration_t *registration, uint64_t era)
{
	if (era != 0 && era < registration->era)
		schedule_next_call(registration, false);
	else
		call_now(registration);
}

static void call_now(gc_registration_t *registration)
{
	registration->call_in_flight = false;
	if (!registration->removing)
		gc_timer_set(registration->timer, 0);
}

void gc_registration_set_era(gc_registration_t *registration, uint64_t era)
{
	if (gc_store_era_plausible(registration->era, era) <= registration->era)
		return;
	registration->era = era;
	registration->entry_written = false;
	/* A first call without a lease needs no repetition. */
	if (registration->lease == 0)
		return;
	registration->lease = 0;
	if (!registration->call_in_flight)
		call_now(registration);
}

bool gc_registration_is_written(const gc_registration_t *registration)
{
	return registration->entry_written;
}

void gc_registration_write_again(gc_registration_t *registration)
{
	if (!registration->entry_written)
		return;
	registration->entry_written = false;
	if (!registration->call_in_flight)
		call_now(registration);
}

static void schedule_next_call(gc_registration_t *registration, bool succeeded)
{
	registration->call_in_flight = false;
	if (registration->conf.store_answered)
		registration->conf.store_answered(registration->conf.ctx,
						  succeeded);
	if (registration->removing)
		return;
	gc_timer_set(registration->timer,
		     succeeded
			     ? registration->conf.lease_ms / RENEWALS_PER_LEASE
			     : registration->retry_delay_ms);
	registration->retry_delay_ms =
		succeeded ? RETRY_DELAY_MS
			  : MIN(registration->retry_delay_ms * 2,
				RETRY_MAX_DELAY_MS);
}

void gc_registration_retry_now(gc_registration_t *registration)
{
	if (registration->call_in_flight ||
	    registration->retry_delay_ms == RETRY_DELAY_MS)
		return;
	registration->retry_delay_ms = RETRY_DELAY_MS;
	gc_timer_set(registration->timer, 0);
}

void gc_registration_remove(gc_registration_t *registration)
{
	registration->removing = true;
	gc_timer_stop(registration->timer);
	if (registration->lease == 0)
		return;
	gc_counter_add(registration->store_calls, 1);
	registration->conf.store.ops->end_lease(registration->conf.store.store,
						registration->lease,
						on_lease_ended, registration);
	registration->lease = 0;
}

static void on_lease_ended(void *ctx, uint64_t id, uint64_t era,
			   const GError *err)
{
	if (err)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_LEAVE_FAILED,
			     "can't delete this daemon's entry from the store",
			     err);
}
