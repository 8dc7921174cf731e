/* Capabilities in the entries of daemons. */
#include <string.h>

#include <glib.h>

#include "lib/capabilities.h"

static const struct {
	gc_capability_t capability;
	const char *name;
} names[] = {
	{GC_CAN_GRANT_PLACES, "places"},
	{GC_CAN_WITNESS, "witness"},
	{GC_CAN_ROLL_OUT, "rollouts"},
};

static uint32_t find(const char *name);

json_t *gc_capabilities_encode(uint32_t capabilities)
{
	json_t *list = json_array();

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (capabilities & names[i].capability)
			json_array_append_new(list, json_string(names[i].name));
	return list;
}

uint32_t gc_capabilities_decode(const json_t *entry)
{
	const json_t *list = json_object_get(entry, GC_CAPABILITIES_MEMBER);
	const char *forward =
		json_string_value(json_object_get(entry, "forward"));
	uint32_t capabilities = 0;

	/* The builds that were the first to take requests of other daemons have
	 * these two, and name none. */
	if (!list && forward && *forward)
		return GC_CAN_GRANT_PLACES | GC_CAN_WITNESS;
	for (size_t i = 0; i < json_array_size(list); i++)
		capabilities |=
			find(json_string_value(json_array_get(list, i)));
	return capabilities;
}

/* 0: none of this name. */
static uint32_t find(const char *name)
{
	for (size_t i = 0; name && i < G_N_ELEMENTS(names); i++)
		if (strcmp(names[i].name, name) == 0)
			return names[i].capability;
	return 0;
}
