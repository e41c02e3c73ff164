#include "coordination/membership/shard_grants.h"

#include "protocol/names.h"
#include "telemetry/log.h"

#include <string.h>

/* Bytes that a team's name adds to a shard record besides its letters. */
#define TEAM_NAME_OVERHEAD_BYTES 3

/* --- load --- */

static unsigned count_owned_shards(const mv_membership *membership, const char *node)
{
    const GPtrArray *shards = membership->context->shards;
    unsigned count = 0;
    for (guint i = 0; i < shards->len; i++) {
        const mv_shard *shard = g_ptr_array_index(shards, i);
        if (shard->revision && strcmp(shard->holder.node, node) == 0 &&
            mv_membership_holder_is_alive(membership, &shard->holder))
            count++;
    }
    return count;
}

/* Gives a controller that just resigned a shard a lower priority for MV_RESIGNED_BACKOFF_S. A
 * controller that resigned its last shard has the fewest shards. Without this back-off, the leader
 * would grant that controller the next shard first, and the next shard's machines would in turn be
 * out of use until the controller resigned that shard too. */
static void mark_resigned(mv_membership *membership, const char *node)
{
    double *until = g_new(double, 1);
    *until = membership->context->clock.now + MV_RESIGNED_BACKOFF_S;
    g_hash_table_replace(membership->resigned, g_strdup(node), until);
}

static bool has_resigned_lately(const mv_membership *membership, const char *node)
{
    const double *until = g_hash_table_lookup(membership->resigned, node);
    return until && membership->context->clock.now < *until;
}

/* A live controller that may be granted a shard, and the properties by which the leader compares
 * such candidates. */
typedef struct {
    const mv_node_entry *entry; /* NULL: there is no candidate yet */
    unsigned load; /* shards that the controller owns or gets in the same transaction */
    bool resigned, is_self;
} grant_candidate;

/* Returns whether the leader prefers `candidate` to `best`. A controller that has not resigned a
 * shard lately comes first, then the controller with the fewest shards. On a tie the leader prefers
 * itself, because then one process both plans the fleet and places the shard's tasks, and no
 * messages between controllers are needed. */
static bool is_better_candidate(const grant_candidate *candidate, const grant_candidate *best)
{
    if (!best->entry)
        return true;
    if (candidate->resigned != best->resigned)
        return best->resigned;
    return candidate->load < best->load || (candidate->load == best->load && candidate->is_self);
}

/* Returns the live controller that should get a shard, or NULL if there is none. `extra` maps
 * the names of controllers to the number of shards that they get in the same transaction, which
 * counts as load. The controller named `excluded` (may be NULL) gets no shard. */
static const mv_node_entry *find_lowest_loaded(const mv_membership *membership, GHashTable *extra,
                                               const char *excluded)
{
    const char *self = membership->context->settings->node_name;
    grant_candidate best = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, membership->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mv_node_entry *entry = value;
        if (excluded && strcmp(entry->node, excluded) == 0)
            continue;
        unsigned given = GPOINTER_TO_UINT(g_hash_table_lookup(extra, entry->node));
        grant_candidate candidate = {
            .entry = entry,
            .load = count_owned_shards(membership, entry->node) + given,
            .resigned = has_resigned_lately(membership, entry->node),
            .is_self = strcmp(entry->node, self) == 0,
        };
        if (is_better_candidate(&candidate, &best))
            best = candidate;
    }
    return best.entry;
}

/* --- how many shards --- */

/* Returns the expected number of machines in the fleet: the machines that are present, or, if that
 * is more, the machines of the largest type that the cores guaranteed to the teams would fill. */
static double fleet_size(const mv_membership *membership, const mv_fleet_listing *listing)
{
    const mv_context *context = membership->context;
    double largest_cores = 0, guaranteed_cores = 0;
    for (guint i = 0; i < mv_machine_catalog_size(&context->catalog); i++)
        largest_cores = MAX(largest_cores, mv_machine_catalog_get(&context->catalog, i)->cores);
    for (size_t i = 0; i < context->settings->team_count; i++)
        guaranteed_cores += context->settings->teams[i].cpus;
    double guaranteed_machines = largest_cores > 0 ? guaranteed_cores / largest_cores : 0;
    guint present = MAX(membership->agents->rotation->len, listing->machines);
    return MAX(guaranteed_machines, (double)present);
}

