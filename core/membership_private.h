/* Table of known daemons; private to members*.c. */
#ifndef GC_CORE_MEMBERSHIP_PRIVATE_H
#define GC_CORE_MEMBERSHIP_PRIVATE_H

#include <glib.h>

#include "core/clock.h"
#include "core/membership.h"

/* A daemon is live if it was heard within this many heartbeat intervals. */
#define LIVE_INTERVALS 6
/* A daemon that a complete list lacks is forgotten after this silence. */
#define FORGET_MS 30000

typedef struct member {
	char *name;
	char *failure_domain;
	char *peer_url;
	char *caller_url;
	uint64_t version;
	uint64_t stamp; /* the last one received */
	uint32_t boot; /* which run of the daemon the stamp is from */
	uint32_t known; /* daemons that it knows */
	uint32_t beats; /* heartbeats sent to it since it was first heard */
	bool heard;
	bool proven;
	bool voter;
	bool listed;
	bool leaving;
	struct timespec heard_at; /* arrival of the last heartbeat */
	struct timespec proven_at; /* it certainly was alive at this time */
} member_t;

struct gc_membership {
	gc_membership_conf_t conf;
	GHashTable *by_name; /* name -> member_t, not owned */
	GPtrArray *all; /* member_t, without this daemon */
	GPtrArray *seeds; /* peer URLs */
	uint32_t boot; /* distinguishes the runs of this daemon */
	bool leaving;
	bool list_read; /* one that has this daemon in it */
	bool voter;
	struct timespec read_failed_at; /* start of the last failed read */
	uint64_t version; /* content held */
	uint64_t newest; /* highest version heard of */
	uint64_t confirmed; /* version that was the newest ... */
	struct timespec confirmed_at; /* ... at this time */
};

uint64_t gc_membership_random(const gc_membership_t *members);
member_t *gc_membership_find(const gc_membership_t *members, gc_str_t name);
bool gc_membership_is_live(const gc_membership_t *members,
			   const member_t *member, struct timespec now);
/* True if heard within the time that a confirmation counts. */
bool gc_membership_is_proven(const gc_membership_t *members,
			     const member_t *member, struct timespec now);
/* Takes the version, confirmation and echo of a heartbeat. */
void gc_membership_learn(gc_membership_t *members, struct timespec now,
			 member_t *member, const gc_heartbeat_t *heartbeat);
uint64_t gc_membership_stamp(const gc_membership_t *members,
			     struct timespec now);
int64_t gc_membership_confirmed_age(const gc_membership_t *members,
				    struct timespec now);

#endif
