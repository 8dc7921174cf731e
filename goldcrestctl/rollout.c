/* Orders roll-outs of the routed mode in the store, and shows their status. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/error.h"
#include "goldcrestctl.h"
#include "platform/platform.h"
#include "store_client.h"

#define POLL_INTERVAL_US 250000
/* Time to decide an order when its own time limit has passed. */
#define DECISION_SLACK_S 10
/* Longest key of the store, as it is published. */
#define MAX_KEY_BYTES	 200
#define MAX_TARGET_BYTES 200
#define MAX_SECONDS	 (24 * 60 * 60)

/* What the arguments ask for. */
typedef struct rollout_args {
	const char *service;
	const char *target; /* NULL: no new order */
	int64_t duration_s;
	gboolean remove;
	gboolean wait;
	int64_t timeout_s; /* -1: derived from the order */
} rollout_args_t;

/* Order and status of a service, as far as the store has them. */
typedef struct rollout {
	gc_rollout_order_t order;
	gc_rollout_record_t record;
	bool has_order;
	bool has_record;
	uint64_t
		order_revision; /* also of an order that can't be read; 0: none */
	GError *order_error; /* it can't be read */
	GError *record_error; /* likewise */
} rollout_t;

static ctl_exit_t parse_args(rollout_args_t *args, int argc, char **argv);
static int drop_separator(int n_args, char **argv);
static ctl_exit_t check_args(rollout_args_t *args, char **argv,
			     const char *timeout);
static bool is_name(const char *text, size_t max_bytes);
static bool parse_seconds(const char *text, int64_t *seconds);
static char *make_key(const char *prefix, const char *service);
static bool load(store_client_t *client, const char *service,
		 rollout_t *rollout, GError **err);
static bool load_item(store_client_t *client, const char *prefix,
		      const char *service, gc_store_item_t *item, bool *found,
		      GError **err);
static void rollout_clear(rollout_t *rollout);
static ctl_exit_t show(const ctl_t *ctl, store_client_t *client,
		       const rollout_args_t *args);
static ctl_exit_t write_order(const ctl_t *ctl, store_client_t *client,
			      const rollout_args_t *args);
static ctl_exit_t remove_order(const ctl_t *ctl, store_client_t *client,
			       const rollout_args_t *args);
static ctl_exit_t wait_for_decision(const ctl_t *ctl, store_client_t *client,
				    const rollout_args_t *args);
static bool poll_decision(const ctl_t *ctl, store_client_t *client,
			  const rollout_args_t *args, gint64 begin,
			  int64_t *timeout_s, ctl_exit_t *result);
static bool evaluate(const ctl_t *ctl, const rollout_t *rollout, bool timed_out,
		     ctl_exit_t *result);
static bool is_decided(const rollout_t *rollout);
static bool is_of_order(const rollout_t *rollout);
static ctl_exit_t report_unreadable(const ctl_t *ctl, const rollout_t *rollout);
static ctl_exit_t report_error(const ctl_t *ctl, const GError *err,
			       bool changing);
static ctl_exit_t print_changed(const ctl_t *ctl, const rollout_args_t *args);
static void print_rollout(const ctl_t *ctl, const rollout_t *rollout);
static json_t *order_json(const rollout_t *rollout);
static json_t *record_json(const rollout_t *rollout);
static json_t *json_str(gc_str_t text);
static void print_order(const rollout_t *rollout);
static void print_record(const rollout_t *rollout);
static const char *state_name(gc_rollout_state_t state);

ctl_exit_t ctl_rollout(const ctl_t *ctl, int argc, char **argv)
{
	rollout_args_t args = {.timeout_s = -1};
	ctl_exit_t result = parse_args(&args, argc, argv);
	store_client_t *client;

	if (result != CTL_OK)
		return result;
	client = store_client_create(ctl->store);
	if (args.remove)
		result = remove_order(ctl, client, &args);
	else if (args.wait)
		result = wait_for_decision(ctl, client, &args);
	else if (args.target)
		result = write_order(ctl, client, &args);
	else
		result = show(ctl, client, &args);
	store_client_destroy(client);
	return result;
}

