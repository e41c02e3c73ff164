/**
 * Access of the simulated controllers to the state store: transactions, sessions, the list of
 * records and the watch for changes.
 *
 * A transaction can be delayed by up to a minute, so that the state store applies the transaction
 * after the sender has given up. A transaction can also be applied while its response is lost.
 */
#include "sim_internal.h"

#include "controller_probe.h"
#include "protocol/names.h"

#include <string.h>

#define LEASE_CHECK_INTERVAL_S 0.05
/* When a controller lists all records again, a page has at least one record and fewer than this. */
#define RELIST_PAGE_LIMIT 12

/* --- transactions --- */

static bool preconditions_hold(const sim *simulation, const mv_action *action)
{
    for (guint i = 0; i < action->preconditions->len; i++) {
        const mv_precondition *precondition =
            &g_array_index(action->preconditions, mv_precondition, i);
        const fake_record *record = fake_state_store_get(simulation->state, precondition->key);
        if ((record ? record->revision : 0) != precondition->revision)
            return false;
    }
    return true;
}

/* Applies the transaction if its preconditions hold, and checks its writes against the rules.
 * Returns an HTTP status. */
static int apply_transaction(sim *simulation, const sim_request *request)
{
    const mv_action *action = request->action;
    if (preconditions_hold(simulation, action))
        for (guint i = 0; i < action->writes->len; i++)
            sim_check_completions(simulation, &g_array_index(action->writes, mv_write, i));
    const int status = fake_state_store_commit(simulation->state, action->preconditions,
                                               action->writes, request->lease_id);
    if (status == SIM_HTTP_OK)
        sim_check_final_records(simulation, action->writes);
    const bool limits_announced =
        !simulation->plan->limits_unannounced && !request->node->emulates_format_1;
    if (status == SIM_HTTP_TOO_LARGE && limits_announced)
        sim_violation(simulation, "too large: %s exceeds a limit that the controller was told",
                      simulation->state->rejected_key);
    return status;
}

static mv_transaction_result result_of(int status)
{
    switch (status) {
    case SIM_HTTP_OK:
        return MV_TRANSACTION_COMMITTED;
    case SIM_HTTP_CONFLICT:
        return MV_TRANSACTION_CONFLICT;
    case SIM_HTTP_TOO_LARGE:
        return MV_TRANSACTION_TOO_LARGE;
    default:
        return MV_TRANSACTION_UNKNOWN;
    }
}

/* Applies a delayed transaction. No controller gets the response, because the sender has already
 * given up. */
static void apply_delayed_transaction(sim *simulation, gpointer data)
{
    sim_request *request = data;
    if (simulation->now >= simulation->outage_until)
        apply_transaction(simulation, request);
    sim_request_free(request);
}

static mv_action *copy_transaction(const mv_action *action)
{
    mv_action *copy = g_new0(mv_action, 1);
    copy->kind = action->kind;
    copy->preconditions = g_array_copy(action->preconditions);
    copy->writes = g_array_copy(action->writes);
    for (guint i = 0; i < copy->writes->len; i++) {
        GBytes *data = g_array_index(copy->writes, mv_write, i).data;
        if (data)
            g_bytes_ref(data);
    }
    return copy;
}

static void delay_transaction(sim *simulation, const sim_request *request)
{
    sim_request *copy = g_new0(sim_request, 1);
    copy->action = copy_transaction(request->action);
    copy->node = request->node;
    copy->lease_id = request->lease_id;
    sim_schedule_owned(simulation, sim_random(simulation, 1, 60), apply_delayed_transaction, copy,
                       sim_request_free);
}

/* Applies the transaction and decides whether its response is lost. Returns the seconds until the
 * sender gets the response or gives up. */
static double answer_transaction(sim *simulation, sim_request *request, double delay)
{
    const sim_plan *plan = simulation->plan;
    const int status = apply_transaction(simulation, request);
    if (!sim_state_answers(simulation, request->node) ||
        sim_chance(simulation, plan->message_loss)) {
        sim_count_combination(simulation,
                              status == SIM_HTTP_OK ? SIM_RESPONSES_LOST : SIM_PLAN_SPECIFIC);
        return REQUEST_TIMEOUT_S;
    }
    request->transaction_result = result_of(status);
    if (plan->slow_state_store > 0 && sim_chance(simulation, plan->slow_state_store))
        return sim_random(simulation, 0.3, 1.4);
    return delay;
}

void sim_execute_transaction(sim *simulation, gpointer data)
{
    sim_request *request = data;
    const sim_plan *plan = simulation->plan;
    request->transaction_result = MV_TRANSACTION_UNKNOWN;
    if (plan->cut_at_events > 0 && request->node->running &&
        sim_chance(simulation, plan->cut_at_events))
        sim_cut_at_event(simulation, request->node);
    double delay = sim_random(simulation, 0.002, 0.02);
    if (!sim_state_reached(simulation, request->node)) {
        delay = REQUEST_TIMEOUT_S;
    } else if (sim_chance(simulation, plan->message_delay)) {
        delay_transaction(simulation, request);
        delay = REQUEST_TIMEOUT_S;
    } else {
        delay = answer_transaction(simulation, request, delay);
    }
    sim_request_complete(simulation, request, delay);
}

