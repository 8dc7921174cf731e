/*
 * Whether this daemon reaches any backend server of a service, by what its links
 * show: connections that can't be made or that break without a response, against
 * responses. Once the daemon is cut off, only a response on a new connection ends
 * that, as connections that were open before may live on while new ones fail.
 */
#ifndef GC_CORE_REACH_H
#define GC_CORE_REACH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <talloc.h>

#include "core/str.h"

typedef struct gc_reach gc_reach_t;

gc_reach_t *gc_reach_create(TALLOC_CTX *mem);
/* A server of the service has sent something. On a connection that was open before,
 * that says nothing about new ones. */
void gc_reach_record_response(gc_reach_t *reach, struct timespec now,
			      gc_str_t service, bool new_connection);
/* The same to a try, on a new connection; true if the daemon was cut off from the
 * service until now. */
bool gc_reach_record_try(gc_reach_t *reach, struct timespec now,
			 gc_str_t service);
/* True if connections that were open before it was cut off brought a response
 * lately. */
bool gc_reach_has_kept(const gc_reach_t *reach, struct timespec now,
		       gc_str_t service);
/* The link to the server failed, at the connect or later; server: its incarnation. */
void gc_reach_record_failed(gc_reach_t *reach, struct timespec now,
			    gc_str_t service, uint64_t server, bool at_connect);
/*
 * To be asked when no server of the service can be used for its failures.
 * n_servers: those of the service. True if the daemon is cut off from now on; false
 * if the failures don't show that, or if it was cut off before. Of many servers,
 * more than two must have failed: a part of them may have crashed.
 */
bool gc_reach_judge(gc_reach_t *reach, struct timespec now, gc_str_t service,
		    size_t n_servers);
/*
 * A request to the server has been open since then without a byte from it. What
 * lies between may take and acknowledge all bytes, so that no link fails.
 */
void gc_reach_record_silent(gc_reach_t *reach, struct timespec now,
			    gc_str_t service, uint64_t server,
			    struct timespec since);
/*
 * True if so many servers have been silent for longer than a sound one is, that
 * another daemon is to be asked whether it reaches the service, at most each 400 ms.
 * heard_at: when any server of the service sent something.
 */
bool gc_reach_may_ask(gc_reach_t *reach, struct timespec now, gc_str_t service,
		      struct timespec heard_at, size_t n_servers);
/* A server that another daemon reaches gave this one no answer. True if this daemon
 * is cut off from now on. */
bool gc_reach_record_muted(gc_reach_t *reach, struct timespec now,
			   gc_str_t service, struct timespec heard_at);
bool gc_reach_is_cut_off(const gc_reach_t *reach, gc_str_t service);
/* Servers whose links failed since one responded. */
size_t gc_reach_n_failed(const gc_reach_t *reach, gc_str_t service);
/* Servers that are silent, as far as gc_reach_may_ask knew last. */
size_t gc_reach_n_silent(const gc_reach_t *reach, gc_str_t service);
/*
 * Time in ms until a link has to be tried, -1 if none has to be. *service is set
 * to a service from which the daemon is cut off.
 */
int64_t gc_reach_next_try_ms(const gc_reach_t *reach, struct timespec now,
			     gc_str_t *service);
/* Returns the number of the try, from 0, for a choice of servers in turn. */
unsigned int gc_reach_begin_try(gc_reach_t *reach, struct timespec now,
				gc_str_t service);

#endif
