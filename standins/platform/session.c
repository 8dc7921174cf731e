/* Sessions: leases with a time to live. */
#include <string.h>

#include "standin-platform.h"

typedef struct session {
	sessions_t *sessions;
	char *id;
	char *ttl; /* as received; "": none */
	int64_t ttl_us; /* 0: does not expire */
	bool delete_keys; /* its end deletes its keys; false: releases */
	struct tevent_timer *expiry_timer;
} session_t;

struct sessions {
	platform_t *platform;
	GHashTable *by_id; /* id -> session_t */
};

static void handle_create(sessions_t *sessions, gc_http_req_t *req);
static void create_session(sessions_t *sessions, gc_http_req_t *req,
			   const json_t *body);
static void handle_renew(sessions_t *sessions, gc_http_req_t *req,
			 const char *id);
static void handle_destroy(sessions_t *sessions, gc_http_req_t *req,
			   const char *id);
static void restart_expiry_timer(session_t *session);
static void on_expiry(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *ctx);
static void end_session(session_t *session);

sessions_t *sessions_create(TALLOC_CTX *mem, platform_t *platform)
{
	sessions_t *sessions = talloc_zero(mem, sessions_t);

	sessions->platform = platform;
	sessions->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return sessions;
}

bool session_exists(const sessions_t *sessions, const char *id)
{
	return g_hash_table_contains(sessions->by_id, id);
}

bool session_handle(sessions_t *sessions, gc_http_req_t *req, const char *path)
{
	if (strcmp(gc_http_req_method(req), "PUT") != 0)
		return false;
	if (strcmp(path, "create") == 0)
		handle_create(sessions, req);
	else if (g_str_has_prefix(path, "renew/"))
		handle_renew(sessions, req, path + strlen("renew/"));
	else if (g_str_has_prefix(path, "destroy/"))
		handle_destroy(sessions, req, path + strlen("destroy/"));
	else
		return false;
	return true;
}

static void handle_create(sessions_t *sessions, gc_http_req_t *req)
{
	json_t *body = gc_http_req_body(req).len > 0 ? standin_parse_body(req)
						     : json_object();

	if (!body)
		return;
	create_session(sessions, req, body);
	json_decref(body);
}

static void create_session(sessions_t *sessions, gc_http_req_t *req,
			   const json_t *body)
{
	const char *ttl = json_string_value(json_object_get(body, "TTL"));
	const char *behavior =
		json_string_value(json_object_get(body, "Behavior"));
	g_autofree char *id = g_uuid_string_random();
	g_autofree char *text = NULL;
	int64_t ttl_us = 0;
	session_t *session;

	if (ttl && !platform_parse_duration(ttl, &ttl_us)) {
		standin_reply_error(req, 400, "TTL %s is not a valid duration",
				    ttl);
		return;
	}
	session = talloc_zero(sessions, session_t);
	session->sessions = sessions;
	session->id = talloc_strdup(session, id);
	session->ttl = talloc_strdup(session, ttl ? ttl : "");
	session->ttl_us = ttl_us;
	session->delete_keys = behavior && strcmp(behavior, "delete") == 0;
	g_hash_table_insert(sessions->by_id, session->id, session);
	restart_expiry_timer(session);
	text = g_strdup_printf("{\"ID\":\"%s\"}\n", id);
	platform_reply_applied(sessions->platform, req, text);
}

static void handle_renew(sessions_t *sessions, gc_http_req_t *req,
			 const char *id)
{
	session_t *session = g_hash_table_lookup(sessions->by_id, id);
	g_autofree char *text = NULL;

	if (!session) {
		standin_reply_error(req, 404, "session %s not found", id);
		return;
	}
	restart_expiry_timer(session);
	text = g_strdup_printf("[{\"ID\":\"%s\",\"TTL\":\"%s\"}]\n", id,
			       session->ttl);
	platform_reply_applied(sessions->platform, req, text);
}

static void handle_destroy(sessions_t *sessions, gc_http_req_t *req,
			   const char *id)
{
	session_t *session = g_hash_table_lookup(sessions->by_id, id);

	if (session)
		end_session(session);
	platform_reply_applied(sessions->platform, req, "true\n");
}

static void restart_expiry_timer(session_t *session)
{
	TALLOC_FREE(session->expiry_timer);
	if (session->ttl_us > 0)
		session->expiry_timer = standin_add_timer_us(
			session->sessions->platform->standin->ev, session,
			session->ttl_us, on_expiry, session);
}

static void on_expiry(struct tevent_context *ev, struct tevent_timer *te,
		      struct timeval now, void *ctx)
{
	end_session(ctx);
}

static void end_session(session_t *session)
{
	sessions_t *sessions = session->sessions;

	g_hash_table_remove(sessions->by_id, session->id);
	kv_end_session(sessions->platform->kv, session->id,
		       session->delete_keys);
	talloc_free(session);
}
