/* Registration of this daemon in the store, renewed under a lease. */
#include <jansson.h>
#include <stdlib.h>

#include "core/error.h"
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/metrics.h"
#include "lib/registration.h"

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
	bool entry_written;
	bool removing;
	bool call_in_flight;
	int64_t retry_delay_ms; /* after the next failure */
	char *key;
	gc_metric_t *store_calls;
};

static void on_timer(void *ctx);
static void on_lease_granted(void *ctx, uint64_t id, const GError *err);
static void write_entry(gc_registration_t *registration);
static void on_entry_written(void *ctx, uint64_t id, const GError *err);
static void on_renewed(void *ctx, uint64_t id, const GError *err);
static void on_lease_ended(void *ctx, uint64_t id, const GError *err);
static void schedule_next_call(gc_registration_t *registration, bool succeeded);

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

static void on_lease_granted(void *ctx, uint64_t id, const GError *err)
{
	gc_registration_t *registration = ctx;

	if (err || id == 0) {
		schedule_next_call(registration, false);
		return;
	}
	registration->lease = id;
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
	char *text = json_dumps(json, JSON_COMPACT);

	gc_counter_add(registration->store_calls, 1);
	registration->conf.store.ops->put(registration->conf.store.store,
					  gc_str(registration->key),
					  gc_str(text), registration->lease,
					  on_entry_written, registration);
	free(text);
	json_decref(json);
}

static void on_entry_written(void *ctx, uint64_t id, const GError *err)
{
	gc_registration_t *registration = ctx;

	if (err && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND))
		registration->lease = 0;
	registration->entry_written = !err;
	schedule_next_call(registration, !err);
}

static void on_renewed(void *ctx, uint64_t id, const GError *err)
{
	gc_registration_t *registration = ctx;

	if (err && g_error_matches(err, GC_ERROR, GC_ERR_NOT_FOUND)) {
		registration->lease = 0;
		registration->entry_written = false;
	}
	schedule_next_call(registration, !err);
}

static void schedule_next_call(gc_registration_t *registration, bool succeeded)
{
	registration->call_in_flight = false;
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

static void on_lease_ended(void *ctx, uint64_t id, const GError *err)
{
	if (err)
		gc_log_error(GC_LOG_WARNING, GC_EVENT_LEAVE_FAILED,
			     "can't delete this daemon's entry from the store",
			     err);
}
