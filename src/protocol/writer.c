/** Writes MessagePack into a growing buffer. */
#include "protocol/writer.h"

#include <string.h>

mv_writer *mv_writer_new(void)
{
    mv_writer *writer = g_new0(mv_writer, 1);
    msgpack_sbuffer_init(&writer->buffer);
    msgpack_packer_init(&writer->packer, &writer->buffer, msgpack_sbuffer_write);
    return writer;
}

void mv_writer_free(mv_writer *writer)
{
    if (!writer)
        return;
    msgpack_sbuffer_destroy(&writer->buffer);
    g_free(writer);
}

GBytes *mv_writer_finish(mv_writer *writer)
{
    size_t size = writer->buffer.size;
    char *data = msgpack_sbuffer_release(&writer->buffer);
    mv_writer_free(writer);
    return g_bytes_new_with_free_func(data, size, free, data);
}

void mv_write_map(mv_writer *writer, size_t fields)
{
    msgpack_pack_map(&writer->packer, fields);
}

void mv_write_list(mv_writer *writer, size_t items)
{
    msgpack_pack_array(&writer->packer, items);
}

void mv_write_text(mv_writer *writer, const char *text)
{
    size_t size = strlen(text);
    msgpack_pack_str(&writer->packer, size);
    msgpack_pack_str_body(&writer->packer, text, size);
}

void mv_write_u64(mv_writer *writer, uint64_t value)
{
    msgpack_pack_uint64(&writer->packer, value);
}

void mv_write_number(mv_writer *writer, double value)
{
    msgpack_pack_double(&writer->packer, value);
}

void mv_write_bool(mv_writer *writer, bool value)
{
    if (value)
        msgpack_pack_true(&writer->packer);
    else
        msgpack_pack_false(&writer->packer);
}

void mv_write_nil(mv_writer *writer)
{
    msgpack_pack_nil(&writer->packer);
}

void mv_write_object(mv_writer *writer, const msgpack_object *object)
{
    msgpack_pack_object(&writer->packer, *object);
}

void mv_write_packed(mv_writer *writer, GBytes *packed)
{
    gsize size;
    const void *data = g_bytes_get_data(packed, &size);
    msgpack_sbuffer_write(&writer->buffer, data, size);
}

void mv_write_text_list(mv_writer *writer, const GPtrArray *texts)
{
    mv_write_list(writer, texts->len);
    for (guint i = 0; i < texts->len; i++)
        mv_write_text(writer, g_ptr_array_index(texts, i));
}

void mv_write_text_field(mv_writer *writer, const char *name, const char *value)
{
    mv_write_text(writer, name);
    mv_write_text(writer, value);
}

void mv_write_u64_field(mv_writer *writer, const char *name, uint64_t value)
{
    mv_write_text(writer, name);
    mv_write_u64(writer, value);
}

void mv_write_number_field(mv_writer *writer, const char *name, double value)
{
    mv_write_text(writer, name);
    mv_write_number(writer, value);
}

void mv_write_bool_field(mv_writer *writer, const char *name, bool value)
{
    mv_write_text(writer, name);
    mv_write_bool(writer, value);
}
