/* Edits of configuration documents, without checks of their content. */
#ifndef GC_CORE_CONFIG_EDIT_H
#define GC_CORE_CONFIG_EDIT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/* Changes whose nonces a document keeps. */
#define GC_CONFIG_NONCES 16

/* Applies a JSON merge patch (RFC 7386); returns a new document. */
json_t *gc_config_merge(json_t *target, json_t *patch);
/*
 * Sorted array of the paths ("accounts.NAME.weight") of the values that
 * differ, without those of the version and the list of changes.
 */
json_t *gc_config_changed_paths(json_t *old_document, json_t *new_document);
/*
 * Sets the version and puts the change in front of the list of changes, so
 * that its author can find it after later ones.
 */
void gc_config_stamp(json_t *document, uint64_t version, const char *nonce,
		     const char *daemon);
/* Version that the change with this nonce made, 0 if it isn't listed. */
uint64_t gc_config_find_nonce(json_t *document, const char *nonce);

#endif
