/**
 * Specification of a job, in the form that users submit and that job records contain.
 *
 * Source: section "jobs" of the protocol page.
 */
#ifndef MV_JOB_SPEC_H
#define MV_JOB_SPEC_H
#include "constants.h"
#include "protocol/codec.h"

/** Priority of a job, from the most urgent to the least urgent. */
typedef enum {
    MV_PRIORITY_PROD,
    MV_PRIORITY_HIGH,
    MV_PRIORITY_STANDARD,
    MV_PRIORITY_IDLE
} mv_priority;

/** A job. All resource amounts apply to a single task. */
typedef struct {
    char id[MV_ID_SIZE];
    char class_name[MV_NAME_SIZE], team_name[MV_NAME_SIZE], image_name[MV_NAME_SIZE],
        zone_name[MV_NAME_SIZE];
    mv_priority priority;
    uint32_t tasks; /* number of tasks; of a service: number of replicas */
    double cores, gpus, ram_gb, image_gb;
    char (*type_names)[MV_NAME_SIZE]; /* allowed machine types, owned; NULL: any type */
    size_t type_name_count;
    bool service; /* the tasks are replicas, which run until the job is cancelled */
    bool has_zone, same_zone, spread_zones, spot;
    double estimated_runtime_s, checkpoint_interval_s, checkpoint_cost_s;
    double deadline_s; /* seconds from submission to deadline; negative: no deadline */
} mv_job_spec;

/** Returns whether `id` has the form of a job id: "j-", then digits; less than MV_ID_SIZE bytes. */
bool mv_job_id_valid(const char *id);

/**
 * Parses and validates a job. Returns NULL on success, otherwise the wire name of the first invalid
 * field (a static text that the error response shows to the user), or "not a map" if `object` is
 * not a map. The caller clears `out` in all cases.
 */
const char *mv_job_spec_parse(const msgpack_object *object, mv_job_spec *out);

/**
 * Writes the job as a map. The map has room for `extra_fields` further fields, which the caller
 * writes afterwards.
 */
void mv_job_spec_write(mv_writer *writer, const mv_job_spec *job, size_t extra_fields);

/** Frees the list of machine types in `job`, not `job` itself. */
void mv_job_spec_clear(mv_job_spec *job);
#endif