static ctl_exit_t parse_args(rollout_args_t *args, int argc, char **argv)
{
	g_autofree char *timeout = NULL;
	const GOptionEntry entries[] = {
		{"remove", 'r', 0, G_OPTION_ARG_NONE, &args->remove, NULL,
		 NULL},
		{"wait", 'w', 0, G_OPTION_ARG_NONE, &args->wait, NULL, NULL},
		{"timeout-s", 't', 0, G_OPTION_ARG_STRING, &timeout, NULL,
		 NULL},
		G_OPTION_ENTRY_NULL};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) err = NULL;
	/* argv[-1] is "rollout", which GOption skips as the program name. */
	int n_args = argc + 1;
	char **left = argv - 1;
	bool orders;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &n_args, &left, &err))
		return ctl_usage_error("rollout: %s", err->message);
	n_args = drop_separator(n_args, left);
	orders = n_args == 4 && !args->remove && !args->wait;
	if (n_args != 2 && !orders)
		return ctl_usage_error(
			"rollout: expected SERVICE TARGET SECONDS, or "
			"SERVICE with at most one of -r and -w");
	if (args->remove && args->wait)
		return ctl_usage_error("rollout: -r and -w exclude each other");
	if (timeout && !args->wait)
		return ctl_usage_error("rollout: -t needs -w");
	return check_args(args, left, timeout);
}

/* GOption leaves "--" if the argument after it begins with "-". */
static int drop_separator(int n_args, char **argv)
{
	for (int i = 1; i < n_args; i++) {
		if (strcmp(argv[i], "--") != 0)
			continue;
		memmove(argv + i, argv + i + 1,
			(size_t)(n_args - i) * sizeof(*argv));
		return n_args - 1;
	}
	return n_args;
}

/* argv: SERVICE, and TARGET SECONDS or NULL, from argv[1] on. */
static ctl_exit_t check_args(rollout_args_t *args, char **argv,
			     const char *timeout)
{
	g_autofree char *order_key = NULL;
	g_autofree char *record_key = NULL;

	args->service = argv[1];
	args->target = argv[2];
	order_key = make_key(gc_platform_adapter.rollout_orders_prefix,
			     args->service);
	record_key = make_key(gc_platform_adapter.rollout_records_prefix,
			      args->service);
	if (!is_name(args->service, MAX_KEY_BYTES) ||
	    strlen(order_key) > MAX_KEY_BYTES ||
	    strlen(record_key) > MAX_KEY_BYTES)
		return ctl_usage_error(
			"rollout: SERVICE: expected a name whose keys have at "
			"most %d bytes, without control characters",
			MAX_KEY_BYTES);
	if (args->target && !is_name(args->target, MAX_TARGET_BYTES))
		return ctl_usage_error(
			"rollout: TARGET: expected a version of 1 to %d "
			"bytes, without control characters",
			MAX_TARGET_BYTES);
	if (args->target && !parse_seconds(argv[3], &args->duration_s))
		return ctl_usage_error(
			"rollout: SECONDS: expected a whole number from 1 to "
			"%d, not \"%s\"",
			MAX_SECONDS, argv[3]);
	if (timeout && !parse_seconds(timeout, &args->timeout_s))
		return ctl_usage_error(
			"rollout: -t: expected a whole number from 1 to %d, "
			"not \"%s\"",
			MAX_SECONDS, timeout);
	return CTL_OK;
}

static bool is_name(const char *text, size_t max_bytes)
{
	size_t len = strlen(text);

	if (len == 0 || len > max_bytes ||
	    !g_utf8_validate(text, (gssize)len, NULL))
		return false;
	for (; *text; text = g_utf8_next_char(text)) {
		if (g_unichar_iscntrl(g_utf8_get_char(text)))
			return false;
	}
	return true;
}

static bool parse_seconds(const char *text, int64_t *seconds)
{
	gint64 value;

	if (!g_ascii_string_to_signed(text, 10, 1, MAX_SECONDS, &value, NULL))
		return false;
	*seconds = value;
	return true;
}

static char *make_key(const char *prefix, const char *service)
{
	return g_strconcat(prefix, service, NULL);
}

