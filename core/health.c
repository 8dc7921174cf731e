/* State of the instances: list, load, labels, ejection. */
#include <string.h>

#include <glib.h>

#include "core/clock.h"
#include "core/health.h"

/* Ejection times; doubled with each ejection in a row. */
#define EJECTION_MIN_MS INT64_C(2000)
#define EJECTION_MAX_MS INT64_C(60000)
/* The count of ejections is reset this long after a re-admission. */
#define EJECTION_COUNT_RESET_MS INT64_C(60000)
/*
 * Stalls within the window that eject an engine. A single one may be due to the
 * stream rather than the engine, and the stream handles it by a new attempt.
 */
#define STALLS_TO_EJECT	       2
#define STALL_WINDOW_MS	       INT64_C(10000)
#define MISSED_LISTS_TO_REMOVE 2
#define LEAVING_HOLD_MS	       INT64_C(5000)
#define PROBE_TIMEOUT_MS       INT64_C(3000)

typedef struct entry {
	char *name;
	char *url;
	char *failure_domain;
	json_t *listed_labels;
	json_t *labels;
	bool departing; /* marked by the operator */
	bool listed_leaving;
	struct timespec last_listed_leaving;
	unsigned int missed_lists;
	uint32_t slots, running, queued;
	bool reported;
	struct timespec reported_at;
	bool ejected;
	bool probing;
	struct timespec probe_at; /* probe due, or timeout of the running one */
	unsigned int ejections; /* in a row */
	struct timespec readmitted_at;
	unsigned int stalls;
	struct timespec first_stall_at;
} entry_t;

struct gc_health {
	GPtrArray *entries; /* entry_t, by name */
	gc_config_t *config;
};

static int health_destructor(gc_health_t *health);
static void free_entry(gpointer data);
static entry_t *find_entry(const gc_health_t *health, gc_str_t name,
			   guint *index);
static int compare_name(const entry_t *entry, gc_str_t name);
static bool update_entry(gc_health_t *health, struct timespec now,
			 const gc_instance_list_entry_t *listed);
static bool replace_string(char **text, gc_str_t value);
static bool set_leaving(entry_t *entry, struct timespec now, bool leaving);
static void apply_config(const gc_health_t *health, entry_t *entry);
static bool remove_missing_instances(gc_health_t *health);
static void eject(entry_t *entry, struct timespec now);
static int64_t ejection_ms(unsigned int ejections);
static void reset_ejections_if_stable(entry_t *entry, struct timespec now);
static bool count_stall(entry_t *entry, struct timespec now);

gc_health_t *gc_health_create(TALLOC_CTX *mem)
{
	gc_health_t *health = talloc_zero(mem, gc_health_t);

	health->entries = g_ptr_array_new_with_free_func(free_entry);
	talloc_set_destructor(health, health_destructor);
	return health;
}

static int health_destructor(gc_health_t *health)
{
	g_ptr_array_free(health->entries, TRUE);
	gc_config_unref(health->config);
	return 0;
}

static void free_entry(gpointer data)
{
	entry_t *entry = data;

	g_free(entry->name);
	g_free(entry->url);
	g_free(entry->failure_domain);
	json_decref(entry->listed_labels);
	json_decref(entry->labels);
	g_free(entry);
}

static int compare_name(const entry_t *entry, gc_str_t name)
{
	size_t len = strlen(entry->name);
	int order = memcmp(entry->name, name.data, MIN(len, name.len));

	if (order != 0)
		return order;
	return len < name.len ? -1 : len > name.len;
}

/* Binary search. Sets *index to where the entry is or is to be inserted. */
static entry_t *find_entry(const gc_health_t *health, gc_str_t name,
			   guint *index)
{
	guint low = 0;
	guint high = health->entries->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		entry_t *entry = health->entries->pdata[mid];
		int order = compare_name(entry, name);

		if (order == 0) {
			*index = mid;
			return entry;
		}
		if (order < 0)
			low = mid + 1;
		else
			high = mid;
	}
	*index = low;
	return NULL;
}

