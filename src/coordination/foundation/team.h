/**
 * A team and the resources that the work of the team uses. The settings give each team guaranteed
 * cores (`cpus`) and a limit (`cpus_max`).
 */
#ifndef MV_TEAM_H
#define MV_TEAM_H
#include "config/settings.h"
#include "protocol/messages.h"

typedef struct mv_shard mv_shard;

/**
 * A team. Resource use covers the placements that this controller knows; the unit is cores unless
 * the field names another.
 */
typedef struct {
    const mv_team_settings *settings;
    mv_shard *home_shard; /**< the shard that runs all jobs of a team with a guarantee or a limit */
    double used_cores, used_gpus; /**< used by placements */
    double stopping_cores;        /**< used by tasks that are stopping */
    /* latency-sensitive work */
    double latency_sensitive_cores;         /**< used by placed tasks of latency-sensitive jobs */
    double latency_sensitive_job_cores;     /**< smoothed size of a latency-sensitive job */
    mv_priority latency_sensitive_priority; /**< priority of the latest latency-sensitive job */
    /* within a scheduling round */
    double preemptible_cores; /**< used by tasks with checkpoints that have a lower priority than
                                 the team's latency-sensitive work */
    double nominated_cores;   /**< needed by pending tasks for which a machine is nominated */
    double reserved_cores;    /**< cores of the limit that are kept free for a starved job */
    double service_cores;     /**< used by replicas */
} mv_team;
#endif
