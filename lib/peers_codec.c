/*
 * Encoding and decoding of peer messages: msgpack arrays that begin with the
 * message kind and the sender's name. Arrays are smaller than maps with field
 * names, and heartbeats are most of the control traffic.
 */
#include "lib/peers_codec.h"
#include "core/types.h"

/* Longer URLs make a message malformed. */
#define URL_MAX_BYTES 128

typedef enum message_kind {
	KIND_HEARTBEAT = 1,
	KIND_CONFIG_PULL = 2,
	KIND_CONFIG = 3,
	KIND_ENGINE_DOWN = 4,
} message_kind_t;

typedef enum heartbeat_flag {
	FLAG_LEAVING = 1,
	FLAG_WANTS_REPLY = 2,
	FLAG_VOTER = 4,
} heartbeat_flag_t;

/* Kind, name, version, confirmed age, stamp, echo, known, flags. */
#define SHORT_HEARTBEAT_ELEMENTS 8
/* The above, then failure domain, peer URL, caller URL, hints. */
#define FULL_HEARTBEAT_ELEMENTS 12
/* Of a hint: name, failure domain, peer URL, caller URL. */
#define DESCRIPTOR_ELEMENTS 4

/*
 * Reads the elements of an array in order. ok becomes false at an element that
 * is missing or has the wrong type or size.
 */
typedef struct reader {
	const msgpack_object_array *array;
	uint32_t next_index;
	bool ok;
} reader_t;

static void pack_str(msgpack_packer *packer, gc_str_t s);
static void pack_descriptor(msgpack_packer *packer,
			    const gc_member_descriptor_t *descriptor);
static void begin_message(msgpack_packer *packer, msgpack_sbuffer *buffer,
			  size_t elements, message_kind_t kind, gc_str_t self);
static const msgpack_object *next_object(reader_t *reader,
					 msgpack_object_type type);
static gc_str_t read_str(reader_t *reader, size_t max);
static gc_str_t read_name(reader_t *reader);
static uint64_t read_uint(reader_t *reader);
static int64_t read_int(reader_t *reader);
static bool decode_array(const msgpack_object_array *array,
			 const gc_peers_ops_t *ops, void *ctx);
static bool decode_heartbeat(reader_t *reader, gc_str_t from,
			     const gc_peers_ops_t *ops, void *ctx);
static void read_hints(reader_t *reader, gc_heartbeat_t *heartbeat);
static bool decode_config_pull(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx);
static bool decode_config(reader_t *reader, gc_str_t from,
			  const gc_peers_ops_t *ops, void *ctx);
static bool decode_engine_down(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx);

static void pack_str(msgpack_packer *packer, gc_str_t s)
{
	msgpack_pack_str(packer, s.len);
	msgpack_pack_str_body(packer, s.data, s.len);
}

static void begin_message(msgpack_packer *packer, msgpack_sbuffer *buffer,
			  size_t elements, message_kind_t kind, gc_str_t self)
{
	msgpack_packer_init(packer, buffer, msgpack_sbuffer_write);
	msgpack_pack_array(packer, elements);
	msgpack_pack_uint8(packer, kind);
	pack_str(packer, self);
}

static void pack_descriptor(msgpack_packer *packer,
			    const gc_member_descriptor_t *descriptor)
{
	msgpack_pack_array(packer, DESCRIPTOR_ELEMENTS);
	pack_str(packer, descriptor->name);
	pack_str(packer, descriptor->failure_domain);
	pack_str(packer, descriptor->peer_url);
	pack_str(packer, descriptor->caller_url);
}