/* An item that can't be read is no failure, but reported in the result. */
static bool load(store_client_t *client, const char *service,
		 rollout_t *rollout, GError **err)
{
	const gc_adapter_t *adapter = &gc_platform_adapter;
	gc_store_item_t item = {0};

	*rollout = (rollout_t){0};
	if (!load_item(client, adapter->rollout_orders_prefix, service, &item,
		       &rollout->has_order, err))
		return false;
	if (rollout->has_order) {
		rollout->order_revision = item.revision;
		rollout->has_order =
			adapter->read_rollout_order(client, gc_str(service),
						    item.value, &rollout->order,
						    &rollout->order_error);
		rollout->order.id = item.revision;
	}
	if (!load_item(client, adapter->rollout_records_prefix, service, &item,
		       &rollout->has_record, err))
		return false;
	if (rollout->has_record)
		rollout->has_record = adapter->read_rollout_record(
			client, gc_str(service), item.value, &rollout->record,
			&rollout->record_error);
	rollout->record.revision = item.revision;
	return true;
}

static bool load_item(store_client_t *client, const char *prefix,
		      const char *service, gc_store_item_t *item, bool *found,
		      GError **err)
{
	g_autofree char *key = make_key(prefix, service);
	g_autoptr(GError) error = NULL;

	*found = store_client_get(client, gc_str(key), item, &error);
	if (*found || g_error_matches(error, GC_ERROR, GC_ERR_NOT_FOUND))
		return true;
	g_propagate_error(err, g_steal_pointer(&error));
	return false;
}

static void rollout_clear(rollout_t *rollout)
{
	g_clear_error(&rollout->order_error);
	g_clear_error(&rollout->record_error);
}

static ctl_exit_t show(const ctl_t *ctl, store_client_t *client,
		       const rollout_args_t *args)
{
	g_autoptr(GError) err = NULL;
	ctl_exit_t result = CTL_OK;
	rollout_t rollout;

	if (!load(client, args->service, &rollout, &err))
		return report_error(ctl, err, false);
	print_rollout(ctl, &rollout);
	result = report_unreadable(ctl, &rollout);
	rollout_clear(&rollout);
	return result;
}

static ctl_exit_t write_order(const ctl_t *ctl, store_client_t *client,
			      const rollout_args_t *args)
{
	const gc_adapter_t *adapter = &gc_platform_adapter;
	gc_rollout_order_t order = {
		.service = gc_str(args->service),
		.target = gc_str(args->target),
		.duration_ms = args->duration_s * 1000,
	};
	g_autofree char *value = adapter->write_rollout_order(&order);
	g_autofree char *key =
		make_key(adapter->rollout_orders_prefix, args->service);
	g_autoptr(GError) err = NULL;
	gc_store_item_t item = {0};
	bool found;

	if (!load_item(client, adapter->rollout_orders_prefix, args->service,
		       &item, &found, &err))
		return report_error(ctl, err, false);
	if (!store_client_change(client, gc_str(key), value, item.revision,
				 &err))
		return report_error(ctl, err, true);
	return print_changed(ctl, args);
}

static ctl_exit_t remove_order(const ctl_t *ctl, store_client_t *client,
			       const rollout_args_t *args)
{
	const char *prefix = gc_platform_adapter.rollout_orders_prefix;
	g_autofree char *key = make_key(prefix, args->service);
	g_autoptr(GError) err = NULL;
	gc_store_item_t item = {0};
	bool found;

	if (!load_item(client, prefix, args->service, &item, &found, &err))
		return report_error(ctl, err, false);
	if (!found) {
		fprintf(stderr, "goldcrestctl: no order for service %s\n",
			args->service);
		return CTL_ERROR;
	}
	if (!store_client_change(client, gc_str(key), NULL, item.revision,
				 &err))
		return report_error(ctl, err, true);
	return print_changed(ctl, args);
}

static ctl_exit_t wait_for_decision(const ctl_t *ctl, store_client_t *client,
				    const rollout_args_t *args)
{
	gint64 begin = g_get_monotonic_time();
	int64_t timeout_s =
		args->timeout_s > 0 ? args->timeout_s : DECISION_SLACK_S;
	ctl_exit_t result;

	while (!poll_decision(ctl, client, args, begin, &timeout_s, &result))
		g_usleep(POLL_INTERVAL_US);
	return result;
}

