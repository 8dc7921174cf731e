/* Changes of the configuration by compare-and-swap of its version. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "goldcrestctl.h"

/* Tries of a change whose object others don't touch. */
#define MAX_TRIES 5

static ctl_exit_t change_once(const ctl_t *ctl, uint64_t version, json_t *patch,
			      json_t **conflict);
static void print_change(const ctl_t *ctl, const ctl_answer_t *answer);
static void print_conflict(const ctl_t *ctl, json_t *conflict);
static bool touches(json_t *changed, const char *object);
static bool overlaps(const char *path, const char *object);

ctl_exit_t ctl_read_version(const ctl_t *ctl, uint64_t *version)
{
	ctl_exit_t result = CTL_OK;
	ctl_answer_t answer;

	ctl_request(ctl, "GET", "/v1/config", NULL, NULL, &answer);
	*version = 0;
	if (answer.status == 200)
		*version = json_integer_value(
			json_object_get(answer.body, "version"));
	else if (answer.status != 404)
		result = ctl_fail(&answer);
	ctl_answer_clear(&answer);
	return result;
}

ctl_exit_t ctl_change(const ctl_t *ctl, uint64_t version, json_t *patch)
{
	json_t *conflict = NULL;
	ctl_exit_t result = change_once(ctl, version, patch, &conflict);

	if (result == CTL_CONFLICT)
		print_conflict(ctl, conflict);
	json_decref(conflict);
	return result;
}

ctl_exit_t ctl_change_object(const ctl_t *ctl, const char *object,
			     json_t *patch)
{
	json_t *conflict = NULL;
	ctl_exit_t result;
	uint64_t version;

	result = ctl_read_version(ctl, &version);
	for (unsigned int i = 0; i < MAX_TRIES && result == CTL_OK; i++) {
		json_decref(conflict);
		conflict = NULL;
		result = change_once(ctl, version, patch, &conflict);
		if (result != CTL_CONFLICT)
			break;
		if (touches(json_object_get(conflict, "changed"), object) ||
		    i + 1 == MAX_TRIES) {
			print_conflict(ctl, conflict);
			break;
		}
		version = json_integer_value(
			json_object_get(conflict, "version"));
		result = CTL_OK;
	}
	json_decref(conflict);
	return result;
}

/* On CTL_CONFLICT, *conflict is the answer. */
static ctl_exit_t change_once(const ctl_t *ctl, uint64_t version, json_t *patch,
			      json_t **conflict)
{
	ctl_exit_t result = CTL_OK;
	ctl_answer_t answer;
	char if_match[24];

	g_snprintf(if_match, sizeof(if_match), "%" PRIu64, version);
	ctl_request(ctl, "PATCH", "/v1/config", if_match, patch, &answer);
	if (answer.status == 412) {
		*conflict = json_incref(answer.body);
		result = CTL_CONFLICT;
	} else if (answer.status == 200) {
		print_change(ctl, &answer);
	} else if (answer.status == 202) {
		print_change(ctl, &answer);
		fprintf(stderr, "goldcrestctl: written, but fewer than half of "
				"the daemons hold it so far\n");
		result = CTL_NOT_IN_EFFECT;
	} else {
		result = ctl_fail(&answer);
	}
	ctl_answer_clear(&answer);
	return result;
}

static void print_change(const ctl_t *ctl, const ctl_answer_t *answer)
{
	json_t *version = json_object_get(answer->body, "version");

	if (ctl->json) {
		json_dumpf(answer->body, stdout, JSON_COMPACT | JSON_SORT_KEYS);
		puts("");
		return;
	}
	printf("version %lld\n", (long long)json_integer_value(version));
}

static void print_conflict(const ctl_t *ctl, json_t *conflict)
{
	json_t *version = json_object_get(conflict, "version");
	json_t *changed = json_object_get(conflict, "changed");
	json_t *path;
	size_t i;

	if (ctl->json) {
		json_dumpf(conflict, stdout, JSON_COMPACT | JSON_SORT_KEYS);
		puts("");
		return;
	}
	fprintf(stderr, "goldcrestctl: conflict: the current version is %lld\n",
		(long long)json_integer_value(version));
	if (!json_is_array(changed))
		fprintf(stderr, "what changed is not known any more\n");
	json_array_foreach (changed, i, path)
		fprintf(stderr, "changed: %s\n", json_string_value(path));
}

/* If it isn't known what changed, it may be the object. */
static bool touches(json_t *changed, const char *object)
{
	json_t *path;
	size_t i;

	if (!json_is_array(changed))
		return true;
	json_array_foreach (changed, i, path) {
		if (overlaps(json_string_value(path), object))
			return true;
	}
	return false;
}

/* True if one is the other or lies below it. */
static bool overlaps(const char *path, const char *object)
{
	size_t path_len = strlen(path);
	size_t object_len = strlen(object);
	size_t shorter = MIN(path_len, object_len);
	const char *longer = path_len > object_len ? path : object;

	if (strncmp(path, object, shorter) != 0)
		return false;
	return longer[shorter] == '\0' || longer[shorter] == '.';
}
