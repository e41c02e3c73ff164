/**
 * The checked settings of a controller: the platform's settings (a TOML file) and the operators'
 * settings (a YAML file).
 *
 * The controller loads the settings at its start and does not change them afterwards, so any thread
 * may read them.
 */
#ifndef MV_SETTINGS_H
#define MV_SETTINGS_H
#include "config/endpoint.h"
#include "config/settings_error.h"
#include "constants.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Another controller of the deployment. */
typedef struct {
    char name[MV_NAME_SIZE];
    char area[MV_NAME_SIZE];
    mv_endpoint endpoint;
} mv_peer_settings;

/** A team, its guaranteed resources (cpus, gpus) and its limit (cpus_max, gpus_max). 0 means no
 * guarantee or no limit. */
typedef struct {
    char name[MV_NAME_SIZE];
    double cpus, cpus_max, gpus, gpus_max;
} mv_team_settings;

/** What a service-level objective limits. */
typedef enum {
    MV_OBJECTIVE_DEADLINE,
    MV_OBJECTIVE_WAIT,
    MV_OBJECTIVE_FINISHED,
    MV_OBJECTIVE_GUARANTEE,
    MV_OBJECTIVE_OTHER /* a kind that this version does not implement */
} mv_objective_kind;

/** A service-level objective. */
typedef struct {
    mv_objective_kind kind;
    char kind_name[32];            /* the kind as the file writes it */
    char class_name[MV_NAME_SIZE]; /* the objective applies to jobs of this class; empty: all */
    double within_s, target_share;
} mv_objective;

/** What a controller may launch while no controller reaches the state service. */
typedef enum {
    MV_LAUNCH_WHILE_LEASED, /* all work, until the lease of the controller's shard expires */
    MV_LAUNCH_WITHIN_QUOTA, /* work within a team's guarantee, and services */
    MV_LAUNCH_NEVER         /* nothing */
} mv_launch_without_state;

/**
 * How a controller classifies the failure when the state service does not answer and the controller
 * cannot ask any other controller either.
 */
typedef enum {
    MV_WITHOUT_WITNESS_ISOLATED, /* this controller is isolated */
    MV_WITHOUT_WITNESS_OUTAGE    /* the state service has an outage */
} mv_launch_without_witness;

/**
 * Settings that operators may tune. MV_OPERATOR_SETTINGS_DEFAULT holds the defaults, most of which
 * are named in constants.h.
 */
typedef struct {
    double image_wait_s;        /* longest wait of a task for a machine that has the image */
    double shard_lease_s;       /* upper bound of a shard's lease, see mv_settings_shard_lease_s */
    double idle_timeout_s;      /* an idle machine is scaled in after this time */
    double boot_timeout_factor; /* boot timeout as a multiple of the nominal boot time */
    unsigned shards;            /* 0: the number of shards depends on the size of the fleet */
    unsigned idle_machine_allowance; /* idle machines of a shard that are not scaled in */
    bool launch_gate;                /* true: an isolated controller launches no task */
    mv_launch_without_state launch_without_state;
    mv_launch_without_witness launch_without_witness;
} mv_operator_settings;

/** All settings. */
typedef struct {
    char node_name[MV_NAME_SIZE];
    char area[MV_NAME_SIZE];
    mv_endpoint listen, peer_endpoint, cloud, state_store;
    mv_peer_settings *peers; /* owned, as are all lists in this structure */
    size_t peer_count;
    unsigned controller_count; /* in the deployment, with this controller */
    double clock_offset_max_s; /* largest difference between the wall clocks of two machines */
    mv_team_settings *teams;
    size_t team_count;
    mv_objective *objectives;
    size_t objective_count;
    double report_s; /* interval between two heartbeats of an agent */
    double lease_s;  /* an agent that reaches no controller for this time stops its tasks */
    double cancel_s; /* the tasks of a cancelled job must have ended within this time */
    double state_store_rps, state_store_write_rps; /* limits of the state service, per second */
    double value_kb;                               /* largest value that the state service stores */
    unsigned transaction_writes; /* most writes in one transaction of the state service */
    double cloud_rps;            /* limit of requests per second to the cloud */
    double machine_list_lag_s;   /* largest age of the cloud's list of machines */
    unsigned max_connections;    /* most sockets of this controller */
    double ram_mb;               /* memory of this controller, in megabytes */
    mv_operator_settings operator_settings;
} mv_settings;

/**
 * Loads and checks the platform's file and, unless `operator_path` is NULL, the operators' file.
 * The caller frees the result with mv_settings_free. On success `*error` is NULL. On failure the
 * result is NULL and `*error` holds the first error, which the caller frees.
 */
mv_settings *mv_settings_load(const char *path, const char *operator_path,
                              mv_settings_error **error);

/** Frees settings. NULL is allowed. */
void mv_settings_free(mv_settings *settings);

/** Returns the team of this name, which the settings own, or NULL if there is no such team. */
const mv_team_settings *mv_settings_find_team(const mv_settings *settings, const char *name);

/**
 * Returns the length of a shard's lease in seconds: how long the shard's owner may act after its
 * last contact with the state service.
 */
double mv_settings_shard_lease_s(const mv_settings *settings);

/**
 * Returns the longest time in seconds after which an owner of a shard that has not learnt of a
 * cancellation can still start a task of the job: the shard's lease, by the clock of another
 * controller, and the time for which an agent accepts the response to a heartbeat.
 */
double mv_settings_launch_bound_s(const mv_settings *settings);

/**
 * Returns the longest time in seconds until the tasks of a cancelled job have ended if their
 * shard's owner is not told of the cancellation. This is the sum of the terms that docs/SAFETY.md
 * names under "ran_cancelled".
 */
double mv_settings_cancel_bound_s(const mv_settings *settings);
#endif