/* Returns whether the leader can estimate the fleet's size: the machine types are known, and the
 * cloud's machine list has been read to its end. Before the leader waited for the list, a fleet of
 * 4,000 machines began with one shard, and got more only when 399 machines were recorded, 12 s
 * after the start. One controller had received all jobs by then, the machines followed the jobs to
 * its shard, and the controller broke down under two thirds of the fleet. If the cloud does not
 * answer, the leader stops waiting after MV_FIRST_LIST_TIMEOUT_S. */
static bool fleet_size_is_known(const mv_membership *membership, const mv_fleet_listing *listing)
{
    const mv_context *context = membership->context;
    double waited_until = membership->leading_since + MV_FIRST_LIST_TIMEOUT_S;
    bool waited = membership->leading && context->clock.now > waited_until;
    return context->catalog.types && SAFETY_CHECK(FIRST_LIST, listing->complete || waited);
}

/* Returns how many shards the fleet should have, unless the operator set the number. A small fleet
 * gets one shard, which keeps its capacity together. A large fleet gets one shard per controller,
 * because one controller's processor cannot serve all machines. The caller adds shards but never
 * removes any, so that a fluctuating fleet size does not move machines and jobs. */
static unsigned target_shard_count(const mv_membership *membership, const mv_fleet_listing *listing)
{
    const mv_settings *settings = membership->context->settings;
    if (settings->operator_settings.shards)
        return settings->operator_settings.shards;
    bool is_large = fleet_size(membership, listing) >= MV_SHARD_PER_CONTROLLER_MACHINES;
    return is_large ? settings->controller_count : 1;
}

/* --- teams --- */

static bool names_team(const mv_lease_holder *holder, const char *team)
{
    for (guint i = 0; i < holder->teams->len; i++)
        if (strcmp(g_ptr_array_index(holder->teams, i), team) == 0)
            return true;
    return false;
}

/* Returns the number of cores guaranteed to the shard's teams, plus one for each team, so that
 * teams without guaranteed cores count too. */
static double guaranteed_sum(const mv_settings *settings, const mv_lease_holder *holder)
{
    double sum = 0;
    for (guint i = 0; i < holder->teams->len; i++) {
        const char *name = g_ptr_array_index(holder->teams, i);
        const mv_team_settings *team = mv_settings_find_team(settings, name);
        sum += team ? 1 + team->cpus : 0;
    }
    return sum;
}

static size_t record_bytes_with_team(const mv_lease_holder *holder, const char *team)
{
    size_t bytes = MV_SHARD_RECORD_BYTES + strlen(team);
    for (guint i = 0; i < holder->teams->len; i++)
        bytes += strlen(g_ptr_array_index(holder->teams, i)) + TEAM_NAME_OVERHEAD_BYTES;
    return bytes;
}

/* Returns the shard with the lowest guaranteed sum among the shards whose record has room for the
 * team's name, or NULL if no record has room. */
static mv_lease_holder *choose_shard_for_team(const mv_context *context, mv_lease_holder *holders,
                                              unsigned count, const char *team)
{
    mv_lease_holder *best = NULL;
    double best_sum = 0;
    for (unsigned i = 0; i < count; i++) {
        double sum = guaranteed_sum(context->settings, &holders[i]);
        bool fits = record_bytes_with_team(&holders[i], team) <= context->limits.value_bytes;
        if (!fits || (best && sum >= best_sum))
            continue;
        best = &holders[i];
        best_sum = sum;
    }
    return best;
}

static bool any_names_team(const mv_lease_holder *holders, unsigned count, const char *team)
{
    for (unsigned i = 0; i < count; i++)
        if (names_team(&holders[i], team))
            return true;
    return false;
}

/* Assigns each team that no shard names to a shard, and returns whether any team was assigned. If
 * no shard's record has room for a team, the team stays unassigned and the fault is logged. */