bool gc_health_on_list(gc_health_t *health, struct timespec now,
		       const gc_instance_list_entry_t *list, size_t n)
{
	bool changed = false;

	for (guint i = 0; i < health->entries->len; i++)
		((entry_t *)health->entries->pdata[i])->missed_lists++;
	for (size_t i = 0; i < n; i++)
		changed |= update_entry(health, now, &list[i]);
	changed |= remove_missing_instances(health);
	return changed;
}

static bool update_entry(gc_health_t *health, struct timespec now,
			 const gc_instance_list_entry_t *listed)
{
	guint index;
	entry_t *entry = find_entry(health, listed->name, &index);
	bool changed = false;

	if (!entry) {
		entry = g_new0(entry_t, 1);
		entry->name = g_strndup(listed->name.data, listed->name.len);
		g_ptr_array_insert(health->entries, (gint)index, entry);
		changed = true;
	}
	entry->missed_lists = 0;
	changed |= replace_string(&entry->url, listed->url);
	changed |=
		replace_string(&entry->failure_domain, listed->failure_domain);
	changed |= set_leaving(entry, now, listed->leaving);
	if (entry->listed_labels &&
	    json_equal(entry->listed_labels, listed->labels))
		return changed;
	json_decref(entry->listed_labels);
	entry->listed_labels = json_incref(listed->labels);
	apply_config(health, entry);
	return true;
}

static bool replace_string(char **text, gc_str_t value)
{
	if (*text && gc_str_eq(gc_str(*text), value))
		return false;
	g_free(*text);
	*text = g_strndup(value.data, value.len);
	return true;
}

static bool set_leaving(entry_t *entry, struct timespec now, bool leaving)
{
	bool was_leaving = entry->listed_leaving;

	if (leaving) {
		entry->listed_leaving = true;
		entry->last_listed_leaving = now;
	} else if (was_leaving && gc_ms_between(entry->last_listed_leaving,
						now) > LEAVING_HOLD_MS) {
		entry->listed_leaving = false;
	}
	return entry->listed_leaving != was_leaving;
}

static bool remove_missing_instances(gc_health_t *health)
{
	bool removed = false;

	for (guint i = health->entries->len; i-- > 0;) {
		const entry_t *entry = health->entries->pdata[i];

		if (entry->missed_lists < MISSED_LISTS_TO_REMOVE)
			continue;
		g_ptr_array_remove_index(health->entries, i);
		removed = true;
	}
	return removed;
}

void gc_health_set_config(gc_health_t *health, gc_config_t *config)
{
	gc_config_t *old = health->config;

	health->config = config ? gc_config_ref(config) : NULL;
	gc_config_unref(old);
	for (guint i = 0; i < health->entries->len; i++)
		apply_config(health, health->entries->pdata[i]);
}

static void apply_config(const gc_health_t *health, entry_t *entry)
{
	gc_str_t name = gc_str(entry->name);

	json_decref(entry->labels);
	if (!health->config) {
		entry->labels = json_incref(entry->listed_labels);
		entry->departing = false;
		return;
	}
	entry->labels = gc_config_merge_labels(health->config, name,
					       entry->listed_labels);
	entry->departing = gc_config_is_departing(health->config, name);
}

void gc_health_on_load(gc_health_t *health, struct timespec now, gc_str_t name,
		       uint32_t slots, uint32_t running, uint32_t queued)
{
	guint index;
	entry_t *entry = find_entry(health, name, &index);

	if (!entry)
		return;
	entry->slots = slots;
	entry->running = running;
	entry->queued = queued;
	entry->reported = true;
	entry->reported_at = now;
}

static int64_t ejection_ms(unsigned int ejections)
{
	int64_t ms = EJECTION_MIN_MS;

	for (unsigned int i = 1; i < ejections && ms < EJECTION_MAX_MS; i++)
		ms *= 2;
	return MIN(ms, EJECTION_MAX_MS);
}

