/* The operator's configuration as a checked, immutable object. */
#ifndef GC_CORE_CONFIG_H
#define GC_CORE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "core/str.h"
#include "core/types.h"

/* One version; shared between threads by gc_config_ref and gc_config_unref. */
typedef struct gc_config gc_config_t;

typedef struct gc_account {
	gc_str_t name;
	uint32_t weight; /* relative share of capacity, at least 1 */
	uint32_t max_in_flight; /* requests in flight; 0: no limit */
	gc_policy_t policy;
} gc_account_t;

typedef struct gc_service {
	gc_str_t name;
	gc_str_t status_path; /* of the status query; "{key}" is replaced */
	bool checks_fencing;
} gc_service_t;

/* An instance and its labels, an object of strings. */
typedef struct gc_labelled_instance {
	gc_str_t name;
	json_t *labels;
} gc_labelled_instance_t;

/*
 * Parses and checks a document (docs/design.md section 5) and keeps a copy.
 * Errors: GC_ERR_INVALID, one line per invalid value that starts with its path.
 */
gc_config_t *gc_config_parse(json_t *document, GError **err);
gc_config_t *gc_config_ref(gc_config_t *config);
void gc_config_unref(gc_config_t *config);

uint64_t gc_config_version(const gc_config_t *config);
/* The document; owned by config. */
json_t *gc_config_document(const gc_config_t *config);

/*
 * Checks that every selector matches an instance and that no instance is in
 * pools of both kinds. Errors: GC_ERR_INVALID with the path.
 */
bool gc_config_check_selectors(const gc_config_t *config,
			       const gc_labelled_instance_t *instances,
			       size_t n, GError **err);

/* The client account of a bearer key, by its SHA-256; NULL if none. */
const gc_account_t *gc_config_account_by_key(const gc_config_t *config,
					     gc_str_t bearer_key);
const gc_service_t *gc_config_service(const gc_config_t *config, gc_str_t name);
bool gc_config_has_model(const gc_config_t *config, gc_str_t model);
/* Calls fn with the name of each model, in alphabetical order. */
void gc_config_foreach_model(const gc_config_t *config,
			     void (*fn)(void *ctx, gc_str_t model), void *ctx);

/* True if the operator marked the instance as departing. */
bool gc_config_is_departing(const gc_config_t *config, gc_str_t instance);
/*
 * The labels of the instance list (NULL: none) with those that the operator set
 * or replaced. Returns a new reference.
 */
json_t *gc_config_merge_labels(const gc_config_t *config, gc_str_t instance,
			       json_t *listed);
/*
 * True if an engine with these labels serves the model and the selector of the
 * account (NULL: none) admits it.
 */
bool gc_config_serves_model(const gc_config_t *config,
			    const gc_account_t *account, gc_str_t model,
			    json_t *labels);
/*
 * True if a backend server with these labels serves the service and the
 * selector of the account (NULL: none) admits it.
 */
bool gc_config_serves_service(const gc_config_t *config,
			      const gc_account_t *account, gc_str_t service,
			      json_t *labels);

#endif
