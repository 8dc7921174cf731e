/*
 * At which software version a stream begins and goes on. What two versions write
 * doesn't fit together, and servers don't check it. A caller may resume at any
 * daemon, so a stream that doesn't begin at the base version of its service is put
 * on record before its first event is forwarded, by the daemon that has the caller.
 */
#include "lib/log.h"
#include "lib/log_events.h"
#include "lib/relay_private.h"
#include "lib/request_hash.h"

/* Least Retry-After if the store can't tell a version. */
#define UNKNOWN_RETRY_AFTER_MS 900

static bool is_resumable(const gc_exchange_t *exchange);
static const gc_base_version_t *base_version(const gc_exchange_t *exchange);
static bool is_view_recent(const gc_exchange_t *exchange);
static bool is_only_version(const gc_exchange_t *exchange);
static bool find_single_version(const gc_exchange_t *exchange,
				gc_str_t *version);
static bool go_on_at(gc_exchange_t *exchange, gc_str_t version,
		     const char *source);
static void refuse_unknown(gc_exchange_t *exchange);
static gc_exchange_t *find_exchange(const gc_relay_t *relay, uint64_t token);
static bool is_base(const gc_exchange_t *exchange, gc_str_t version);
static bool may_have_other_record(const gc_exchange_t *exchange);
static gc_record_need_t record_need(const gc_exchange_t *exchange);
static void record_running(gc_relay_t *relay);
static void record(gc_exchange_t *exchange, bool hold);

void gc_relay_update_versions(gc_relay_t *relay)
{
	const gc_fleet_view_t *view = relay->view;
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_str_t proposed;

	/* The control thread makes the changes. */
	for (size_t i = 0; i < view->n_base_versions; i++) {
		const gc_base_version_t *base = &view->base_versions[i];

		if (base->number > 0)
			gc_base_versions_propose(relay->base_versions, now,
						 base->service, view->servers,
						 view->n_servers, base,
						 &proposed);
	}
	record_running(relay);
}

void gc_relay_set_store_answers(gc_relay_t *relay, bool answers)
{
	relay->store_answers = answers;
}

void gc_relay_note_confirmation(gc_relay_t *relay)
{
	struct timespec now = gc_clock_now(relay->conf.clock);

	if (!gc_is_confirmed_within(relay->conf.confirmed, now, GC_LIST_GAP_MS))
		gc_base_versions_note_gap(relay->base_versions, now);
}

void gc_relay_set_restored(gc_relay_t *relay)
{
	relay->store_restored = true;
	relay->restored_at = gc_clock_now(relay->conf.clock);
	record_running(relay);
	gc_crash_suspects_store_restored(relay->crash_suspects);
	gc_relay_keep_soon(relay);
}

/* Only streams that callers may resume need a record. */
static bool is_resumable(const gc_exchange_t *exchange)
{
	return exchange->sequencer && exchange->route->resumable;
}

static const gc_base_version_t *base_version(const gc_exchange_t *exchange)
{
	return gc_fleet_view_base_version(exchange->relay->view,
					  exchange->service);
}

bool gc_exchange_find_version(gc_exchange_t *exchange)
{
	gc_relay_t *relay = exchange->relay;
	gc_str_t id = gc_http_message_find_header(
		exchange->request, relay->conf.adapter->headers.resumes);
	char key[GC_STREAM_KEY_BYTES];
	gc_str_t version;

	/* The daemon that passed the stream on has decided. */
	if (exchange->received && exchange->version.data)
		return go_on_at(exchange, exchange->version, "daemon");
	if (!is_resumable(exchange) ||
	    gc_event_sequencer_last_id(exchange->sequencer) == GC_EVENT_ID_NONE)
		return true;
	if (!id.data || id.len == 0) {
		if (is_only_version(exchange))
			return go_on_at(exchange,
					base_version(exchange)->version,
					"only");
		if (is_view_recent(exchange) &&
		    find_single_version(exchange, &version))
			return go_on_at(exchange, version, "unnamed");
		refuse_unknown(exchange);
		return false;
	}
	exchange->version_token = ++relay->last_version_token;
	gc_stream_key(exchange->service, exchange->account, id, key);
	relay->conf.find_version(relay->conf.share_ctx, exchange->version_token,
				 key);
	return false;
}