static void reset_ejections_if_stable(entry_t *entry, struct timespec now)
{
	if (!entry->ejected &&
	    gc_ms_between(entry->readmitted_at, now) > EJECTION_COUNT_RESET_MS)
		entry->ejections = 0;
}

static void eject(entry_t *entry, struct timespec now)
{
	reset_ejections_if_stable(entry, now);
	entry->ejections++;
	entry->ejected = true;
	entry->probing = false;
	entry->stalls = 0;
	entry->probe_at = gc_add_ms(now, ejection_ms(entry->ejections));
}

static bool count_stall(entry_t *entry, struct timespec now)
{
	if (entry->stalls == 0 ||
	    gc_ms_between(entry->first_stall_at, now) > STALL_WINDOW_MS) {
		entry->stalls = 0;
		entry->first_stall_at = now;
	}
	entry->stalls++;
	return entry->stalls >= STALLS_TO_EJECT;
}

bool gc_health_on_stream_report(gc_health_t *health, struct timespec now,
				gc_str_t name, gc_engine_verdict_t verdict)
{
	guint index;
	entry_t *entry = find_entry(health, name, &index);

	if (!entry)
		return false;
	if (verdict == GC_ENGINE_OK) {
		entry->stalls = 0;
		return false;
	}
	/* Many streams report the same failure; it is one ejection. */
	if (entry->ejected)
		return false;
	if (verdict == GC_ENGINE_STALLED && !count_stall(entry, now))
		return false;
	eject(entry, now);
	return true;
}

bool gc_health_on_peer_report(gc_health_t *health, struct timespec now,
			      gc_str_t name, int64_t age_ms)
{
	guint index;
	entry_t *entry = find_entry(health, name, &index);
	struct timespec seen = gc_add_ms(now, -MAX(age_ms, 0));

	if (!entry || entry->ejected)
		return false;
	/* A load report since then shows that the engine works again. */
	if (entry->reported && gc_ms_between(seen, entry->reported_at) > 0)
		return false;
	reset_ejections_if_stable(entry, now);
	/* The peer itself may be cut off, so a probe from here decides. */
	entry->ejected = true;
	entry->probing = false;
	entry->probe_at = now;
	return true;
}

gc_str_t gc_health_start_probe(gc_health_t *health, struct timespec now)
{
	for (guint i = 0; i < health->entries->len; i++) {
		entry_t *entry = health->entries->pdata[i];

		if (!entry->ejected || gc_ms_between(now, entry->probe_at) > 0)
			continue;
		entry->probing = true;
		/* If no result is reported in time, another probe follows. */
		entry->probe_at = gc_add_ms(now, PROBE_TIMEOUT_MS);
		return gc_str(entry->name);
	}
	return GC_STR_EMPTY;
}

void gc_health_on_probe_result(gc_health_t *health, struct timespec now,
			       gc_str_t name, bool ok)
{
	guint index;
	entry_t *entry = find_entry(health, name, &index);

	if (!entry || !entry->ejected || !entry->probing)
		return;
	if (!ok) {
		eject(entry, now);
		return;
	}
	entry->ejected = false;
	entry->probing = false;
	entry->readmitted_at = now;
}

size_t gc_health_count(const gc_health_t *health)
{
	return health->entries->len;
}

void gc_health_get(const gc_health_t *health, struct timespec now, size_t i,
		   gc_health_instance_t *instance)
{
	const entry_t *entry = health->entries->pdata[i];
	int64_t left = gc_ms_between(now, entry->probe_at);

	*instance = (gc_health_instance_t){
		.name = gc_str(entry->name),
		.url = gc_str(entry->url),
		.failure_domain = gc_str(entry->failure_domain),
		.listed_labels = entry->listed_labels,
		.labels = entry->labels,
		.leaving = entry->listed_leaving || entry->departing,
		.ejected = entry->ejected,
		.slots = entry->slots,
		.running = entry->running,
		.queued = entry->queued,
		.reported = entry->reported,
		.reported_at = entry->reported_at,
		.ejected_ms = entry->ejected ? MAX(left, 0) : 0,
		.ejections = entry->ejections,
	};
}
