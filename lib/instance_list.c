/* Parses answers to instance list queries (docs/design.md section 12). */
#include <string.h>

#include "core/types.h"
#include "lib/instance_list.h"

static bool all_checks_pass(json_t *entry);
static bool parse_instance(json_t *entry, GStringChunk *strings,
			   gc_instance_list_entry_t *instance);
static const char *get_label(const gc_instance_list_entry_t *instance,
			     const char *name);

static bool all_checks_pass(json_t *entry)
{
	json_t *checks = json_object_get(entry, "Checks");
	json_t *check;
	size_t i;

	json_array_foreach (checks, i, check) {
		const char *status =
			json_string_value(json_object_get(check, "Status"));

		if (!status || strcmp(status, "passing") != 0)
			return false;
	}
	return true;
}

static const char *get_label(const gc_instance_list_entry_t *instance,
			     const char *name)
{
	return json_string_value(json_object_get(instance->labels, name));
}

static bool parse_instance(json_t *entry, GStringChunk *strings,
			   gc_instance_list_entry_t *instance)
{
	json_t *service = json_object_get(entry, "Service");
	const char *id = json_string_value(json_object_get(service, "ID"));
	const char *address =
		json_string_value(json_object_get(service, "Address"));
	json_t *port = json_object_get(service, "Port");
	g_autofree char *url = NULL;

	if (!id || !*id || strlen(id) >= GC_NAME_MAX || !address ||
	    !json_is_integer(port) || !all_checks_pass(entry))
		return false;
	url = g_strdup_printf("http://%s:%d", address,
			      (int)json_integer_value(port));
	instance->name = gc_str(id);
	instance->url = gc_str(g_string_chunk_insert(strings, url));
	instance->labels = json_object_get(service, "Meta");
	instance->failure_domain =
		gc_str(get_label(instance, "failure_domain"));
	instance->leaving =
		g_strcmp0(get_label(instance, "state"), "leaving") == 0;
	return true;
}

gc_instance_list_entry_t *
gc_instance_list_parse(json_t *answer, GStringChunk *strings, size_t *n)
{
	gc_instance_list_entry_t *instances =
		g_new0(gc_instance_list_entry_t, json_array_size(answer) + 1);
	json_t *entry;
	size_t i;

	*n = 0;
	json_array_foreach (answer, i, entry) {
		if (parse_instance(entry, strings, &instances[*n]))
			(*n)++;
	}
	return instances;
}

gc_member_descriptor_t *
gc_instance_list_parse_daemons(json_t *answer, GStringChunk *strings, size_t *n)
{
	gc_instance_list_entry_t *instances =
		gc_instance_list_parse(answer, strings, n);
	gc_member_descriptor_t *daemons =
		g_new0(gc_member_descriptor_t, *n + 1);

	for (size_t i = 0; i < *n; i++)
		daemons[i] = (gc_member_descriptor_t){
			.name = instances[i].name,
			.failure_domain = instances[i].failure_domain,
			.peer_url =
				gc_str(get_label(&instances[i], "peer_url")),
			.caller_url = instances[i].url,
			.leaving = instances[i].leaving,
		};
	g_free(instances);
	return daemons;
}