static bool is_view_recent(const gc_exchange_t *exchange)
{
	const gc_relay_t *relay = exchange->relay;

	return gc_is_confirmed_within(relay->conf.confirmed,
				      gc_clock_now(relay->conf.clock),
				      GC_RECENT_LIST_MS);
}

/* True if no stream can have begun at another version, as far as is known. */
static bool is_only_version(const gc_exchange_t *exchange)
{
	const gc_relay_t *relay = exchange->relay;

	return base_version(exchange) && is_view_recent(exchange) &&
	       gc_base_versions_is_only(relay->base_versions,
					gc_clock_now(relay->conf.clock),
					exchange->service);
}

/* Nothing more can be known for a caller that names no stream. */
static bool find_single_version(const gc_exchange_t *exchange,
				gc_str_t *version)
{
	const gc_fleet_view_t *view = exchange->relay->view;
	bool found = false;

	for (size_t i = 0; i < view->n_servers; i++) {
		const gc_registry_entry_t *server = &view->servers[i];

		if (!gc_str_eq(server->service, exchange->service))
			continue;
		if (found && !gc_str_eq(server->version, *version))
			return false;
		*version = server->version;
		found = true;
	}
	return found;
}

/* Refuses a stream whose version has gone for good. */
static bool go_on_at(gc_exchange_t *exchange, gc_str_t version,
		     const char *source)
{
	static const gc_refusal_t gone = {
		.status = 503,
		.code = "version_gone",
		.message = "no backend server has the software version of the "
			   "stream",
		.not_run = true,
	};
	gc_str_t resumes = gc_http_message_find_header(
		exchange->request,
		exchange->relay->conf.adapter->headers.resumes);
	g_autofree char *resumes_text =
		g_strndup(resumes.data ? resumes.data : "", resumes.len);

	exchange->version = gc_str_dup(exchange, version);
	gc_log(GC_LOG_INFO, GC_EVENT_STREAM_VERSION,
	       "stream resumed at its version", "request", exchange->id.data,
	       "resumes", resumes_text, "version", exchange->version.data,
	       "source", source, NULL);
	if (!gc_exchange_is_barred(exchange, exchange->version) &&
	    gc_backends_has_version(exchange->relay->backends,
				    exchange->service, exchange->version))
		return true;
	exchange->limit_reached = "version";
	gc_exchange_refuse(exchange, &gone);
	return false;
}

static void refuse_unknown(gc_exchange_t *exchange)
{
	static const gc_refusal_t unknown = {
		.status = 503,
		.code = "version_unknown",
		.message = "the software version of the stream isn't known",
		.retry_after_ms = UNKNOWN_RETRY_AFTER_MS,
		.not_run = true,
	};

	exchange->limit_reached = "version";
	gc_exchange_refuse(exchange, &unknown);
}

void gc_relay_set_found_version(gc_relay_t *relay, uint64_t token,
				gc_version_result_t result, gc_str_t version)
{
	gc_exchange_t *exchange = find_exchange(relay, token);
	const gc_base_version_t *base;
	const char *source = "record";
	bool only;

	if (!exchange)
		return;
	exchange->version_token = 0;
	if (!exchange->caller) {
		talloc_free(exchange);
		return;
	}
	base = base_version(exchange);
	only = is_only_version(exchange);
	if (base && gc_stream_began_at_base(result, only)) {
		version = base->version;
		source = result == GC_VERSION_NOT_RECORDED ? "base" : "only";
	} else if (result != GC_VERSION_RECORDED) {
		refuse_unknown(exchange);
		return;
	}
	if (go_on_at(exchange, version, source))
		gc_exchange_start_next_attempt(exchange);
}

static gc_exchange_t *find_exchange(const gc_relay_t *relay, uint64_t token)
{
	gc_exchange_t *exchange = relay->exchanges;

	while (exchange && exchange->version_token != token)
		exchange = exchange->next;
	return exchange;
}

/*
 * While records can't be written, streams begin at the base version if a server
 * of it is left.
 */