static bool add_missing_teams(const mv_context *context, mv_lease_holder *holders, unsigned count)
{
    bool added = false;
    for (size_t i = 0; i < context->settings->team_count; i++) {
        const char *team = context->settings->teams[i].name;
        if (any_names_team(holders, count, team))
            continue;
        mv_lease_holder *shard = choose_shard_for_team(context, holders, count, team);
        if (!shard) {
            mv_log_limited(MV_LOG_INFO, "limit_too_small", "limit=value_kb team=%s", team);
            continue;
        }
        g_ptr_array_add(shard->teams, g_strdup(team));
        added = true;
    }
    return added;
}

static GPtrArray *copy_team_names(const GPtrArray *from)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; from && i < from->len; i++)
        g_ptr_array_add(names, g_strdup(g_ptr_array_index(from, i)));
    return names;
}

/* --- choosing owners --- */

/* Chooses a shard to move for balance: after a controller came back, a shard whose owner has at
 * least two shards more than the controller with the lowest load moves to that controller. Returns
 * the shard's index and sets `to`, or returns -1 if no shard is to be moved. Two moves are at least
 * MV_REBALANCE_INTERVAL_S apart. */
static int choose_shard_to_move(mv_membership *membership, const mv_node_entry **to)
{
    const mv_context *context = membership->context;
    if (context->clock.now < membership->rebalanced_at + MV_REBALANCE_INTERVAL_S)
        return -1;
    g_autoptr(GHashTable) none = g_hash_table_new(g_str_hash, g_str_equal);
    const mv_node_entry *lowest = find_lowest_loaded(membership, none, NULL);
    if (!lowest)
        return -1;
    unsigned lowest_load = count_owned_shards(membership, lowest->node);
    for (guint i = 0; i < context->shards->len; i++) {
        const mv_shard *shard = g_ptr_array_index(context->shards, i);
        if (!shard->revision ||
            count_owned_shards(membership, shard->holder.node) < lowest_load + 2)
            continue;
        *to = lowest;
        membership->rebalanced_at = context->clock.now;
        return (int)i;
    }
    return -1;
}

/* Returns whether the shard's owner resigns the shard: the owner reaches the state service but none
 * of the shard's machines, and another controller may reach the machines. After all controllers
 * have tried in turn, the machines must have failed, so the last owner keeps the shard: further
 * grants would only delay the moment at which the machines are declared failed. */
static bool owner_resigns(const mv_membership *membership, const mv_shard *shard)
{
    bool peers_remain = shard->resignations + 1 < g_hash_table_size(membership->nodes);
    bool resigning = shard->demand && shard->demand->resigning;
    bool had_time = shard->demand_received_at > shard->acquired_at + MV_RESIGN_AFTER_S;
    double now = membership->context->clock.now;
    bool recent = now < shard->demand_received_at + MV_DEMAND_TTL_S;
    return peers_remain && resigning && had_time && recent;
}

/* Returns whether the shard's owner reported lately that, alone among the controllers, it is cut
 * off from the state service, and has been for long enough to lose its shards. */
static bool owner_stepped_aside(const mv_membership *membership, const mv_shard *shard)
{
    const mv_connectivity *connectivity = membership->launch_control->connectivity;
    return connectivity && shard->revision &&
           mv_connectivity_peer_is_isolated(connectivity, membership->context->clock.now,
                                            shard->holder.node, shard->holder.incarnation);
}

/* The grants that the leader writes in one transaction. */
typedef struct {
    unsigned count;           /* number of shards */
    mv_lease_holder *holders; /* per shard: the lease after this transaction */
    bool *changed;            /* per shard: the lease has to be written */
    GHashTable *given;        /* controller name -> number of shards granted to the controller in
                                 this transaction */
    uint64_t term;            /* the highest term granted so far */
    int moved_index;          /* index of the shard moved for balance; -1: none */
    const mv_node_entry *moved_to; /* the controller that gets the moved shard */
} grant_round;

/* Returns the controller that should be granted the shard, or NULL if the shard's owner keeps it.
 * If another controller gets a shard whose owner resigned it or is isolated, and the shard is not
 * moved for balance, also counts a resignation and starts the owner's back-off. */
