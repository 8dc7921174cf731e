/* Changes to configuration documents; does not check their content. */
#ifndef GC_CORE_CONFIG_EDIT_H
#define GC_CORE_CONFIG_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/* A document lists this many of its latest changes, with their nonces. */
#define GC_CONFIG_MAX_CHANGES 16

/* Applies a JSON merge patch (RFC 7386); returns a new document. */
json_t *gc_config_merge(json_t *target, json_t *patch);
/*
 * Sorted array of the paths ("accounts.NAME.weight") of the values that differ,
 * except the version and the list of changes. Returns a new reference.
 */
json_t *gc_config_changed_paths(json_t *old_document, json_t *new_document);
/*
 * Sets the version and puts the change first in the list of changes. A daemon
 * whose write had no definite result finds its change there by the nonce, also
 * after later changes.
 */
void gc_config_record_change(json_t *document, uint64_t version,
			     const char *nonce, const char *daemon);
/* Version that the change with this nonce made; 0 if it is not listed. */
uint64_t gc_config_version_of_nonce(json_t *document, const char *nonce);

#endif
