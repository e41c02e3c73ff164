/** Feeds each field of an action or a response to the hash as text, in a fixed order. */
#include "behavior_fingerprint.h"

#include <inttypes.h>
#include <string.h>

/* --- values --- */

/* Feeds a text and a separator. The separator ends each value, so two adjacent values cannot be
 * mistaken for a single one. */
static void feed_text(behavior_fingerprint *fingerprint, const char *text)
{
    g_checksum_update(fingerprint->hash, (const guchar *)text, (gssize)strlen(text));
    g_checksum_update(fingerprint->hash, (const guchar *)"|", 1);
}

static void feed_count(behavior_fingerprint *fingerprint, uint64_t value)
{
    char text[32];
    g_snprintf(text, sizeof text, "%" PRIu64, value);
    feed_text(fingerprint, text);
}

static void feed_real(behavior_fingerprint *fingerprint, double value)
{
    char text[G_ASCII_DTOSTR_BUF_SIZE + 320];
    g_snprintf(text, sizeof text, "%.9f", value);
    feed_text(fingerprint, text);
}

/* Feeds the data of a write: its length, then its bytes. A write that removes a key has no data, so
 * "none" is fed instead. */
static void feed_bytes(behavior_fingerprint *fingerprint, GBytes *bytes)
{
    if (!bytes) {
        feed_text(fingerprint, "none");
        return;
    }
    gsize size = 0;
    const guchar *data = g_bytes_get_data(bytes, &size);
    feed_count(fingerprint, size);
    if (size > 0)
        g_checksum_update(fingerprint->hash, data, (gssize)size);
    feed_text(fingerprint, "");
}

/* Feeds the number of elements and returns it. If there is no array, feeds "none" and returns 0, so
 * the hash differs between a missing and an empty array. */
static guint feed_length(behavior_fingerprint *fingerprint, const GArray *array)
{
    if (!array) {
        feed_text(fingerprint, "none");
        return 0;
    }
    feed_count(fingerprint, array->len);
    return array->len;
}

static void feed_commands(behavior_fingerprint *fingerprint, const GArray *commands)
{
    guint length = feed_length(fingerprint, commands);
    for (guint i = 0; i < length; i++) {
        const mv_command *command = &g_array_index(commands, mv_command, i);
        feed_count(fingerprint, (uint64_t)command->kind);
        feed_text(fingerprint, command->job_id);
        feed_count(fingerprint, command->task);
        feed_count(fingerprint, command->attempt);
        feed_real(fingerprint, command->grace_period_s);
    }
}

static void feed_transaction_fields(behavior_fingerprint *fingerprint, const mv_action *action)
{
    guint length = feed_length(fingerprint, action->preconditions);
    for (guint i = 0; i < length; i++) {
        const mv_precondition *precondition =
            &g_array_index(action->preconditions, mv_precondition, i);
        feed_text(fingerprint, precondition->key);
        feed_count(fingerprint, precondition->revision);
    }
    length = feed_length(fingerprint, action->writes);
    for (guint i = 0; i < length; i++) {
        const mv_write *write = &g_array_index(action->writes, mv_write, i);
        feed_text(fingerprint, write->key);
        feed_bytes(fingerprint, write->data);
        feed_count(fingerprint, write->session_bound);
    }
    feed_count(fingerprint, action->urgent);
}

static void feed_command_fields(behavior_fingerprint *fingerprint, const mv_action *action)
{
    feed_text(fingerprint, action->machine);
    feed_text(fingerprint, action->address);
    feed_count(fingerprint, action->fencing_token);
    feed_count(fingerprint, action->agent_epoch);
    feed_count(fingerprint, action->timeout_ms);
    feed_commands(fingerprint, action->commands);
}

static void feed_cloud_fields(behavior_fingerprint *fingerprint, const mv_action *action)
{
    feed_text(fingerprint, action->name);
    feed_text(fingerprint, action->type_name);
    feed_text(fingerprint, action->zone_name);
    feed_count(fingerprint, action->spot);
    feed_count(fingerprint, action->count);
    if (!action->machine_names) {
        feed_text(fingerprint, "none");
        return;
    }
    feed_count(fingerprint, action->machine_names->len);
    for (guint i = 0; i < action->machine_names->len; i++)
        feed_text(fingerprint, g_ptr_array_index(action->machine_names, i));
}

