/* Instance list, whose changes become visible after a lag. */
#include <string.h>

#include "standin-platform.h"

struct list {
	standin_t *standin;
	int64_t lag_ms;
	json_t *visible; /* id -> registration */
};

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

list_t *list_create(TALLOC_CTX *mem, standin_t *standin, int64_t lag_ms)
{
	list_t *list = talloc_zero(mem, list_t);

	list->standin = standin;
	list->lag_ms = lag_ms;
	list->visible = json_object();
	return list;
}

void list_set_lag(list_t *list, int64_t lag_ms)
{
	list->lag_ms = lag_ms;
}

void list_show(list_t *list, gc_http_req_t *req, const char *service)
{
	json_t *instances = json_array();
	json_t *registration;
	const char *id, *name;

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
	json_t *visible = change->list->visible;

	if (change->registration)
		json_object_set_new(visible, change->id, change->registration);
	else
		json_object_del(visible, change->id);
	talloc_free(change);
}