gc_backend_set_t gc_exchange_avoid(const gc_exchange_t *exchange)
{
	const gc_relay_t *relay = exchange->relay;
	const gc_base_version_t *base = base_version(exchange);
	gc_backend_set_t avoid = {
		.list = exchange->tried,
		.n = exchange->n_tried,
		.only_version = exchange->version,
	};

	if (!avoid.only_version.data && is_resumable(exchange) &&
	    !relay->store_answers && base &&
	    !gc_exchange_is_barred(exchange, base->version) &&
	    !gc_exchange_is_judged(exchange, base->version) &&
	    gc_backends_has_version(relay->backends, exchange->service,
				    base->version))
		avoid.only_version = base->version;
	gc_exchange_limit_versions(exchange, &avoid);
	return avoid;
}

/*
 * Once a record is under way, the stream stays at its version: the write may take
 * effect although the store gives no answer. A stream that another daemon records
 * may still change it, as that one learns of the version with the first event.
 */
void gc_exchange_fix_version(gc_exchange_t *exchange,
			     const gc_backend_t *server)
{
	gc_str_t version = gc_backend_version(server);

	if (!is_resumable(exchange) || exchange->recorded_by_peer ||
	    exchange->version.data || is_base(exchange, version))
		return;
	exchange->version = gc_str_dup(exchange, version);
	record(exchange, true);
}

void gc_exchange_begin_at(gc_exchange_t *exchange, gc_str_t version)
{
	gc_record_need_t need;

	if (exchange->version.data || !version.data)
		return;
	exchange->version = gc_str_dup(exchange, version);
	need = record_need(exchange);
	if (need != GC_RECORD_NONE)
		record(exchange, need == GC_RECORD_FIRST);
}

static gc_record_need_t record_need(const gc_exchange_t *exchange)
{
	const gc_relay_t *relay = exchange->relay;
	struct timespec now = gc_clock_now(relay->conf.clock);
	gc_stream_facts_t facts = {
		.base = is_base(exchange, exchange->version),
		.mixed = gc_base_versions_is_mixed(relay->base_versions, now,
						   exchange->service),
		.may_lack = relay->store_restored &&
			    gc_ms_between(relay->restored_at, now) <
				    GC_STREAM_LIFE_MS,
		.other_record = may_have_other_record(exchange),
	};

	return !is_resumable(exchange) || exchange->resumed ||
			       exchange->recorded || exchange->recorded_by_peer
		       ? GC_RECORD_NONE
		       : gc_stream_record_need(&facts);
}

/* Streams that began before there was another version, or before a restore. */
static void record_running(gc_relay_t *relay)
{
	for (gc_exchange_t *exchange = relay->exchanges; exchange;
	     exchange = exchange->next)
		if (exchange->version.data &&
		    (exchange->head_sent || exchange->held_events) &&
		    record_need(exchange) != GC_RECORD_NONE)
			record(exchange, false);
}

static bool is_base(const gc_exchange_t *exchange, gc_str_t version)
{
	const gc_base_version_t *base = base_version(exchange);

	return base && gc_str_eq(base->version, version);
}

/* Builds before the header HOP_RECORDS_HEADER record streams of other daemons, too,
 * which may have ended before their first event. */
static bool may_have_other_record(const gc_exchange_t *exchange)
{
	return exchange->hopped_before || exchange->received;
}

/* hold: its events wait until the record is written, unless the store is away. */
static void record(gc_exchange_t *exchange, bool hold)
{
	gc_relay_t *relay = exchange->relay;
	uint64_t token = 0;
	char key[GC_STREAM_KEY_BYTES];

	exchange->recorded = true;
	gc_stream_key(exchange->service, exchange->account, exchange->id, key);
	if (hold && relay->store_answers) {
		token = ++relay->last_version_token;
		exchange->version_token = token;
	}
	relay->conf.record_version(relay->conf.share_ctx, token, key,
				   exchange->version);
}

bool gc_exchange_is_held(const gc_exchange_t *exchange)
{
	return exchange->version_token != 0;
}

void gc_relay_set_recorded(gc_relay_t *relay, uint64_t token, bool ok)
{
	gc_exchange_t *exchange =
		token != 0 ? find_exchange(relay, token) : NULL;

	if (!exchange)
		return;
	if (!ok) {
		gc_exchange_abandon_unrecorded(exchange);
		return;
	}
	exchange->version_token = 0;
	gc_exchange_release_events(exchange);
}