static const mv_node_entry *choose_owner(mv_membership *membership, grant_round *round,
                                         mv_shard *shard)
{
    bool is_dead = !shard->revision || !mv_membership_holder_is_alive(membership, &shard->holder);
    bool is_moved = (int)shard->index == round->moved_index;
    const mv_node_entry *to = NULL;
    if (is_dead)
        to = find_lowest_loaded(membership, round->given, NULL);
    else if (owner_resigns(membership, shard) || owner_stepped_aside(membership, shard))
        to = find_lowest_loaded(membership, round->given, shard->holder.node);
    else if (is_moved)
        to = round->moved_to;
    if (to && !is_dead && !is_moved) {
        shard->resignations++;
        mark_resigned(membership, shard->holder.node);
    }
    return to;
}

static void grant_shard(mv_membership *membership, grant_round *round, unsigned index)
{
    mv_shard *shard = mv_context_shard(membership->context, index);
    mv_lease_holder *holder = &round->holders[index];
    *holder = shard->holder;
    holder->teams = copy_team_names(shard->holder.teams);
    const mv_node_entry *to = choose_owner(membership, round, shard);
    if (!to)
        return;
    guint given = GPOINTER_TO_UINT(g_hash_table_lookup(round->given, to->node));
    g_hash_table_insert(round->given, (gpointer)to->node, GUINT_TO_POINTER(given + 1));
    g_strlcpy(holder->node, to->node, sizeof holder->node);
    holder->incarnation = to->incarnation;
    holder->term = ++round->term;
    round->changed[index] = true;
}

/* --- writing --- */

static void write_grants(mv_membership *membership, const grant_round *round)
{
    mv_context *context = membership->context;
    mv_action *transaction = mv_transaction_new(&context->actions, true);
    mv_transaction_require(transaction, KEY_LEADER, membership->leader_revision);
    mv_transaction_require(transaction, KEY_TERM, membership->term_revision);
    mv_transaction_put(transaction, KEY_TERM, mv_counter_pack(round->term), false);
    for (unsigned i = 0; i < round->count; i++) {
        if (!round->changed[i])
            continue;
        char key[MV_KEY_SIZE];
        const mv_shard *shard = g_ptr_array_index(context->shards, i);
        g_snprintf(key, sizeof key, KEY_SHARD_PREFIX "%u", i);
        mv_transaction_require(transaction, key, shard->revision);
        mv_transaction_put(transaction, key, mv_lease_holder_pack(&round->holders[i]), false);
    }
    mv_transaction_slot_sent(&membership->grant_transaction, &context->clock, transaction);
}

static unsigned count_grantable_shards(const mv_membership *membership,
                                       const mv_fleet_listing *listing)
{
    const mv_context *context = membership->context;
    unsigned target = MAX(context->shards->len, target_shard_count(membership, listing));
    return MIN(MIN(target, context->limits.writes - 1), MV_SHARDS_MAX);
}

void mv_shard_grants_tick(mv_membership *membership, const mv_fleet_listing *listing)
{
    const mv_context *context = membership->context;
    if (mv_transaction_slot_busy(&membership->grant_transaction, &context->clock) ||
        g_hash_table_size(membership->nodes) == 0)
        return;
    if (context->shards->len == 0 && !fleet_size_is_known(membership, listing))
        return;
    grant_round round = {.count = count_grantable_shards(membership, listing),
                         .term = membership->term};
    g_autofree mv_lease_holder *holders = g_new0(mv_lease_holder, round.count);
    g_autofree bool *changed = g_new0(bool, round.count);
    g_autoptr(GHashTable) given = g_hash_table_new(g_str_hash, g_str_equal);
    round.holders = holders;
    round.changed = changed;
    round.given = given;
    round.moved_index = choose_shard_to_move(membership, &round.moved_to);
    for (unsigned i = 0; i < round.count; i++)
        grant_shard(membership, &round, i);
    if (add_missing_teams(context, holders, round.count))
        for (unsigned i = 0; i < round.count; i++) {
            changed[i] = true;
            holders[i].term = ++round.term;
        }
    if (round.term != membership->term)
        write_grants(membership, &round);
    for (unsigned i = 0; i < round.count; i++)
        mv_lease_holder_clear(&holders[i]);
}