/*
 * True if the wait has ended, with its result. *timeout_s is replaced by what the
 * order calls for if the arguments name none.
 */
static bool poll_decision(const ctl_t *ctl, store_client_t *client,
			  const rollout_args_t *args, gint64 begin,
			  int64_t *timeout_s, ctl_exit_t *result)
{
	g_autoptr(GError) err = NULL;
	rollout_t rollout;
	bool loaded = load(client, args->service, &rollout, &err);
	bool ended;

	if (loaded && args->timeout_s < 0)
		*timeout_s =
			rollout.order.duration_ms / 1000 + DECISION_SLACK_S;
	ended = g_get_monotonic_time() - begin >= *timeout_s * G_USEC_PER_SEC;
	/* The store may be back before the time-out. */
	if (!loaded && ended)
		*result = report_error(ctl, err, false);
	else if (loaded)
		ended = evaluate(ctl, &rollout, ended, result);
	rollout_clear(&rollout);
	return ended;
}

/* True if the wait has ended, with its result, which is printed. */
static bool evaluate(const ctl_t *ctl, const rollout_t *rollout, bool timed_out,
		     ctl_exit_t *result)
{
	bool decided = is_decided(rollout);

	if (rollout->record_error) {
		*result = report_unreadable(ctl, rollout);
		return true;
	}
	if (!decided && !timed_out)
		return false;
	print_rollout(ctl, rollout);
	*result = CTL_NOT_IN_EFFECT;
	if (decided)
		*result = rollout->record.state == GC_ROLLOUT_SUCCEEDED
				  ? CTL_OK
				  : CTL_ROLLED_BACK;
	return true;
}

/* The status of a former order decides nothing about the one in the store. */
static bool is_decided(const rollout_t *rollout)
{
	const gc_rollout_record_t *record = &rollout->record;

	return rollout->has_record && record->state != GC_ROLLOUT_RUNNING &&
	       (rollout->order_revision == 0 || is_of_order(rollout));
}

/*
 * An order that was written again after the store went back to a copy goes on under
 * the id that it had; its record is written again after it.
 */
static bool is_of_order(const rollout_t *rollout)
{
	const gc_rollout_record_t *record = &rollout->record;
	const gc_rollout_order_t *order = &rollout->order;

	if (record->order == rollout->order_revision)
		return true;
	/* An order that can't be read may have no id in its record. */
	if (rollout->order_error)
		return record->order == 0;
	return record->order != 0 &&
	       record->revision > rollout->order_revision &&
	       record->duration_ms == order->duration_ms &&
	       gc_str_eq(record->target, order->target);
}

static ctl_exit_t report_unreadable(const ctl_t *ctl, const rollout_t *rollout)
{
	ctl_exit_t result = CTL_OK;

	if (rollout->order_error)
		result = report_error(ctl, rollout->order_error, false);
	if (rollout->record_error)
		result = report_error(ctl, rollout->record_error, false);
	return result;
}

/* changing: a write failed, which may have reached the store. */
static ctl_exit_t report_error(const ctl_t *ctl, const GError *err,
			       bool changing)
{
	const char *step = gc_error_step(err);
	const char *peer = gc_error_peer(err);
	bool in_doubt = g_error_matches(err, GC_ERROR, GC_ERR_IO) ||
			g_error_matches(err, GC_ERROR, GC_ERR_TIMEOUT);

	/* What could be read is printed before what could not. */
	fflush(stdout);
	fprintf(stderr, "goldcrestctl: %s: %s%s%s%s%s\n", ctl->store, step,
		*step ? " " : "", peer, *peer ? ": " : "", err->message);
	if (changing && in_doubt)
		fprintf(stderr,
			"goldcrestctl: it is not known whether the order was "
			"changed\n");
	if (g_error_matches(err, GC_ERROR, GC_ERR_CONFLICT)) {
		fprintf(stderr, "goldcrestctl: conflict: the order has been "
				"changed meanwhile\n");
		return CTL_CONFLICT;
	}
	if (g_error_matches(err, GC_ERROR, GC_ERR_UNAVAILABLE) ||
	    g_error_matches(err, GC_ERROR, GC_ERR_OVERLOADED) ||
	    (in_doubt && !changing))
		return CTL_UNAVAILABLE;
	return CTL_ERROR;
}

