/* Changes to the configuration by compare-and-swap on its version. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "goldcrestctl.h"

/* Attempts at a patch that conflicts only with changes to other objects. */
#define MAX_PATCH_ATTEMPTS 5

static ctl_exit_t patch_once(const ctl_t *ctl, uint64_t version, json_t *patch,
			     json_t **conflict);
static void print_version(const ctl_t *ctl, const ctl_response_t *response);
static void print_conflict(const ctl_t *ctl, json_t *conflict);
static bool may_affect(json_t *changed, const char *object_path);
static bool paths_overlap(const char *path, const char *object_path);

ctl_exit_t ctl_get_version(const ctl_t *ctl, uint64_t *version)
{
	ctl_exit_t result = CTL_OK;
	ctl_response_t response;

	ctl_request(ctl, "GET", "/v1/config", NULL, NULL, &response);
	*version = 0;
	if (response.status == 200)
		*version = json_integer_value(
			json_object_get(response.body, "version"));
	else if (response.status != 404)
		result = ctl_report_error(&response);
	ctl_response_clear(&response);
	return result;
}

ctl_exit_t ctl_patch(const ctl_t *ctl, uint64_t version, json_t *patch)
{
	json_t *conflict = NULL;
	ctl_exit_t result = patch_once(ctl, version, patch, &conflict);

	if (result == CTL_CONFLICT)
		print_conflict(ctl, conflict);
	json_decref(conflict);
	return result;
}

ctl_exit_t ctl_patch_object(const ctl_t *ctl, const char *object_path,
			    json_t *patch)
{
	json_t *conflict = NULL;
	ctl_exit_t result;
	uint64_t version;

	result = ctl_get_version(ctl, &version);
	for (unsigned int i = 0; i < MAX_PATCH_ATTEMPTS && result == CTL_OK;
	     i++) {
		json_decref(conflict);
		conflict = NULL;
		result = patch_once(ctl, version, patch, &conflict);
		if (result != CTL_CONFLICT)
			break;
		if (may_affect(json_object_get(conflict, "changed"),
			       object_path) ||
		    i + 1 == MAX_PATCH_ATTEMPTS) {
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

/* On CTL_CONFLICT, *conflict is the response body, a new reference. */
static ctl_exit_t patch_once(const ctl_t *ctl, uint64_t version, json_t *patch,
			     json_t **conflict)
{
	ctl_exit_t result = CTL_OK;
	ctl_response_t response;
	char if_match[24];

	g_snprintf(if_match, sizeof(if_match), "%" PRIu64, version);
	ctl_request(ctl, "PATCH", "/v1/config", if_match, patch, &response);
	if (response.status == 412) {
		*conflict = json_incref(response.body);
		result = CTL_CONFLICT;
	} else if (response.status == 200) {
		print_version(ctl, &response);
	} else if (response.status == 202) {
		print_version(ctl, &response);
		fprintf(stderr,
			"goldcrestctl: change committed, but fewer than "
			"half of the daemons have received it\n");
		result = CTL_NOT_IN_EFFECT;
	} else {
		result = ctl_report_error(&response);
	}
	ctl_response_clear(&response);
	return result;
}

static void print_version(const ctl_t *ctl, const ctl_response_t *response)
{
	json_t *version = json_object_get(response->body, "version");

	if (ctl->json) {
		json_dumpf(response->body, stdout,
			   JSON_COMPACT | JSON_SORT_KEYS);
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
		fprintf(stderr, "the list of changed paths is not available\n");
	json_array_foreach (changed, i, path)
		fprintf(stderr, "changed: %s\n", json_string_value(path));
}

/* True also if the response does not list the changed paths. */
static bool may_affect(json_t *changed, const char *object_path)
{
	json_t *path;
	size_t i;

	if (!json_is_array(changed))
		return true;
	json_array_foreach (changed, i, path) {
		if (paths_overlap(json_string_value(path), object_path))
			return true;
	}
	return false;
}

/* True if the paths are equal or one contains the other. */
static bool paths_overlap(const char *path, const char *object_path)
{
	size_t path_len = strlen(path);
	size_t object_len = strlen(object_path);
	size_t common_len = MIN(path_len, object_len);
	const char *longer = path_len > object_len ? path : object_path;

	if (strncmp(path, object_path, common_len) != 0)
		return false;
	return longer[common_len] == '\0' || longer[common_len] == '.';
}