void gc_peers_encode_heartbeat(msgpack_sbuffer *buffer,
			       const gc_heartbeat_t *heartbeat)
{
	bool is_full = heartbeat->from.peer_url.len > 0;
	msgpack_packer packer;
	unsigned int flags = 0;

	if (heartbeat->from.leaving)
		flags |= FLAG_LEAVING;
	if (heartbeat->wants_reply)
		flags |= FLAG_WANTS_REPLY;
	if (heartbeat->voter)
		flags |= FLAG_VOTER;
	begin_message(&packer, buffer,
		      is_full ? FULL_HEARTBEAT_ELEMENTS
			      : SHORT_HEARTBEAT_ELEMENTS,
		      KIND_HEARTBEAT, heartbeat->from.name);
	msgpack_pack_uint64(&packer, heartbeat->version);
	msgpack_pack_int64(&packer, heartbeat->confirmed_age_ms);
	msgpack_pack_uint64(&packer, heartbeat->stamp);
	msgpack_pack_uint64(&packer, heartbeat->echo);
	msgpack_pack_uint32(&packer, heartbeat->known);
	msgpack_pack_uint8(&packer, flags);
	if (!is_full)
		return;
	pack_str(&packer, heartbeat->from.failure_domain);
	pack_str(&packer, heartbeat->from.peer_url);
	pack_str(&packer, heartbeat->from.caller_url);
	msgpack_pack_array(&packer, heartbeat->n_hints);
	for (size_t i = 0; i < heartbeat->n_hints; i++)
		pack_descriptor(&packer, &heartbeat->hints[i]);
}

void gc_peers_encode_config_pull(msgpack_sbuffer *buffer, gc_str_t self,
				 gc_str_t reply_to)
{
	msgpack_packer packer;

	begin_message(&packer, buffer, 3, KIND_CONFIG_PULL, self);
	pack_str(&packer, reply_to);
}

void gc_peers_encode_config(msgpack_sbuffer *buffer, gc_str_t self,
			    uint64_t version, gc_str_t document)
{
	msgpack_packer packer;

	begin_message(&packer, buffer, 4, KIND_CONFIG, self);
	msgpack_pack_uint64(&packer, version);
	pack_str(&packer, document);
}

void gc_peers_encode_engine_down(msgpack_sbuffer *buffer, gc_str_t self,
				 gc_str_t engine, int64_t age_ms)
{
	msgpack_packer packer;

	begin_message(&packer, buffer, 4, KIND_ENGINE_DOWN, self);
	pack_str(&packer, engine);
	msgpack_pack_int64(&packer, age_ms);
}

