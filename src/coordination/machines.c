/* Machines of our blocks: their life, their room, and what is placed on them. */
#include "coordination/internal.h"

#include <string.h>

/* --- life --- */

machine *mv_machine_new(mv_core *c, const char *id)
{
    machine *m = g_new0(machine, 1);
    g_strlcpy(m->id, id, sizeof m->id);
    m->type = -1;
    m->pace = 1;
    m->placements = g_ptr_array_new_with_free_func(g_free);
    m->uncertain_attempts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    m->images = g_array_new(FALSE, TRUE, sizeof(cached_image));
    m->failed_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    m->rented_at = m->idle_since = c->now;
    g_hash_table_insert(c->machines, m->id, m);
    m->at = c->rotation->len;
    g_ptr_array_add(c->rotation, m);
    return m;
}

void mv_machine_free(gpointer p)
{
    machine *m = p;
    g_ptr_array_unref(m->placements);
    g_hash_table_unref(m->uncertain_attempts);
    g_hash_table_unref(m->failed_jobs);
    g_array_unref(m->images);
    g_free(m);
}

void mv_forget_command(mv_core *c, machine *m)
{
    if (m->command_id)
        g_hash_table_remove(c->commands, &m->command_id);
    m->command_id = 0;
}

/* Forgets what an earlier term taught about its tasks; images and speed stay true. */
void mv_reset_machine(mv_core *c, machine *m)
{
    while (m->placements->len)
        mv_drop_placement(c, m, m->placements->len - 1, false);
    g_hash_table_remove_all(m->uncertain_attempts);
    m->unknown_tasks = 0;
    if (m->shard && m->confirmed && !m->used)
        mv_block_part(m->shard, m->part)->unrecorded--;
    m->confirmed = m->fresh = m->give_back = m->lost = m->vacate = m->draining = false;
    mv_forget_command(c, m);
    m->command_fails = m->proofs = 0;
    mv_delivered(m);
    m->no_command_until = 0;
    m->wants_command = false;
    m->idle_since = c->now;
    m->note_at = 0;
    m->offer = 0;
}

/* It is in no block any more: gone for certain, since only a release that was answered or an
 * idle move takes it out. */
void mv_machine_left(mv_core *c, machine *m)
{
    while (m->placements->len)
        mv_drop_placement(c, m, m->placements->len - 1, true);
    mv_forget_command(c, m);
    if (m->queued)
        g_ptr_array_remove_fast(c->commandable, m);
    g_ptr_array_remove_fast(c->promised, m);
    /* The last in turn takes its place: closing the gap would move every other. */
    g_ptr_array_remove_index_fast(c->rotation, m->at);
    if (m->at < c->rotation->len)
        ((machine *)g_ptr_array_index(c->rotation, m->at))->at = m->at;
    c->want_round = true;
    g_hash_table_remove(c->machines, m->id);
}

/* --- small questions --- */

uint64_t mv_token(const machine *m)
{
    return m->shard ? MAX(m->shard->holder.term, m->member_term) : 0;
}

const mv_type *mv_type_of(const mv_core *c, const machine *m)
{
    if (!c->types)
        return NULL;
    if (m->type < 0)
        for (guint i = 0; i < c->types->len; i++)
            if (strcmp(g_array_index(c->types, mv_type, i).name, m->type_name) == 0)
                ((machine *)m)->type = (int)i;
    return m->type < 0 ? NULL : &g_array_index(c->types, mv_type, m->type);
}

double mv_price_per_core(const mv_core *c, const machine *m)
{
    const mv_type *t = mv_type_of(c, m);
    return t && t->cores > 0 ? (m->spot ? t->market : t->rate) / t->cores : 0;
}

/* Not yet confirmed under our token, and recorded by a predecessor as one it used. */
bool mv_may_hold_tasks(const machine *m)
{
    return m->shard && !m->confirmed && !m->fresh && m->used;
}

/* It answers commands, but its reports reach nobody: its lease runs out, whatever it is told. New
 * work there would be lost with it. */
bool mv_is_mute(const mv_core *c, const machine *m)
{
    double since = MAX(MAX(m->renewed_at, m->shard->listening_since), m->entered_at);
    bool renewed = c->now - since < MV_SILENT_REPORTS * c->conf->report_s;
    return !GUARD(MUTE, renewed || c->now < c->late_until);
}

