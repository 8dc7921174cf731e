/* Notices on requests that crash servers: reading. */
#include <jansson.h>

#include "lib/crash_notices_private.h"
#include "lib/log.h"
#include "lib/log_events.h"

static void receive_reports(gc_crash_notices_t *notices,
			    const gc_store_item_t *item);
static void receive_served(gc_crash_notices_t *notices, gc_str_t digits,
			   const gc_store_item_t *item);
static gc_str_t reporter_of(gc_str_t key);
static uint64_t add_notice(gc_crash_notices_t *notices, uint64_t revision);
static void mark_served_needless(gc_crash_notices_t *notices, uint64_t trait,
				 uint64_t order);
static bool own_report_pending(const gc_crash_notices_t *notices,
			       uint64_t trait);
static bool has_trait(const gc_request_traits_t *traits, uint64_t trait);
static void log_invalid(gc_str_t key, const char *error);
static bool is_served_value(gc_str_t value);
static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest);

void gc_crash_notices_receive(gc_crash_notices_t *notices,
			      const gc_store_item_t *item)
{
	gc_str_t rest;

	if (strip_prefix(item->key, GC_CRASH_NOTICES_REPORTS_PREFIX, &rest) ||
	    strip_prefix(item->key, GC_CRASH_NOTICES_KEPT_PREFIX, &rest))
		receive_reports(notices, item);
	else if (strip_prefix(item->key, GC_CRASH_NOTICES_SERVED_PREFIX, &rest))
		receive_served(notices, rest, item);
	else
		log_invalid(item->key, "no key of a notice");
}

static void receive_reports(gc_crash_notices_t *notices,
			    const gc_store_item_t *item)
{
	g_autoptr(GError) err = NULL;
	g_autoptr(GArray) reports =
		g_array_new(FALSE, FALSE, sizeof(gc_crash_report_t));
	gc_str_t instance = reporter_of(item->key);
	gc_str_t digits;
	uint64_t trait;
	own_reports_t *own;
	uint64_t order;
	int64_t kept_ms;

	if (!gc_crash_notices_decode_reports(item->value, reports, &kept_ms,
					     &err)) {
		log_invalid(item->key, err->message);
		return;
	}
	order = add_notice(notices, item->revision);
	if (strip_prefix(item->key, GC_CRASH_NOTICES_KEPT_PREFIX, &digits) &&
	    gc_crash_notices_parse_hex(digits, &trait))
		gc_kept_turns_read(notices->turns, trait, reports->len);
	own = kept_ms > 0
		      ? NULL
		      : gc_crash_notices_find_own(
				notices, gc_crash_notices_first_id(reports));
	if (own) {
		own->pending = false;
		/* The answer to its write may have been lost. */
		for (GList *link = notices->queue.head; link;
		     link = link->next) {
			notice_t *notice = link->data;

			if (notice->reports == own->reports)
				notice->needless = true;
		}
		gc_crash_notices_write_next(notices);
	}
	for (guint i = 0; i < reports->len; i++)
		notices->conf.on_report(notices->conf.ctx, instance,
					&g_array_index(reports,
						       gc_crash_report_t, i),
					order, kept_ms);
}

/* Empty if the key names none. */
static gc_str_t reporter_of(gc_str_t key)
{
	gc_str_t instance;

	if (!strip_prefix(key, GC_CRASH_NOTICES_REPORTS_PREFIX, &instance))
		return GC_STR_EMPTY;
	while (instance.len > 0 && instance.data[--instance.len] != '/')
		;
	return instance;
}

/* Returns the place of a notice in the order of all. */
static uint64_t add_notice(gc_crash_notices_t *notices, uint64_t revision)
{
	uint64_t order = notices->era_offset + revision;

	notices->newest_revision = MAX(notices->newest_revision, revision);
	notices->newest_order = MAX(notices->newest_order, order);
	return order;
}

static void receive_served(gc_crash_notices_t *notices, gc_str_t digits,
			   const gc_store_item_t *item)
{
	uint64_t trait;
	uint64_t order;
	bool is_new;

	if (!gc_crash_notices_parse_hex(digits, &trait)) {
		log_invalid(item->key, "the trait is not 16 hex digits");
		return;
	}
	if (!is_served_value(item->value)) {
		log_invalid(item->key, "instance must be a string");
		return;
	}
	/*
	 * It may be the copy's, older than the reports of the last era. A trait
	 * wrongly taken as served crashes servers; one that stays blocked is
	 * tried after a while.
	 */
	if (item->revision <= notices->old_revision)
		return;
	is_new = notices->era_offset + item->revision > notices->newest_order;
	order = add_notice(notices, item->revision);
	if (is_new)
		gc_kept_turns_drop(notices->turns, trait);
	mark_served_needless(notices, trait, order);
	notices->conf.on_served(notices->conf.ctx, trait, order);
}

/*
 * A notice in the store makes one that waits needless if it follows all reports
 * on the trait: those that were known when the waiting one was made, and this
 * daemon's own, which may still be on their way to the store.
 */
static void mark_served_needless(gc_crash_notices_t *notices, uint64_t trait,
				 uint64_t order)
{
	if (own_report_pending(notices, trait))
		return;
	for (GList *link = notices->queue.head; link; link = link->next) {
		notice_t *notice = link->data;

		if (!notice->reports && notice->trait == trait &&
		    order > notice->newest_order)
			notice->needless = true;
	}
	gc_crash_notices_write_next(notices);
}

static bool own_report_pending(const gc_crash_notices_t *notices,
			       uint64_t trait)
{
	for (size_t i = 0; i < GC_CRASH_NOTICES_REPORT_KEYS; i++) {
		const own_reports_t *own = &notices->own_reports[i];

		for (guint j = 0; own->pending && j < own->reports->len; j++)
			if (has_trait(&g_array_index(own->reports,
						     gc_crash_report_t, j)
					       .traits,
				      trait))
				return true;
	}
	return false;
}

static bool has_trait(const gc_request_traits_t *traits, uint64_t trait)
{
	for (size_t i = 0; i < traits->n_parts; i++) {
		if (traits->parts[i] == trait)
			return true;
	}
	return traits->request == trait;
}

static void log_invalid(gc_str_t key, const char *error)
{
	g_autofree char *name = g_strndup(key.data, key.len);

	gc_log(GC_LOG_WARNING, GC_EVENT_NOTICE_INVALID,
	       "notice in the store is invalid", "key", name, "error", error,
	       NULL);
}

static bool is_served_value(gc_str_t value)
{
	json_t *json = json_loadb(value.data, value.len, 0, NULL);
	bool valid = json_is_string(json_object_get(json, "instance"));

	json_decref(json);
	return valid;
}

static bool strip_prefix(gc_str_t key, const char *prefix, gc_str_t *rest)
{
	size_t len = strlen(prefix);

	if (key.len < len || memcmp(key.data, prefix, len) != 0)
		return false;
	*rest = (gc_str_t){key.data + len, key.len - len};
	return true;
}
