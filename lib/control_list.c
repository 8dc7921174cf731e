/* Parses answers of the instance list (docs/design.md section 12). */
#include <string.h>

#include "core/types.h"
#include "lib/control_list.h"

static bool is_passing(json_t *entry);
static bool parse_entry(json_t *entry, GStringChunk *strings,
			gc_instance_list_entry_t *listed);
static const char *label(const gc_instance_list_entry_t *listed,
			 const char *name);

static bool is_passing(json_t *entry)
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

static const char *label(const gc_instance_list_entry_t *listed,
			 const char *name)
{
	return json_string_value(json_object_get(listed->labels, name));
}

static bool parse_entry(json_t *entry, GStringChunk *strings,
			gc_instance_list_entry_t *listed)
{
	json_t *service = json_object_get(entry, "Service");
	const char *id = json_string_value(json_object_get(service, "ID"));
	const char *address =
		json_string_value(json_object_get(service, "Address"));
	json_t *port = json_object_get(service, "Port");
	g_autofree char *url = NULL;

	if (!id || !*id || strlen(id) >= GC_NAME_MAX || !address ||
	    !json_is_integer(port) || !is_passing(entry))
		return false;
	url = g_strdup_printf("http://%s:%d", address,
			      (int)json_integer_value(port));
	listed->name = gc_str(id);
	listed->url = gc_str(g_string_chunk_insert(strings, url));
	listed->labels = json_object_get(service, "Meta");
	listed->failure_domain = gc_str(label(listed, "failure_domain"));
	listed->leaving = g_strcmp0(label(listed, "state"), "leaving") == 0;
	return true;
}

gc_instance_list_entry_t *gc_list_instances(json_t *answer,
					    GStringChunk *strings, size_t *n)
{
	gc_instance_list_entry_t *list =
		g_new0(gc_instance_list_entry_t, json_array_size(answer) + 1);
	json_t *entry;
	size_t i;

	*n = 0;
	json_array_foreach (answer, i, entry) {
		if (parse_entry(entry, strings, &list[*n]))
			(*n)++;
	}
	return list;
}

gc_member_descriptor_t *gc_list_daemons(json_t *answer, GStringChunk *strings,
					size_t *n)
{
	gc_instance_list_entry_t *listed =
		gc_list_instances(answer, strings, n);
	gc_member_descriptor_t *daemons =
		g_new0(gc_member_descriptor_t, *n + 1);

	for (size_t i = 0; i < *n; i++)
		daemons[i] = (gc_member_descriptor_t){
			.name = listed[i].name,
			.failure_domain = listed[i].failure_domain,
			.peer_url = gc_str(label(&listed[i], "peer_url")),
			.caller_url = listed[i].url,
			.leaving = listed[i].leaving,
		};
	g_free(listed);
	return daemons;
}