static const msgpack_object *next_object(reader_t *reader,
					 msgpack_object_type type)
{
	const msgpack_object *object;

	if (!reader->ok || reader->next_index >= reader->array->size) {
		reader->ok = false;
		return NULL;
	}
	object = &reader->array->ptr[reader->next_index++];
	if (object->type == type)
		return object;
	/* msgpack encodes positive signed numbers as unsigned. */
	if (type == MSGPACK_OBJECT_NEGATIVE_INTEGER &&
	    object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return object;
	reader->ok = false;
	return NULL;
}

static gc_str_t read_str(reader_t *reader, size_t max)
{
	const msgpack_object *object = next_object(reader, MSGPACK_OBJECT_STR);

	if (!object)
		return GC_STR_EMPTY;
	if (object->via.str.size > max) {
		reader->ok = false;
		return GC_STR_EMPTY;
	}
	return (gc_str_t){object->via.str.ptr, object->via.str.size};
}

/* Names become hash table keys, so they must be non-empty without a NUL. */
static gc_str_t read_name(reader_t *reader)
{
	gc_str_t name = read_str(reader, GC_NAME_MAX - 1);

	if (name.len == 0 || memchr(name.data, '\0', name.len))
		reader->ok = false;
	return name;
}

static uint64_t read_uint(reader_t *reader)
{
	const msgpack_object *object =
		next_object(reader, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return object ? object->via.u64 : 0;
}

static int64_t read_int(reader_t *reader)
{
	const msgpack_object *object =
		next_object(reader, MSGPACK_OBJECT_NEGATIVE_INTEGER);

	return object ? object->via.i64 : 0;
}

bool gc_peers_decode(gc_str_t message, const gc_peers_ops_t *ops, void *ctx)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, message.data, message.len,
				 &offset) == MSGPACK_UNPACK_SUCCESS &&
	     offset == message.len &&
	     unpacked.data.type == MSGPACK_OBJECT_ARRAY &&
	     decode_array(&unpacked.data.via.array, ops, ctx);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

static bool decode_array(const msgpack_object_array *array,
			 const gc_peers_ops_t *ops, void *ctx)
{
	reader_t reader = {.array = array, .ok = true};
	uint64_t kind = read_uint(&reader);
	gc_str_t from = read_name(&reader);

	if (!reader.ok)
		return false;
	switch (kind) {
	case KIND_HEARTBEAT:
		return decode_heartbeat(&reader, from, ops, ctx);
	case KIND_CONFIG_PULL:
		return decode_config_pull(&reader, from, ops, ctx);
	case KIND_CONFIG:
		return decode_config(&reader, from, ops, ctx);
	case KIND_ENGINE_DOWN:
		return decode_engine_down(&reader, from, ops, ctx);
	default:
		return false;
	}
}

static bool decode_heartbeat(reader_t *reader, gc_str_t from,
			     const gc_peers_ops_t *ops, void *ctx)
{
	gc_heartbeat_t heartbeat = {.from = {.name = from,
					     .failure_domain = GC_STR_EMPTY,
					     .peer_url = GC_STR_EMPTY,
					     .caller_url = GC_STR_EMPTY}};
	uint64_t flags;

	heartbeat.version = read_uint(reader);
	heartbeat.confirmed_age_ms = read_int(reader);
	heartbeat.stamp = read_uint(reader);
	heartbeat.echo = read_uint(reader);
	heartbeat.known = read_uint(reader);
	flags = read_uint(reader);
	heartbeat.from.leaving = flags & FLAG_LEAVING;
	heartbeat.wants_reply = flags & FLAG_WANTS_REPLY;
	heartbeat.voter = flags & FLAG_VOTER;
	if (reader->array->size == FULL_HEARTBEAT_ELEMENTS) {
		heartbeat.from.failure_domain =
			read_str(reader, GC_NAME_MAX - 1);
		heartbeat.from.peer_url = read_str(reader, URL_MAX_BYTES);
		heartbeat.from.caller_url = read_str(reader, URL_MAX_BYTES);
		read_hints(reader, &heartbeat);
	} else if (reader->array->size != SHORT_HEARTBEAT_ELEMENTS) {
		return false;
	}
	if (!reader->ok)
		return false;
	ops->heartbeat(ctx, &heartbeat);
	return true;
}

/* Reads the descriptors of other daemons in a full heartbeat. */
static void read_hints(reader_t *reader, gc_heartbeat_t *heartbeat)
{
	const msgpack_object *hints = next_object(reader, MSGPACK_OBJECT_ARRAY);

	if (!hints || hints->via.array.size > GC_MEMBERSHIP_MAX_HINTS) {
		reader->ok = false;
		return;
	}
	for (uint32_t i = 0; i < hints->via.array.size; i++) {
		const msgpack_object *element = &hints->via.array.ptr[i];
		reader_t descriptor_reader = {.array = &element->via.array,
					      .ok = true};
		gc_member_descriptor_t *descriptor;

		if (element->type != MSGPACK_OBJECT_ARRAY) {
			reader->ok = false;
			return;
		}
		descriptor = &heartbeat->hints[i];
		descriptor->name = read_name(&descriptor_reader);
		descriptor->failure_domain =
			read_str(&descriptor_reader, GC_NAME_MAX - 1);
		descriptor->peer_url =
			read_str(&descriptor_reader, URL_MAX_BYTES);
		descriptor->caller_url =
			read_str(&descriptor_reader, URL_MAX_BYTES);
		reader->ok = reader->ok && descriptor_reader.ok;
		heartbeat->n_hints++;
	}
}

static bool decode_config_pull(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx)
{
	gc_str_t reply_to = read_str(reader, URL_MAX_BYTES);

	if (!reader->ok)
		return false;
	ops->config_pull(ctx, from, reply_to);
	return true;
}

static bool decode_config(reader_t *reader, gc_str_t from,
			  const gc_peers_ops_t *ops, void *ctx)
{
	uint64_t version = read_uint(reader);
	gc_str_t document = read_str(reader, SIZE_MAX);

	if (!reader->ok)
		return false;
	ops->config(ctx, from, version, document);
	return true;
}

static bool decode_engine_down(reader_t *reader, gc_str_t from,
			       const gc_peers_ops_t *ops, void *ctx)
{
	gc_str_t engine = read_name(reader);
	int64_t age_ms = read_int(reader);

	if (!reader->ok)
		return false;
	ops->engine_down(ctx, from, engine, age_ms);
	return true;
}