bool mv_usable(const mv_core *c, const machine *m)
{
    return m->shard && m->confirmed && m->used && !m->give_back && !m->vacate && !m->offer &&
           !m->leaving && !m->deaf_since && !m->faulty && !m->lost && !m->notice_at &&
           !m->unknown_tasks && mv_holds(c, m->shard) &&
           c->now - m->heard_at < MV_SILENT_REPORTS * c->conf->report_s && !mv_is_mute(c, m);
}

void mv_room_add(mv_room *to, const placement *p, double times)
{
    to->cores += times * p->cores;
    to->cards += times * p->cards;
    to->ram += times * p->ram_gb;
}

/* What replicas hold there: it does not become free by itself. */
mv_room mv_kept_room(const machine *m)
{
    mv_room r = {0};
    for (guint i = 0; i < m->placements->len; i++) {
        const placement *p = g_ptr_array_index(m->placements, i);
        if (p->service)
            mv_room_add(&r, p, 1);
    }
    return r;
}

mv_room mv_free_room(const mv_core *c, const machine *m)
{
    const mv_type *t = mv_type_of(c, m);
    if (!t)
        return (mv_room){-m->taken.cores, -m->taken.cards, -m->taken.ram};
    return (mv_room){t->cores - m->taken.cores, t->cards - m->taken.cards,
                     t->ram_gb - m->taken.ram};
}

static int image_at(const machine *m, unsigned image)
{
    for (guint i = m->images->len; i-- > 0;)
        if (g_array_index(m->images, cached_image, i).image == image)
            return (int)i;
    return -1;
}

bool mv_has_image(const machine *m, unsigned image)
{
    return image_at(m, image) >= 0;
}

/* Reports do not list cached images: a task seen running proves its image, and the least recently
 * used ones go first once the type's local room is full. */
void mv_touch_image(mv_core *c, machine *m, const job *j)
{
    cached_image img = {.image = j->image, .gb = j->spec.pull_gb};
    int at = image_at(m, j->image);
    if (at >= 0 && (guint)at == m->images->len - 1)
        return;
    if (at >= 0)
        g_array_remove_index(m->images, (guint)at);
    g_array_append_val(m->images, img);
    const mv_type *t = mv_type_of(c, m);
    double sum = 0;
    for (guint i = 0; i < m->images->len; i++)
        sum += g_array_index(m->images, cached_image, i).gb;
    while (t && sum > t->local_gb && m->images->len > 1) {
        sum -= g_array_index(m->images, cached_image, 0).gb;
        g_array_remove_index(m->images, 0);
    }
}

void mv_want_command(mv_core *c, machine *m)
{
    m->wants_command = true;
    if (!m->queued)
        g_ptr_array_add(c->commandable, m);
    m->queued = true;
}

/* --- placements --- */

void mv_drop_placement(mv_core *c, machine *m, guint index, bool requeue)
{
    placement *p = g_ptr_array_index(m->placements, index);
    job *j = p->of;
    p->team->used_cores -= p->cores;
    p->team->used_cards -= p->cards;
    mv_room_add(&m->taken, p, -1);
    if (p->stopping) {
        mv_room_add(&m->ending, p, -1);
        p->team->stopping_cores -= p->cores;
    }
    if (m->placements->len == 1) { /* sums of fractions: start again from none */
        m->taken = m->ending = (mv_room){0};
        m->idle_since = c->now;
    }
    if (j) {
        mv_job_in_zone(j, m, -1);
        j->n_placed--;
        j->n_running -= p->running_at > 0;
        if (requeue && j->state[p->index] == T_PLACED) {
            mv_task_requeue(c, j, p->index);
            c->counts.requeued++;
        }
    }
    g_ptr_array_remove_index_fast(m->placements, index);
    c->want_round = true;
}

void mv_stop_placement(mv_core *c, machine *m, placement *p)
{
    if (!p->stopping) {
        p->stopping = true;
        mv_room_add(&m->ending, p, 1);
        p->team->stopping_cores += p->cores;
    }
    mv_want_command(c, m);
}
