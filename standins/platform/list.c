/*
 * Instance list, whose changes become visible after a lag, with blocking
 * queries (watches) by service.
 */
#include <inttypes.h>
#include <string.h>

#include "standin-platform.h"

#define DEFAULT_WAIT_US (300 * INT64_C(1000000))
#define MAX_WAIT_US	(600 * INT64_C(1000000))

struct list {
	standin_t *standin;
	int64_t lag_ms;
	bool blocks; /* answers blocking queries; otherwise it has no index */
	json_t *visible; /* id -> registration */
	json_t *indexes; /* service -> index of its last change */
	uint64_t index;
	GQueue watches;
};

typedef struct list_watch {
	list_t *list;
	gc_http_req_t *req;
	char *service;
	GList link;
} list_watch_t;

/* A change on its way; belongs to the list. */
typedef struct change {
	list_t *list;
	char *id;
	json_t *registration; /* NULL: removed */
} change_t;

static const char *check_registration(const json_t *body);
static void add_change(list_t *list, const char *id, json_t *registration);
static void on_visible(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx);
static json_t *instance_json(const char *id, const json_t *registration);
static uint64_t service_index(const list_t *list, const char *service);
static void answer(list_t *list, gc_http_req_t *req, const char *service);
static void begin_watch(list_t *list, gc_http_req_t *req, const char *service);
static void end_watch(list_watch_t *watch);
static void on_wait_over(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static void service_changed(list_t *list, const json_t *registration);

list_t *list_create(TALLOC_CTX *mem, standin_t *standin, int64_t lag_ms)
{
	list_t *list = talloc_zero(mem, list_t);

	list->standin = standin;
	list->lag_ms = lag_ms;
	list->blocks = true;
	list->visible = json_object();
	list->indexes = json_object();
	/* The published protocol never has an index of 0. */
	list->index = 1;
	g_queue_init(&list->watches);
	return list;
}

void list_set_lag(list_t *list, int64_t lag_ms)
{
	list->lag_ms = lag_ms;
}

void list_set_blocking(list_t *list, bool blocks)
{
	list->blocks = blocks;
	if (!blocks)
		list_end_watches(list);
}

/* Answers watches as if nothing had changed until their time was over. */
void list_end_watches(list_t *list)
{
	list_watch_t *watch;

	while ((watch = g_queue_peek_head(&list->watches)) != NULL) {
		answer(list, watch->req, watch->service);
		end_watch(watch);
	}
}

void list_show(list_t *list, gc_http_req_t *req, const char *service)
{
	uint64_t index = 0;

	if (gc_http_req_query_arg(req, "index") &&
	    !standin_query_u64(req, "index", &index))
		standin_reply_error(req, 400, "index is no number");
	else if (list->blocks && index > 0 &&
		 service_index(list, service) <= index)
		begin_watch(list, req, service);
	else
		answer(list, req, service);
}

static uint64_t service_index(const list_t *list, const char *service)
{
	json_t *index = json_object_get(list->indexes, service);

	return index ? (uint64_t)json_integer_value(index) : 1;
}

static void begin_watch(list_t *list, gc_http_req_t *req, const char *service)
{
	list_watch_t *watch = talloc_zero(list, list_watch_t);
	int64_t wait_us = DEFAULT_WAIT_US;

	platform_duration_us(gc_http_req_query_arg(req, "wait"), &wait_us);
	watch->list = list;
	watch->req = req;
	watch->service = talloc_strdup(watch, service);
	watch->link.data = watch;
	g_queue_push_tail_link(&list->watches, &watch->link);
	standin_after_us(list->standin->ev, watch, MIN(wait_us, MAX_WAIT_US),
			 on_wait_over, watch);
}

static void end_watch(list_watch_t *watch)
{
	g_queue_unlink(&watch->list->watches, &watch->link);
	talloc_free(watch);
}

static void on_wait_over(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	list_watch_t *watch = ctx;

	answer(watch->list, watch->req, watch->service);
	end_watch(watch);
}

/* Gives the service of the registration a new index; answers its watches. */
static void service_changed(list_t *list, const json_t *registration)
{
	const char *service =
		json_string_value(json_object_get(registration, "Name"));
	GList *next;

	json_object_set_new(list->indexes, service,
			    json_integer((json_int_t)++list->index));
	for (GList *l = list->watches.head; l; l = next) {
		list_watch_t *watch = l->data;

		next = l->next;
		if (strcmp(watch->service, service) != 0)
			continue;
		answer(list, watch->req, service);
		end_watch(watch);
	}
}

static void answer(list_t *list, gc_http_req_t *req, const char *service)
{
	json_t *instances = json_array();
	json_t *registration;
	const char *id, *name;
	char text[24];

	if (list->blocks) {
		g_snprintf(text, sizeof(text), "%" PRIu64,
			   service_index(list, service));
		gc_http_req_add_header(req, "X-Consul-Index", text);
	}

	json_object_foreach (list->visible, id, registration) {
		name = json_string_value(json_object_get(registration, "Name"));
		if (strcmp(name, service) == 0)
			json_array_append_new(instances,
					      instance_json(id, registration));
	}
	standin_reply(req, 200, instances);
}

static json_t *instance_json(const char *id, const json_t *registration)
{
	json_t *address = json_object_get(registration, "Address");
	json_t *port = json_object_get(registration, "Port");
	json_t *meta = json_object_get(registration, "Meta");

	return json_pack("{s{ss} s{ss sO sO so} s[{ss}]}", "Node", "Node", id,
			 "Service", "ID", id, "Address", address, "Port", port,
			 "Meta", meta ? json_incref(meta) : json_object(),
			 "Checks", "Status", "passing");
}

void list_register(list_t *list, gc_http_req_t *req)
{
	json_t *body = standin_body(req);
	const char *problem, *id;

	if (!body)
		return;
	problem = check_registration(body);
	if (problem) {
		standin_reply_error(req, 400, "%s", problem);
		json_decref(body);
		return;
	}
	id = json_string_value(json_object_get(body, "ID"));
	if (!id)
		id = json_string_value(json_object_get(body, "Name"));
	add_change(list, id, body);
	gc_http_reply(req, 200, "application/json", GC_STR_EMPTY);
}

/* Says what is wrong with the body, or returns NULL. */
static const char *check_registration(const json_t *body)
{
	const json_t *id = json_object_get(body, "ID");
	const json_t *meta = json_object_get(body, "Meta");
	const json_t *value;
	const char *label;

	if (!json_is_string(json_object_get(body, "Name")))
		return "Name must be a string";
	if (id && !json_is_string(id))
		return "ID must be a string";
	if (!json_is_string(json_object_get(body, "Address")))
		return "Address must be a string";
	if (!json_is_integer(json_object_get(body, "Port")))
		return "Port must be a number";
	if (meta && !json_is_object(meta))
		return "Meta must be an object";
	json_object_foreach ((json_t *)meta, label, value) {
		if (!json_is_string(value))
			return "the values of Meta must be strings";
	}
	return NULL;
}

void list_deregister(list_t *list, gc_http_req_t *req, const char *id)
{
	add_change(list, id, NULL);
	gc_http_reply(req, 200, "application/json", GC_STR_EMPTY);
}

/* Takes the reference to registration. */
static void add_change(list_t *list, const char *id, json_t *registration)
{
	change_t *change = talloc_zero(list, change_t);

	change->list = list;
	change->id = talloc_strdup(change, id);
	change->registration = registration;
	if (list->lag_ms > 0)
		standin_after_us(list->standin->ev, change, list->lag_ms * 1000,
				 on_visible, change);
	else
		on_visible(NULL, NULL, (struct timeval){0}, change);
}

static void on_visible(struct tevent_context *ev, struct tevent_timer *te,
		       struct timeval now, void *ctx)
{
	change_t *change = ctx;
	list_t *list = change->list;
	json_t *before =
		json_incref(json_object_get(list->visible, change->id));

	if (change->registration)
		json_object_set(list->visible, change->id,
				change->registration);
	else
		json_object_del(list->visible, change->id);
	/* A registration can move an id from one service to another. */
	if (before)
		service_changed(list, before);
	if (change->registration)
		service_changed(list, change->registration);
	json_decref(before);
	json_decref(change->registration);
	talloc_free(change);
}