static void feed_resource_demand(behavior_fingerprint *fingerprint,
                                 const mv_resource_demand *demand)
{
    feed_real(fingerprint, demand->cores);
    feed_real(fingerprint, demand->gpus);
    feed_real(fingerprint, demand->ram_gb);
    feed_real(fingerprint, demand->runtime_s);
    feed_real(fingerprint, demand->image_gb);
    feed_count(fingerprint, demand->type_mask);
    feed_text(fingerprint, demand->zone_name);
    feed_count(fingerprint, demand->spot);
    feed_count(fingerprint, demand->urgent);
    feed_count(fingerprint, demand->reserve);
    feed_count(fingerprint, demand->service);
    feed_count(fingerprint, demand->starving);
    feed_count(fingerprint, demand->count);
}

static void feed_machine_summary(behavior_fingerprint *fingerprint,
                                 const mv_machine_summary *summary)
{
    feed_text(fingerprint, summary->id);
    feed_real(fingerprint, summary->idle_s);
    feed_real(fingerprint, summary->since_heartbeat_s);
    feed_real(fingerprint, summary->used_cores);
    feed_real(fingerprint, summary->used_ram_gb);
    feed_real(fingerprint, summary->service_cores);
    feed_real(fingerprint, summary->service_ram_gb);
    feed_count(fingerprint, summary->needs_fencing);
    feed_count(fingerprint, summary->release_pending);
    feed_count(fingerprint, summary->failed);
    feed_count(fingerprint, summary->departing);
    feed_count(fingerprint, summary->transferable_revision);
    feed_count(fingerprint, summary->has_booted);
    feed_count(fingerprint, summary->recently_reported);
    feed_count(fingerprint, summary->evicted_for_services);
}

static void feed_demand(behavior_fingerprint *fingerprint, const mv_shard_demand *demand)
{
    if (!demand) {
        feed_text(fingerprint, "none");
        return;
    }
    feed_text(fingerprint, demand->node);
    feed_count(fingerprint, demand->incarnation);
    feed_count(fingerprint, demand->term);
    feed_count(fingerprint, demand->shard);
    feed_count(fingerprint, demand->resigning);
    guint length = feed_length(fingerprint, demand->demands);
    for (guint i = 0; i < length; i++)
        feed_resource_demand(fingerprint, &g_array_index(demand->demands, mv_resource_demand, i));
    length = feed_length(fingerprint, demand->machines);
    for (guint i = 0; i < length; i++)
        feed_machine_summary(fingerprint, &g_array_index(demand->machines, mv_machine_summary, i));
}

/* Feeds all fields of the action, including those that its kind does not use. If a controller sets
 * such a field needlessly, that is part of the behaviour too. */
static void feed_action(gpointer user, unsigned node, double now, const mv_action *action)
{
    behavior_fingerprint *fingerprint = user;
    fingerprint->actions++;
    feed_text(fingerprint, "action");
    feed_count(fingerprint, node);
    feed_real(fingerprint, now);
    feed_count(fingerprint, (uint64_t)action->kind);
    feed_count(fingerprint, action->id);
    feed_transaction_fields(fingerprint, action);
    feed_command_fields(fingerprint, action);
    feed_cloud_fields(fingerprint, action);
    feed_demand(fingerprint, action->demand);
    feed_text(fingerprint, action->to);
}

static void feed_response(gpointer user, unsigned node, double now,
                          const mv_heartbeat_response *response)
{
    behavior_fingerprint *fingerprint = user;
    fingerprint->responses++;
    feed_text(fingerprint, "answer");
    feed_count(fingerprint, node);
    feed_real(fingerprint, now);
    feed_count(fingerprint, (uint64_t)response->status);
    feed_count(fingerprint, response->fencing_token);
    feed_commands(fingerprint, response->commands);
    feed_text(fingerprint, response->redirect_to);
}

/* --- public --- */

behavior_fingerprint *behavior_fingerprint_new(void)
{
    behavior_fingerprint *fingerprint = g_new0(behavior_fingerprint, 1);
    fingerprint->hash = g_checksum_new(G_CHECKSUM_SHA256);
    fingerprint->witness =
        (sim_observer){.action = feed_action, .answer = feed_response, .user = fingerprint};
    return fingerprint;
}

const char *behavior_fingerprint_text(behavior_fingerprint *fingerprint)
{
    return g_checksum_get_string(fingerprint->hash);
}

void behavior_fingerprint_free(behavior_fingerprint *fingerprint)
{
    g_checksum_free(fingerprint->hash);
    g_free(fingerprint);
}
