/*
 * Instance list with blocking queries (watches) per service. Changes become
 * visible after a delay.
 */
#include <inttypes.h>
#include <string.h>

#include "standin-platform.h"

#define DEFAULT_WAIT_US (300 * INT64_C(1000000))
#define MAX_WAIT_US	(600 * INT64_C(1000000))

struct instance_list {
	standin_t *standin;
	int64_t lag_ms;
	bool blocking; /* supports blocking queries and returns an index */
	json_t *visible; /* id -> registration */
	json_t *indexes; /* service -> index of its last change */
	uint64_t index; /* of the last change */
	GQueue watches; /* list_watch_t */
};

typedef struct list_watch {
	instance_list_t *list;
	gc_http_req_t *req;
	char *service;
	GList link;
} list_watch_t;

/* A change that is not visible yet. */
typedef struct pending_change {
	instance_list_t *list;
	char *id;
	json_t *registration; /* NULL: deregistration */
} pending_change_t;

static const char *validate_registration(const json_t *body);
static void schedule_change(instance_list_t *list, const char *id,
			    json_t *registration);
static void apply_change(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx);
static json_t *instance_json(const char *id, const json_t *registration);
static uint64_t service_index(const instance_list_t *list, const char *service);
static void reply_instances(instance_list_t *list, gc_http_req_t *req,
			    const char *service);
static void add_watch(instance_list_t *list, gc_http_req_t *req,
		      const char *service);
static void remove_watch(list_watch_t *watch);
static void on_watch_timeout(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx);
static void record_service_change(instance_list_t *list,
				  const json_t *registration);

instance_list_t *instance_list_create(TALLOC_CTX *mem, standin_t *standin,
				      int64_t lag_ms)
{
	instance_list_t *list = talloc_zero(mem, instance_list_t);

	list->standin = standin;
	list->lag_ms = lag_ms;
	list->blocking = true;
	list->visible = json_object();
	list->indexes = json_object();
	/* The published protocol never has an index of 0. */
	list->index = 1;
	g_queue_init(&list->watches);
	return list;
}

void instance_list_set_lag(instance_list_t *list, int64_t lag_ms)
{
	list->lag_ms = lag_ms;
}

void instance_list_set_blocking(instance_list_t *list, bool blocking)
{
	list->blocking = blocking;
	if (!blocking)
		instance_list_end_watches(list);
}

void instance_list_end_watches(instance_list_t *list)
{
	list_watch_t *watch;

	while ((watch = g_queue_peek_head(&list->watches)) != NULL) {
		reply_instances(list, watch->req, watch->service);
		remove_watch(watch);
	}
}

void instance_list_query(instance_list_t *list, gc_http_req_t *req,
			 const char *service)
{
	uint64_t index = 0;

	if (gc_http_req_query_arg(req, "index") &&
	    !standin_query_u64(req, "index", &index))
		standin_reply_error(req, 400, "index must be a number");
	else if (list->blocking && index > 0 &&
		 service_index(list, service) <= index)
		add_watch(list, req, service);
	else
		reply_instances(list, req, service);
}

static uint64_t service_index(const instance_list_t *list, const char *service)
{
	json_t *index = json_object_get(list->indexes, service);

	return index ? (uint64_t)json_integer_value(index) : 1;
}

static void add_watch(instance_list_t *list, gc_http_req_t *req,
		      const char *service)
{
	list_watch_t *watch = talloc_zero(list, list_watch_t);
	int64_t wait_us = DEFAULT_WAIT_US;

	platform_parse_duration(gc_http_req_query_arg(req, "wait"), &wait_us);
	watch->list = list;
	watch->req = req;
	watch->service = talloc_strdup(watch, service);
	watch->link.data = watch;
	g_queue_push_tail_link(&list->watches, &watch->link);
	standin_add_timer_us(list->standin->ev, watch,
			     MIN(wait_us, MAX_WAIT_US), on_watch_timeout,
			     watch);
}

static void remove_watch(list_watch_t *watch)
{
	g_queue_unlink(&watch->list->watches, &watch->link);
	talloc_free(watch);
}

static void on_watch_timeout(struct tevent_context *ev, struct tevent_timer *te,
			     struct timeval now, void *ctx)
{
	list_watch_t *watch = ctx;

	reply_instances(watch->list, watch->req, watch->service);
	remove_watch(watch);
}

/* Assigns a new index to the service and responds to its watches. */
static void record_service_change(instance_list_t *list,
				  const json_t *registration)
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
		reply_instances(list, watch->req, service);
		remove_watch(watch);
	}
}

static void reply_instances(instance_list_t *list, gc_http_req_t *req,
			    const char *service)
{
	json_t *instances = json_array();
	json_t *registration;
	const char *id, *name;
	char text[24];

	if (list->blocking) {
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

void instance_list_register(instance_list_t *list, gc_http_req_t *req)
{
	json_t *body = standin_parse_body(req);
	const char *error, *id;

	if (!body)
		return;
	error = validate_registration(body);
	if (error) {
		standin_reply_error(req, 400, "%s", error);
		json_decref(body);
		return;
	}
	id = json_string_value(json_object_get(body, "ID"));
	if (!id)
		id = json_string_value(json_object_get(body, "Name"));
	schedule_change(list, id, body);
	gc_http_reply(req, 200, "application/json", GC_STR_EMPTY);
}

/* Returns an error message, or NULL if the body is valid. */
static const char *validate_registration(const json_t *body)
{
	const json_t *id = json_object_get(body, "ID");
	const json_t *meta = json_object_get(body, "Meta");
	const json_t *value;
	const char *name;

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
	json_object_foreach ((json_t *)meta, name, value) {
		if (!json_is_string(value))
			return "the values of Meta must be strings";
	}
	return NULL;
}

void instance_list_deregister(instance_list_t *list, gc_http_req_t *req,
			      const char *id)
{
	schedule_change(list, id, NULL);
	gc_http_reply(req, 200, "application/json", GC_STR_EMPTY);
}

/* Takes the reference to registration. */
static void schedule_change(instance_list_t *list, const char *id,
			    json_t *registration)
{
	pending_change_t *change = talloc_zero(list, pending_change_t);

	change->list = list;
	change->id = talloc_strdup(change, id);
	change->registration = registration;
	if (list->lag_ms > 0)
		standin_add_timer_us(list->standin->ev, change,
				     list->lag_ms * 1000, apply_change, change);
	else
		apply_change(NULL, NULL, (struct timeval){0}, change);
}

static void apply_change(struct tevent_context *ev, struct tevent_timer *te,
			 struct timeval now, void *ctx)
{
	pending_change_t *change = ctx;
	instance_list_t *list = change->list;
	json_t *previous =
		json_incref(json_object_get(list->visible, change->id));

	if (change->registration)
		json_object_set(list->visible, change->id,
				change->registration);
	else
		json_object_del(list->visible, change->id);
	/* A new registration can move an id to another service. */
	if (previous)
		record_service_change(list, previous);
	if (change->registration)
		record_service_change(list, change->registration);
	json_decref(previous);
	json_decref(change->registration);
	talloc_free(change);
}
