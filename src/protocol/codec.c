/** Unpacks MessagePack bodies and reads their fields by name. */
#include "protocol/codec.h"

#include "protocol/document_check.h"

#include "constants.h"

#include <math.h>
#include <string.h>

#define AMOUNT_MAX 1e9 /* a larger amount of any resource or time is treated as an error */

struct mv_document {
    msgpack_unpacked unpacked;
    char *bytes; /* owned; the unpacked texts point into these bytes */
};

mv_document *mv_document_parse(const void *bytes, size_t size)
{
    if (!bytes || !mv_document_is_well_formed(bytes, size))
        return NULL;
    mv_document *document = g_new0(mv_document, 1);
    msgpack_unpacked_init(&document->unpacked);
    document->bytes = g_memdup2(bytes, size);
    size_t offset = 0;
    if (msgpack_unpack_next(&document->unpacked, document->bytes, size, &offset) ==
        MSGPACK_UNPACK_SUCCESS)
        return document;
    mv_document_free(document);
    return NULL;
}

void mv_document_free(mv_document *document)
{
    if (!document)
        return;
    msgpack_unpacked_destroy(&document->unpacked);
    g_free(document->bytes);
    g_free(document);
}

const msgpack_object *mv_document_root(const mv_document *document)
{
    return &document->unpacked.data;
}

bool mv_text_is(const msgpack_object *object, const char *text)
{
    return object && object->type == MSGPACK_OBJECT_STR && object->via.str.size == strlen(text) &&
           memcmp(object->via.str.ptr, text, object->via.str.size) == 0;
}

int mv_text_index(const msgpack_object *object, const char *const *texts, int count)
{
    for (int i = 0; i < count; i++)
        if (mv_text_is(object, texts[i]))
            return i;
    return -1;
}

bool mv_text_copy(const msgpack_object *object, char *out, size_t size)
{
    if (!object || object->type != MSGPACK_OBJECT_STR)
        return false;
    const msgpack_object_str *text = &object->via.str;
    const bool fits = text->size < size;
    if (!fits || memchr(text->ptr, 0, text->size) || !g_utf8_validate(text->ptr, text->size, NULL))
        return false;
    memcpy(out, text->ptr, text->size);
    out[text->size] = 0;
    return true;
}

GPtrArray *mv_text_list_copy(const msgpack_object_array *list)
{
    GPtrArray *texts = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < list->size; i++) {
        char text[MV_NAME_SIZE];
        if (mv_text_copy(&list->ptr[i], text, sizeof text))
            g_ptr_array_add(texts, g_strdup(text));
    }
    return texts;
}

const msgpack_object *mv_field_find(const msgpack_object *map, const char *name)
{
    if (!map || map->type != MSGPACK_OBJECT_MAP)
        return NULL;
    for (uint32_t i = 0; i < map->via.map.size; i++)
        if (mv_text_is(&map->via.map.ptr[i].key, name)) {
            const msgpack_object *object = &map->via.map.ptr[i].val;
            return object->type == MSGPACK_OBJECT_NIL ? NULL : object;
        }
    return NULL;
}

mv_field_result mv_field_read_text(const msgpack_object *map, const char *name, char *out,
                                   size_t size)
{
    const msgpack_object *object = mv_field_find(map, name);
    out[0] = 0;
    if (!object)
        return MV_FIELD_ABSENT;
    return mv_text_copy(object, out, size) ? MV_FIELD_PRESENT : MV_FIELD_INVALID;
}

mv_field_result mv_field_read_u64(const msgpack_object *map, const char *name, uint64_t *out)
{
    const msgpack_object *object = mv_field_find(map, name);
    if (!object)
        return MV_FIELD_ABSENT;
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return MV_FIELD_INVALID;
    *out = object->via.u64;
    return MV_FIELD_PRESENT;
}

mv_field_result mv_field_read_number(const msgpack_object *map, const char *name, double *out)
{
    const msgpack_object *object = mv_field_find(map, name);
    if (!object)
        return MV_FIELD_ABSENT;
    switch (object->type) {
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64:
        *out = object->via.f64;
        break;
    case MSGPACK_OBJECT_POSITIVE_INTEGER:
        *out = (double)object->via.u64;
        break;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER:
        *out = (double)object->via.i64;
        break;
    default:
        return MV_FIELD_INVALID;
    }
    return isfinite(*out) ? MV_FIELD_PRESENT : MV_FIELD_INVALID;
}

bool mv_field_read_amount(const msgpack_object *map, const char *name, double *out)
{
    return mv_field_read_number(map, name, out) == MV_FIELD_PRESENT && *out >= 0 &&
           *out <= AMOUNT_MAX;
}

mv_field_result mv_field_read_bool(const msgpack_object *map, const char *name, bool *out)
{
    const msgpack_object *object = mv_field_find(map, name);
    if (!object)
        return MV_FIELD_ABSENT;
    if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return MV_FIELD_INVALID;
    *out = object->via.boolean;
    return MV_FIELD_PRESENT;
}

const msgpack_object_array *mv_field_read_list(const msgpack_object *map, const char *name)
{
    const msgpack_object *object = mv_field_find(map, name);
    return object && object->type == MSGPACK_OBJECT_ARRAY ? &object->via.array : NULL;
}
