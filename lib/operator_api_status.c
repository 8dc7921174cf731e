/* Builds the status document of a daemon for operators. */
#include <inttypes.h>

#include "lib/build.h"
#include "lib/operator_api_status.h"

typedef struct daemon_status {
	json_t *list;
	/* Version -> number of daemons, without leaving ones. */
	json_t *versions;
} daemon_status_t;

static json_t *json_text(gc_str_t s);
static void add_daemon_status(void *ctx, const gc_member_info_t *info);
static json_t *instances_json(const gc_health_t *health, struct timespec now);

static json_t *json_text(gc_str_t s)
{
	return json_stringn(s.data, s.len);
}

static void add_daemon_status(void *ctx, const gc_member_info_t *info)
{
	daemon_status_t *status = ctx;
	char version[24];
	json_t *count;

	json_array_append_new(
		status->list,
		json_pack("{so so so so sI sI sb sb sb sb}", "name",
			  json_text(info->name), "failure_domain",
			  json_text(info->failure_domain), "caller_url",
			  json_text(info->caller_url), "peer_url",
			  json_text(info->peer_url), "version",
			  (json_int_t)info->version, "silent_ms",
			  (json_int_t)info->silent_ms, "live", info->live,
			  "gone", info->gone, "leaving", info->leaving, "self",
			  info->self));
	if (info->leaving)
		return;
	g_snprintf(version, sizeof(version), "%" PRIu64, info->version);
	count = json_object_get(status->versions, version);
	json_object_set_new(status->versions, version,
			    json_integer(json_integer_value(count) + 1));
}

static json_t *instances_json(const gc_health_t *health, struct timespec now)
{
	json_t *list = json_array();
	gc_health_instance_t instance;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		json_t *item;

		gc_health_get(health, now, i, &instance);
		item = json_pack("{so so so sO sb sb sI si si si si}", "name",
				 json_text(instance.name), "url",
				 json_text(instance.url), "failure_domain",
				 json_text(instance.failure_domain), "labels",
				 instance.labels, "leaving", instance.leaving,
				 "ejected", instance.ejected, "ejected_ms",
				 (json_int_t)instance.ejected_ms, "ejections",
				 (int)instance.ejections, "slots",
				 (int)instance.slots, "running",
				 (int)instance.running, "queued",
				 (int)instance.queued);
		json_object_set_new(
			item, "load_age_ms",
			instance.reported ? json_integer(gc_ms_between(
						    instance.reported_at, now))
					  : json_null());
		json_array_append_new(list, item);
	}
	return list;
}

json_t *gc_operator_api_status(gc_control_t *control)
{
	struct timespec now = gc_control_now(control);
	daemon_status_t daemons = {json_array(), json_object()};

	gc_membership_foreach(control->membership, now, add_daemon_status,
			      &daemons);
	return json_pack(
		"{ss ss ss sI sb sb sb sb si so so so so}", "instance",
		control->settings->instance, "build", gc_build,
		"failure_domain", control->settings->failure_domain, "version",
		(json_int_t)gc_membership_version(control->membership),
		"in_effect", gc_membership_in_effect(control->membership, now),
		"leaving", gc_membership_leaving(control->membership),
		"watcher", gc_membership_is_watcher(control->membership, now),
		"may_accept",
		gc_membership_may_accept_changes(control->membership, now),
		"known_daemons", (int)gc_membership_known(control->membership),
		"versions", daemons.versions, "daemons", daemons.list,
		"engines", instances_json(control->engine_health, now),
		"services", instances_json(control->server_health, now));
}
