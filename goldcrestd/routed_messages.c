/* Messages from the traffic thread to the main thread in routed mode. Each has a
 * function called in the traffic thread, which posts a copy, and a handler. */
#include "lib/request_hash.h"
#include "routed_private.h"

/* A stream whose version is to be recorded or found. */
typedef struct version_message {
	uint64_t token;
	char key[GC_STREAM_KEY_BYTES];
	char *version;
	size_t version_len;
} version_message_t;

/* What was counted of a roll-out. */
typedef struct rollout_message {
	char *service;
	size_t service_len;
	gc_rollout_report_t report;
	gc_rollout_counts_t *counts;
} rollout_message_t;

/* A lost server that other daemons are asked about. */
typedef struct witness_message {
	uint64_t token;
	uint64_t server;
} witness_message_t;

static void share_crash(void *ctx, const gc_crash_report_t *reports, size_t n);
static void handle_share_crash(void *ctx, void *message);
static void share_served(void *ctx, uint64_t trait);
static void share_kept(void *ctx, const gc_crash_evidence_t *evidence);
static void handle_share_kept(void *ctx, void *message);
static void handle_share_served(void *ctx, void *message);
static void ask_witness(void *ctx, uint64_t token, uint64_t server);
static void handle_ask_witness(void *ctx, void *message);
static void set_serving(void *ctx, bool serving);
static void handle_set_serving(void *ctx, void *message);
static void ask_permits(void *ctx, const gc_permit_ask_t *ask);
static void handle_ask_permits(void *ctx, void *message);
static void ask_places(void *ctx, const gc_place_ask_t *ask);
static void handle_ask_places(void *ctx, void *message);
static void record_version(void *ctx, uint64_t token, const char *key,
			   gc_str_t version);
static void handle_record_version(void *ctx, void *message);
static void find_version(void *ctx, uint64_t token, const char *key);
static void handle_find_version(void *ctx, void *message);
static void report_rollout(void *ctx, gc_str_t service,
			   const gc_rollout_report_t *report);
static void handle_report_rollout(void *ctx, void *message);

void routed_set_messages(gc_routed_traffic_conf_t *conf,
			 routed_daemon_t *daemon)
{
	conf->share_crash = share_crash;
	conf->share_served = share_served;
	conf->share_kept = share_kept;
	conf->set_serving = set_serving;
	conf->ask_permits = ask_permits;
	conf->ask_witness = ask_witness;
	conf->ask_places = ask_places;
	conf->record_version = record_version;
	conf->find_version = find_version;
	conf->report_rollout = report_rollout;
	conf->share_ctx = daemon;
}

/* Called in the traffic thread. */
static void share_crash(void *ctx, const gc_crash_report_t *reports, size_t n)
{
	routed_daemon_t *daemon = ctx;
	GArray *message = g_array_new(FALSE, FALSE, sizeof(gc_crash_report_t));

	g_array_append_vals(message, reports, (guint)n);
	gc_mailbox_post(daemon->mailbox, handle_share_crash, message);
}

static void handle_share_crash(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	GArray *reports = message;

	gc_crash_notices_share_reports(daemon->notices,
				       (const gc_crash_report_t *)reports->data,
				       reports->len);
	g_array_unref(reports);
}

/* Called in the traffic thread. */
static void share_served(void *ctx, uint64_t trait)
{
	routed_daemon_t *daemon = ctx;
	uint64_t *message = g_new(uint64_t, 1);

	*message = trait;
	gc_mailbox_post(daemon->mailbox, handle_share_served, message);
}

static void handle_share_served(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	uint64_t *trait = message;

	gc_crash_notices_share_served(daemon->notices, *trait);
	g_free(trait);
}

/* Called in the traffic thread. */
static void share_kept(void *ctx, const gc_crash_evidence_t *evidence)
{
	routed_daemon_t *daemon = ctx;
	gc_crash_evidence_t *message = g_new(gc_crash_evidence_t, 1);

	*message = *evidence;
	gc_mailbox_post(daemon->mailbox, handle_share_kept, message);
}

static void handle_share_kept(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;

	gc_crash_notices_share_kept(daemon->notices, message);
	g_free(message);
}