static ctl_exit_t print_changed(const ctl_t *ctl, const rollout_args_t *args)
{
	json_t *json;

	if (!ctl->json && args->remove) {
		printf("order for %s removed\n", args->service);
		return CTL_OK;
	}
	if (!ctl->json) {
		printf("ordered: %s to %s within %" PRId64 " s\n",
		       args->service, args->target, args->duration_s);
		return CTL_OK;
	}
	json = json_pack("{ss sb}", "service", args->service, "removed",
			 (int)args->remove);
	if (args->target) {
		json_object_set_new(json, "target", json_string(args->target));
		json_object_set_new(json, "duration_s",
				    json_integer(args->duration_s));
	}
	json_dumpf(json, stdout, JSON_COMPACT | JSON_SORT_KEYS);
	puts("");
	json_decref(json);
	return CTL_OK;
}

static void print_rollout(const ctl_t *ctl, const rollout_t *rollout)
{
	json_t *json;

	if (!ctl->json) {
		print_order(rollout);
		print_record(rollout);
		return;
	}
	json = json_pack("{so so}", "order", order_json(rollout), "status",
			 record_json(rollout));
	json_dumpf(json, stdout, JSON_COMPACT | JSON_SORT_KEYS);
	puts("");
	json_decref(json);
}

static json_t *order_json(const rollout_t *rollout)
{
	const gc_rollout_order_t *order = &rollout->order;

	if (!rollout->has_order)
		return json_null();
	return json_pack("{sI so so sf}", "id", (json_int_t)order->id,
			 "service", json_str(order->service), "target",
			 json_str(order->target), "duration_s",
			 (double)order->duration_ms / 1000);
}

static json_t *record_json(const rollout_t *rollout)
{
	const gc_rollout_record_t *record = &rollout->record;
	json_t *barred;

	if (!rollout->has_record)
		return json_null();
	barred = json_array();
	for (size_t i = 0; i < record->n_barred; i++)
		json_array_append_new(barred, json_str(record->barred[i]));
	return json_pack("{ss so so sf so sI}", "state",
			 state_name(record->state), "target",
			 json_str(record->target), "reason",
			 json_str(record->reason), "share", record->share,
			 "barred", barred, "order", (json_int_t)record->order);
}

static json_t *json_str(gc_str_t text)
{
	return json_stringn(text.data, text.len);
}

static void print_order(const rollout_t *rollout)
{
	const gc_rollout_order_t *order = &rollout->order;

	if (rollout->has_order)
		printf("order %" PRIu64 ": %.*s to %.*s within %g s\n",
		       order->id, GC_STR_ARG(order->service),
		       GC_STR_ARG(order->target),
		       (double)order->duration_ms / 1000);
	else if (!rollout->order_error)
		puts("no order");
}

static void print_record(const rollout_t *rollout)
{
	const gc_rollout_record_t *record = &rollout->record;

	if (!rollout->has_record) {
		if (!rollout->record_error)
			puts("no status");
		return;
	}
	printf("status: %s, target %.*s, order %" PRIu64,
	       state_name(record->state), GC_STR_ARG(record->target),
	       record->order);
	if (record->state == GC_ROLLOUT_RUNNING)
		printf(", share %g", record->share);
	puts(rollout->order_revision != 0 && !is_of_order(rollout)
		     ? ", of another order"
		     : "");
	if (record->reason.len > 0)
		printf("reason: %.*s\n", GC_STR_ARG(record->reason));
	for (size_t i = 0; i < record->n_barred; i++)
		printf("barred: %.*s\n",
		       GC_STR_ARG(record->barred[i].len > 0
					  ? record->barred[i]
					  : GC_STR_LIT("(no version)")));
}

static const char *state_name(gc_rollout_state_t state)
{
	static const char *const names[] = {
		[GC_ROLLOUT_RUNNING] = "running",
		[GC_ROLLOUT_SUCCEEDED] = "succeeded",
		[GC_ROLLOUT_ROLLED_BACK] = "rolled_back",
	};

	return names[state];
}