/* --- sessions --- */

void sim_renew_session(sim *simulation, sim_node *node)
{
    const double sent_at = sim_steady_clock(simulation, node);
    const bool reached = sim_state_reached(simulation, node);
    if (!reached || !sim_state_answers(simulation, node)) {
        /* If only the response is lost, the state store still renews the lease. */
        if (reached && node->has_session)
            fake_lease_renew(simulation->state, node->lease_id, simulation->now);
        mv_controller_session_renewal_failed(node->controller, sent_at);
        return;
    }
    if (node->has_session &&
        !fake_lease_renew(simulation->state, node->lease_id, simulation->now)) {
        node->has_session = false;
        mv_controller_session_renewed(node->controller, sent_at, 0, sent_at);
        return;
    }
    if (!node->has_session) {
        node->lease_id = fake_lease_open(simulation->state, MV_SESSION_TTL_S, simulation->now);
        node->has_session = true;
        if (!node->incarnation)
            node->incarnation = node->lease_id;
    }
    mv_controller_session_renewed(node->controller, sent_at, node->incarnation, sent_at);
}

void sim_expire_leases(sim *simulation, gpointer data)
{
    if (simulation->now >= simulation->outage_until)
        fake_state_store_expire(simulation->state, simulation->now);
    sim_schedule(simulation, LEASE_CHECK_INTERVAL_S, sim_expire_leases, data);
}

/* --- list and watch --- */

static gint compare_keys(gconstpointer left, gconstpointer right)
{
    return strcmp(((const fake_record *)left)->key, ((const fake_record *)right)->key);
}

static void deliver_record(sim_node *node, double now, const fake_record *record)
{
    mv_controller_record_changed(node->controller, now, record->key, record->data,
                                 record->revision);
}

/* Removes the cached records that are in no page of the finished list, because these records were
 * deleted from the state store before the list ended. */
static void remove_unlisted(sim_node *node, double now)
{
    g_autoptr(GList) cached_keys = probe_cached_keys(node->controller);
    for (GList *link = cached_keys; link; link = link->next) {
        if (g_hash_table_contains(node->listed_keys, link->data))
            continue;
        g_autofree char *key = g_strdup(link->data); /* the cache frees its key with the record */
        mv_controller_record_changed(node->controller, now, key, NULL, 0);
    }
}

static void list_record(sim_node *node, double now, const fake_record *record)
{
    g_strlcpy(node->last_listed_key, record->key, sizeof node->last_listed_key);
    g_hash_table_add(node->listed_keys, g_strdup(record->key));
    deliver_record(node, now, record);
}

/* Reads one page of the list of all records. After a process starts, one page has all records. When
 * a process lists all records again, each page has a few records, so the pages show the state store
 * at different times. The watch for changes starts at the log entry after the first page. */
static void list_page(sim *simulation, sim_node *node, double now)
{
    g_autoptr(GList) records = g_hash_table_get_values(simulation->state->records);
    records = g_list_sort(records, compare_keys);
    unsigned remaining = G_MAXUINT;
    if (node->is_relisting)
        remaining = (unsigned)g_rand_int_range(simulation->random, 1, RELIST_PAGE_LIMIT);
    if (!node->last_listed_key[0]) {
        node->next_log_entry = simulation->state->log->len;
        g_hash_table_remove_all(node->listed_keys);
    }
    for (GList *link = records; link; link = link->next) {
        const fake_record *record = link->data;
        if (!g_str_has_prefix(record->key, KEY_LIVE_PREFIX) ||
            strcmp(record->key, node->last_listed_key) <= 0)
            continue;
        if (remaining-- == 0)
            return; /* the next page begins with this record */
        list_record(node, now, record);
    }
    remove_unlisted(node, now);
    mv_controller_cache_loaded(node->controller, now);
    node->is_listed = node->is_relisting = true;
    node->last_listed_key[0] = 0;
}

static void watch_changes(const sim *simulation, sim_node *node, double now)
{
    const GPtrArray *log = simulation->state->log;
    for (; node->next_log_entry < log->len; node->next_log_entry++) {
        const fake_record *record = g_ptr_array_index(log, node->next_log_entry);
        if (g_str_has_prefix(record->key, KEY_LIVE_PREFIX))
            deliver_record(node, now, record);
    }
    mv_controller_watch_caught_up(node->controller, now, now);
    node->is_following = true;
}

void sim_read_state(sim *simulation, sim_node *node)
{
    const double now = sim_steady_clock(simulation, node);
    if (!sim_state_reached(simulation, node) || !sim_state_answers(simulation, node) ||
        !node->incarnation || simulation->now < node->watches_lost_until)
        return;
    if (node->is_listed)
        watch_changes(simulation, node, now);
    else
        list_page(simulation, node, now);
}
