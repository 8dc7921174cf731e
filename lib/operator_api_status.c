/* The status document of a daemon, for operators. */
#include <inttypes.h>

#include "lib/operator_api_status.h"

typedef struct daemon_status {
	json_t *list;
	json_t *versions; /* version -> number of live daemons that hold it */
} daemon_status_t;

static json_t *text(gc_str_t s);
static void add_daemon(void *ctx, const gc_member_info_t *info);
static json_t *instances(const gc_health_t *health, struct timespec now);

static json_t *text(gc_str_t s)
{
	return json_stringn(s.data, s.len);
}

static void add_daemon(void *ctx, const gc_member_info_t *info)
{
	daemon_status_t *status = ctx;
	char version[24];
	json_t *count;

	json_array_append_new(
		status->list,
		json_pack("{so so so so sI sI sb sb sb}", "name",
			  text(info->name), "failure_domain",
			  text(info->failure_domain), "caller_url",
			  text(info->caller_url), "peer_url",
			  text(info->peer_url), "version",
			  (json_int_t)info->version, "silent_ms",
			  (json_int_t)info->silent_ms, "live", info->live,
			  "leaving", info->leaving, "self", info->self));
	if (info->leaving)
		return;
	g_snprintf(version, sizeof(version), "%" PRIu64, info->version);
	count = json_object_get(status->versions, version);
	json_object_set_new(status->versions, version,
			    json_integer(json_integer_value(count) + 1));
}

static json_t *instances(const gc_health_t *health, struct timespec now)
{
	json_t *list = json_array();
	gc_health_instance_t in;

	for (size_t i = 0; i < gc_health_count(health); i++) {
		json_t *item;

		gc_health_get(health, now, i, &in);
		item = json_pack("{so so so sO sb sb sI si si si si}", "name",
				 text(in.name), "url", text(in.url),
				 "failure_domain", text(in.failure_domain),
				 "labels", in.labels, "leaving", in.leaving,
				 "ejected", in.ejected, "ejected_ms",
				 (json_int_t)in.ejected_ms, "ejections",
				 (int)in.ejections, "slots", (int)in.slots,
				 "running", (int)in.running, "queued",
				 (int)in.queued);
		json_object_set_new(item, "load_age_ms",
				    in.reported ? json_integer(gc_ms_between(
							  in.reported_at, now))
						: json_null());
		json_array_append_new(list, item);
	}
	return list;
}

json_t *gc_operator_api_status(gc_control_t *control)
{
	struct timespec now = gc_control_now(control);
	daemon_status_t daemons = {json_array(), json_object()};

	gc_membership_each(control->members, now, add_daemon, &daemons);
	return json_pack(
		"{ss ss sI sb sb sb sb si so so so so}", "instance",
		control->settings->instance, "failure_domain",
		control->settings->failure_domain, "version",
		(json_int_t)gc_membership_version(control->members),
		"in_effect", gc_membership_in_effect(control->members, now),
		"leaving", gc_membership_leaving(control->members), "watcher",
		gc_membership_is_watcher(control->members, now), "may_accept",
		gc_membership_may_accept_changes(control->members, now),
		"known_daemons", (int)gc_membership_known(control->members),
		"versions", daemons.versions, "daemons", daemons.list,
		"engines", instances(control->engines_health, now), "services",
		instances(control->services_health, now));
}
