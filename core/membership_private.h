/* State of the membership; private to membership*.c. */
#ifndef GC_CORE_MEMBERSHIP_PRIVATE_H
#define GC_CORE_MEMBERSHIP_PRIVATE_H

#include <glib.h>

#include "core/clock.h"
#include "core/membership.h"

/* A peer is live if it sent a heartbeat within this many intervals. */
#define LIVE_HEARTBEAT_INTERVALS 6
/* A peer that a complete list lacks is removed after this silence. */
#define REMOVE_SILENT_MS 30000

/* A peer: a known daemon other than this one. */
typedef struct member {
	char *name;
	char *failure_domain;
	char *peer_url;
	char *caller_url;
	uint64_t version;
	uint64_t stamp; /* latest received, to be echoed */
	uint32_t incarnation; /* run of the peer that the stamp is from */
	uint32_t known; /* count of daemons that it knows */
	uint32_t heartbeats_sent; /* to the peer's current run, once heard */
	bool heard; /* a heartbeat was received */
	bool echoed; /* in the peer's current run; echoed_at is valid */
	bool voter;
	bool listed; /* in the latest instance list */
	bool leaving;
	struct timespec known_since;
	struct timespec heard_at; /* arrival of the last heartbeat */
	/* When the latest heartbeat that it echoed was sent by this daemon. */
	struct timespec echoed_at;
} member_t;

struct gc_membership {
	gc_membership_conf_t conf;
	GHashTable *by_name; /* name -> member_t, not owned */
	GPtrArray *peers; /* member_t, owned */
	GPtrArray *seeds; /* peer URLs */
	uint32_t incarnation; /* distinguishes the runs of this daemon */
	bool leaving;
	bool complete_list_read; /* one that has this daemon in it */
	bool voter;
	struct timespec read_failed_at; /* start of the last failed read */
	uint64_t version; /* of the configuration that this daemon has */
	uint64_t newest_version; /* highest version seen anywhere */
	uint64_t confirmed_version; /* latest one confirmed by the service */
	struct timespec confirmed_at; /* when it was certainly the newest */
};

uint64_t gc_membership_random(const gc_membership_t *membership);
member_t *gc_membership_find(const gc_membership_t *membership, gc_str_t name);
bool gc_membership_is_live(const gc_membership_t *membership,
			   const member_t *member, struct timespec now);
/*
 * True if the peer is not leaving and has echoed a heartbeat that this daemon
 * sent within the last confirm_ms.
 */
bool gc_membership_echoed_recently(const gc_membership_t *membership,
				   const member_t *member, struct timespec now);
/* Applies the version, confirmation and echo of a heartbeat. */
void gc_membership_apply_heartbeat(gc_membership_t *membership,
				   struct timespec now, member_t *member,
				   const gc_heartbeat_t *heartbeat);
/* Stamp for a heartbeat sent now. */
uint64_t gc_membership_stamp(const gc_membership_t *membership,
			     struct timespec now);
/* Age of the confirmation in ms; -1 if there is none or it has expired. */
int64_t gc_membership_confirmed_age(const gc_membership_t *membership,
				    struct timespec now);

#endif