/* Called in the traffic thread. */
static void ask_witness(void *ctx, uint64_t token, uint64_t server)
{
	routed_daemon_t *daemon = ctx;
	witness_message_t *message = g_new(witness_message_t, 1);

	*message = (witness_message_t){token, server};
	gc_mailbox_post(daemon->mailbox, handle_ask_witness, message);
}

static void handle_ask_witness(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	witness_message_t *question = message;

	gc_crash_witness_ask(daemon->witness, question->token,
			     question->server);
	g_free(question);
}

/* Called in the traffic thread. */
static void set_serving(void *ctx, bool serving)
{
	routed_daemon_t *daemon = ctx;
	bool *message = g_new(bool, 1);

	*message = serving;
	gc_mailbox_post(daemon->mailbox, handle_set_serving, message);
}

static void handle_set_serving(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	bool *serving = message;

	if (daemon->control_listener)
		gc_control_listener_set_serving(daemon->control_listener,
						*serving);
	g_free(serving);
}

/* Called in the traffic thread. */
static void ask_permits(void *ctx, const gc_permit_ask_t *ask)
{
	routed_daemon_t *daemon = ctx;
	gc_permit_ask_t *message = g_new(gc_permit_ask_t, 1);

	*message = *ask;
	gc_mailbox_post(daemon->mailbox, handle_ask_permits, message);
}

static void handle_ask_permits(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;

	gc_permits_peer_ask(daemon->permits, message);
	g_free(message);
}

/* Called in the traffic thread. */
static void ask_places(void *ctx, const gc_place_ask_t *ask)
{
	routed_daemon_t *daemon = ctx;
	gc_place_ask_t *message = g_new(gc_place_ask_t, 1);

	*message = *ask;
	gc_mailbox_post(daemon->mailbox, handle_ask_places, message);
}

static void handle_ask_places(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;

	gc_places_peer_ask(daemon->places, message);
	g_free(message);
}

/* Called in the traffic thread. */
static void record_version(void *ctx, uint64_t token, const char *key,
			   gc_str_t version)
{
	routed_daemon_t *daemon = ctx;
	version_message_t *message = g_new0(version_message_t, 1);

	message->token = token;
	g_strlcpy(message->key, key, sizeof(message->key));
	message->version = g_strndup(version.data, version.len);
	message->version_len = version.len;
	gc_mailbox_post(daemon->mailbox, handle_record_version, message);
}

static void handle_record_version(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	version_message_t *record = message;

	gc_stream_versions_record(
		daemon->stream_versions, record->token, record->key,
		(gc_str_t){record->version, record->version_len});
	g_free(record->version);
	g_free(record);
}

/* Called in the traffic thread. */
static void find_version(void *ctx, uint64_t token, const char *key)
{
	routed_daemon_t *daemon = ctx;
	version_message_t *message = g_new0(version_message_t, 1);

	message->token = token;
	g_strlcpy(message->key, key, sizeof(message->key));
	gc_mailbox_post(daemon->mailbox, handle_find_version, message);
}

static void handle_find_version(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	version_message_t *query = message;

	gc_stream_versions_find(daemon->stream_versions, query->token,
				query->key);
	g_free(query);
}

/* Called in the traffic thread. */
static void report_rollout(void *ctx, gc_str_t service,
			   const gc_rollout_report_t *report)
{
	routed_daemon_t *daemon = ctx;
	rollout_message_t *message = g_new0(rollout_message_t, 1);

	message->service = g_strndup(service.data, service.len);
	message->service_len = service.len;
	message->report = *report;
	message->counts = g_memdup2(report->counts,
				    report->n_counts * sizeof(*report->counts));
	message->report.counts = message->counts;
	gc_mailbox_post(daemon->mailbox, handle_report_rollout, message);
}

static void handle_report_rollout(void *ctx, void *message)
{
	routed_daemon_t *daemon = ctx;
	rollout_message_t *rollout = message;

	if (daemon->rollouts)
		gc_rollouts_report(daemon->rollouts,
				   (gc_str_t){rollout->service,
					      rollout->service_len},
				   &rollout->report);
	g_free(rollout->service);
	g_free(rollout->counts);
	g_free(rollout);
}
