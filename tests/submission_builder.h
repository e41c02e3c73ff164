/**
 * Builds submissions for the tests of the codec: a valid submission, or a submission in which one
 * field is missing or has another value. The functions named `write_...` write the values to
 * replace a valid one; most of these values are not allowed.
 *
 * The fields are those of POST /v2/runs in the protocol documentation. The functions keep no state.
 */
#ifndef MV_SUBMISSION_BUILDER_H
#define MV_SUBMISSION_BUILDER_H
#include "protocol/messages.h"
#include "protocol/names.h"

#include <math.h>

/** Writes the value of one field. */
typedef void (*value_writer)(mv_writer *writer);

static inline void write_negative(mv_writer *writer)
{
    mv_write_number(writer, -1);
}

static inline void write_nan(mv_writer *writer)
{
    mv_write_number(writer, NAN);
}

static inline void write_infinity(mv_writer *writer)
{
    mv_write_number(writer, INFINITY);
}

static inline void write_unknown_word(mv_writer *writer)
{
    mv_write_text(writer, "nonsense");
}

static inline void write_fraction(mv_writer *writer)
{
    mv_write_number(writer, 3.5);
}

static inline void write_zero(mv_writer *writer)
{
    mv_write_u64(writer, 0);
}

static inline void write_too_many_tasks(mv_writer *writer)
{
    mv_write_u64(writer, MV_JOB_TASKS_MAX + 1);
}

static inline void write_list_of_numbers(mv_writer *writer)
{
    mv_write_list(writer, 1);
    mv_write_u64(writer, 1);
}

static inline void write_empty_list(mv_writer *writer)
{
    mv_write_list(writer, 0);
}

static inline void write_gang_shape(mv_writer *writer)
{
    mv_write_text(writer, "gang");
}

/** Writes the name of the service shape in the source code, which differs from its name in the
 * protocol. */
static inline void write_internal_service_shape(mv_writer *writer)
{
    mv_write_text(writer, "service");
}

static inline void write_service_shape(mv_writer *writer)
{
    mv_write_text(writer, WIRE_SERVICE);
}

/** The fields of a submission by type: texts with a valid value, numbers, booleans, and fields that
 * may be null. Together with WIRE_TASKS they are all fields of a submission. Only this header uses
 * these lists. */
static const char *const submission_texts[][2] = {
    {WIRE_ID, "j-000412"},    {WIRE_CLASS, "train"},      {WIRE_TEAM, "vision"},
    {WIRE_SHAPE, WIRE_BATCH}, {WIRE_PRIORITY, WIRE_HIGH}, {WIRE_IMAGE, "img-07"}};
static const char *const submission_numbers[] = {WIRE_CORES,
                                                 WIRE_GPUS,
                                                 WIRE_RAM_GB,
                                                 WIRE_IMAGE_GB,
                                                 WIRE_ESTIMATED_RUNTIME,
                                                 WIRE_CHECKPOINT_INTERVAL,
                                                 WIRE_CHECKPOINT_COST};
static const char *const submission_flags[] = {WIRE_SAME_ZONE, WIRE_SPREAD_ZONES, WIRE_SPOT};
static const char *const submission_nullable[] = {WIRE_MACHINE_TYPES, WIRE_ZONE, WIRE_DEADLINE};
#define SUBMISSION_FIELDS                                                                          \
    (G_N_ELEMENTS(submission_texts) + G_N_ELEMENTS(submission_numbers) +                           \
     G_N_ELEMENTS(submission_flags) + G_N_ELEMENTS(submission_nullable) + 1)

/** Writes all fields except the field `except` with valid values. Only pack_submission() calls this
 * function. */
static inline void write_valid_fields(mv_writer *writer, const char *except)
{
    for (size_t i = 0; i < G_N_ELEMENTS(submission_texts); i++)
        if (g_strcmp0(except, submission_texts[i][0]) != 0)
            mv_write_text_field(writer, submission_texts[i][0], submission_texts[i][1]);
    for (size_t i = 0; i < G_N_ELEMENTS(submission_numbers); i++)
        if (g_strcmp0(except, submission_numbers[i]) != 0)
            mv_write_number_field(writer, submission_numbers[i], 2.0);
    for (size_t i = 0; i < G_N_ELEMENTS(submission_flags); i++)
        if (g_strcmp0(except, submission_flags[i]) != 0)
            mv_write_bool_field(writer, submission_flags[i], false);
    if (g_strcmp0(except, WIRE_TASKS) != 0)
        mv_write_u64_field(writer, WIRE_TASKS, 16);
    for (size_t i = 0; i < G_N_ELEMENTS(submission_nullable); i++) {
        if (g_strcmp0(except, submission_nullable[i]) == 0)
            continue;
        mv_write_text(writer, submission_nullable[i]);
        mv_write_nil(writer);
    }
}

/** Returns a submission. If `replaced` is NULL, all fields are valid. Otherwise `write_value`
 * writes the value of the field `replaced`; if `write_value` is NULL, the field is left out. The
 * caller owns the bytes. */
static inline GBytes *pack_submission(const char *replaced, value_writer write_value)
{
    mv_writer *writer = mv_writer_new();
    const bool left_out = replaced && !write_value;
    mv_write_map(writer, SUBMISSION_FIELDS - left_out);
    write_valid_fields(writer, replaced);
    if (replaced && write_value) {
        mv_write_text(writer, replaced);
        write_value(writer);
    }
    return mv_writer_finish(writer);
}
#endif
