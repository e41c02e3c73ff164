/* The cloud and the workers, and the rules that can be seen on the workers. One lock guards all of it. */
#include "internal.h"

#include <math.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MACHINES_MAX 128
#define JOBS_MAX 4096
#define TASKS_MAX 2048 /* on one machine, exited ones too */
#define IMAGES_MAX 64

typedef enum { T_PULLING, T_RUNNING, T_ENDED } phase;
typedef struct {
    char piece[48], job_id[32];
    uint64_t try;
    phase phase;
    const char *cause;
    double runs_from, ends_at; /* while it is fetched or runs */
    const job *spec;
    bool counted; /* on the machine, for the rules */
} task;
typedef struct {
    char name[64];
    double ready_at; /* the machine has it from then on */
} image;
typedef struct {
    unsigned number;
    char name[24];
    const machine_type *type;
    bool spot, up, gone, hung, mute, held;
    double rented_at, up_at, gone_at;
    int port;
    uint64_t tenure, tick, baton;
    double renewed_at; /* when the last answered report was sent */
    double reported_at, changed_baton_at;
    bool changed;
    int node, named; /* it reports to `node`; named: redirected there */
    double next_at;
    task tasks[TASKS_MAX];
    unsigned task_count;
    image images[IMAGES_MAX];
    unsigned image_count;
} machine;
typedef struct {
    job spec;
    double told_cancelled_at; /* 0: not */
    uint8_t *completed;       /* for each piece: its result is kept */
    uint16_t *started;
} known_job;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static machine *machines[MACHINES_MAX];
static unsigned machine_total;
static known_job jobs[JOBS_MAX];
static unsigned job_total, start_total;
static struct {
    char hire[96];
    unsigned first, count;
} hires[512];
static unsigned hire_total;
static bool cloud_down;
static bool hold_returns;      /* a request to return machines is executed late */
static unsigned held_returns; /* such requests that wait */
static double cloud_tokens, cloud_refilled;
static struct {
    char rule[32];
    unsigned count;
} breaks[32];

/* --- rules --- */

void break_rule(const char *rule, const char *format, ...)
{
    char text[256];
    va_list args;
    va_start(args, format);
    vsnprintf(text, sizeof text, format, args);
    va_end(args);
    rec("BROKEN %s: %s", rule, text);
    for (unsigned i = 0; i < 32; i++) {
        if (breaks[i].count && strcmp(breaks[i].rule, rule) != 0)
            continue;
        snprintf(breaks[i].rule, sizeof breaks[i].rule, "%s", rule);
        breaks[i].count++;
        return;
    }
}

unsigned rule_breaks(const char *rule)
{
    unsigned n = 0;
    for (unsigned i = 0; i < 32; i++)
        if (breaks[i].count && (!*rule || strcmp(breaks[i].rule, rule) == 0))
            n += breaks[i].count;
    return n;
}

static known_job *find_job(const char *id)
{
    for (unsigned i = job_total; i-- > 0;)
        if (strcmp(jobs[i].spec.id, id) == 0)
            return &jobs[i];
    return NULL;
}

void job_register(const job *j)
{
    pthread_mutex_lock(&lock);
    if (!find_job(j->id) && job_total < JOBS_MAX) {
        known_job *k = &jobs[job_total++];
        k->spec = *j;
        k->completed = calloc(j->pieces, 1);
        k->started = calloc(j->pieces, sizeof *k->started);
    }
    pthread_mutex_unlock(&lock);
}

void job_cancel_told(const char *id)
{
    pthread_mutex_lock(&lock);
    known_job *k = find_job(id);
    if (k && !k->told_cancelled_at)
        k->told_cancelled_at = now_s();
    pthread_mutex_unlock(&lock);
}

static unsigned piece_number(const char *piece)
{
    const char *slash = strchr(piece, '/');
    return slash ? (unsigned)atoi(slash + 1) : 0;
}

unsigned starts(void)
{
    pthread_mutex_lock(&lock);
    unsigned n = start_total;
    pthread_mutex_unlock(&lock);
    return n;
}

unsigned starts_of(const char *piece)
{
    char id[32];
    snprintf(id, sizeof id, "%.*s", (int)strcspn(piece, "/"), piece);
    pthread_mutex_lock(&lock);
    known_job *k = find_job(id);
    unsigned number = piece_number(piece), n = k && number < k->spec.pieces ? k->started[number] : 0;
    pthread_mutex_unlock(&lock);
    return n;
}

static double team_cores(const char *crew)
{
    double sum = 0;
    for (unsigned i = 0; i < machine_total; i++)
        for (unsigned k = 0; k < machines[i]->task_count; k++)
            if (machines[i]->tasks[k].counted && strcmp(machines[i]->tasks[k].spec->crew, crew) == 0)
                sum += machines[i]->tasks[k].spec->cores;
    return sum;
}

/* A task is on its machine from the moment that it has its image. */
static void task_starts(machine *m, task *t)
{
    known_job *k = find_job(t->job_id);
    const site *s = world_site();
    for (unsigned i = 0; i < machine_total; i++)
        for (unsigned n = 0; n < machines[i]->task_count; n++) {
            const task *other = &machines[i]->tasks[n];
            if (other->counted && other != t && machines[i] != m && strcmp(other->piece, t->piece) == 0)
                break_rule("ran_twice", "%s starts on %s (try %llu) while it is on %s (try %llu)", t->piece, m->name,
                           (unsigned long long)t->try, machines[i]->name, (unsigned long long)other->try);
        }
    t->counted = true;
    start_total++;
    k->started[piece_number(t->piece)]++;
    if (k->told_cancelled_at && now_s() > k->told_cancelled_at + s->cancel_s)
        break_rule("ran_cancelled", "%s starts %.1f s after its user was told", t->piece, now_s() - k->told_cancelled_at);
    if (m->spot && !t->spec->loaners)
        break_rule("wrong_place", "%s starts on the spot machine %s", t->piece, m->name);
    bool allowed = t->spec->hull_count == 0;
    for (unsigned i = 0; i < t->spec->hull_count; i++)
        allowed = allowed || strcmp(t->spec->hulls[i], m->type->name) == 0;
    if (!allowed)
        break_rule("wrong_place", "%s starts on %s of type %s", t->piece, m->name, m->type->name);
    for (unsigned i = 0; i < s->team_count; i++)
        if (strcmp(s->teams[i].name, t->spec->crew) == 0 && s->teams[i].cpus_max > 0 &&
            team_cores(t->spec->crew) > s->teams[i].cpus_max + 1e-6)
            break_rule("quota", "%s uses %.1f cores of %.1f with %s", t->spec->crew, team_cores(t->spec->crew),
                       s->teams[i].cpus_max, t->piece);
    rec("%s: %s try %llu starts", m->name, t->piece, (unsigned long long)t->try);
}

static void task_leaves(machine *m, task *t, const char *why)
{
    known_job *k = find_job(t->job_id);
    if (!t->counted)
        return;
    t->counted = false;
    if (k->told_cancelled_at && now_s() > k->told_cancelled_at + world_site()->cancel_s + 0.5)
        break_rule("ran_cancelled", "%s was on %s until %.1f s after its user was told", t->piece, m->name,
                   now_s() - k->told_cancelled_at);
    rec("%s: %s try %llu %s", m->name, t->piece, (unsigned long long)t->try, why);
}

/* --- tasks --- */

static void remove_task(machine *m, unsigned index)
{
    m->tasks[index] = m->tasks[--m->task_count];
}

static void end_task(machine *m, task *t, const char *cause)
{
    t->phase = T_ENDED;
    t->cause = cause;
    m->changed = true;
    task_leaves(m, t, cause);
}

static void kill_all(machine *m, const char *why)
{
    for (unsigned i = 0; i < m->task_count; i++)
        task_leaves(m, &m->tasks[i], why);
    m->task_count = 0;
}

static void advance(machine *m)
{
    double now = now_s();
    if (m->hung)
        return;
    if (now > m->renewed_at + world_site()->lease_s) {
        rec("%s: lease over, tenure %llu begins, %u tasks", m->name, (unsigned long long)m->tenure + 1, m->task_count);
        kill_all(m, "killed by the lease");
        m->tenure++;
        m->renewed_at = now;
        m->changed = true;
    }
    for (unsigned i = 0; i < m->task_count; i++) {
        task *t = &m->tasks[i];
        if (t->phase == T_PULLING && now >= t->runs_from) {
            known_job *k = find_job(t->job_id);
            t->phase = T_RUNNING;
            m->changed = true;
            if (k->completed[piece_number(t->piece)])
                t->ends_at = now; /* the result is kept */
            else
                task_starts(m, t);
        }
        if (t->phase == T_RUNNING && now >= t->ends_at) {
            find_job(t->job_id)->completed[piece_number(t->piece)] = 1;
            end_task(m, t, "done");
        }
    }
}

static double fetch_image(machine *m, const job *j)
{
    for (unsigned i = 0; i < m->image_count; i++)
        if (strcmp(m->images[i].name, j->bundle) == 0)
            return m->images[i].ready_at;
    double ready = now_s() + j->pull_gb / m->type->pull_gb_per_s;
    if (m->image_count < IMAGES_MAX) {
        snprintf(m->images[m->image_count].name, sizeof m->images[0].name, "%s", j->bundle);
        m->images[m->image_count++].ready_at = ready;
    }
    return ready;
}

static void launch(machine *m, const char *piece, uint64_t try)
{
    double cores = 0, ram = 0;
    bool busy = false;
    for (unsigned i = 0; i < m->task_count; i++) {
        const task *t = &m->tasks[i];
        if (strcmp(t->piece, piece) == 0 && t->try == try)
            return;
        if (t->phase == T_ENDED)
            continue;
        busy = busy || strcmp(t->piece, piece) == 0;
        cores += t->spec->cores;
        ram += t->spec->ram_gb;
    }
    if (m->task_count == TASKS_MAX)
        return;
    task *t = &m->tasks[m->task_count++];
    *t = (task){.try = try, .phase = T_ENDED};
    snprintf(t->piece, sizeof t->piece, "%s", piece);
    snprintf(t->job_id, sizeof t->job_id, "%.*s", (int)strcspn(piece, "/"), piece);
    known_job *k = find_job(t->job_id);
    m->changed = true;
    if (!k || piece_number(piece) >= k->spec.pieces)
        t->cause = "unknown";
    else if (busy)
        t->cause = "busy";
    else if (cores + k->spec.cores > m->type->cores + 1e-6 || ram + k->spec.ram_gb > m->type->ram_gb + 1e-6)
        t->cause = "no_room";
    if (t->cause) {
        rec("%s: %s try %llu refused, %s", m->name, piece, (unsigned long long)try, t->cause);
        return;
    }
    t->spec = &k->spec;
    t->phase = T_PULLING;
    t->runs_from = fetch_image(m, t->spec);
    t->ends_at = t->runs_from + t->spec->run_s;
}

static void execute(machine *m, const val *orders)
{
    for (uint32_t i = 0; orders && orders->kind == V_LIST && i < orders->n; i++) {
        const val *o = &orders->items[i];
        const char *verb = val_str(o, "verb"), *piece = val_str(o, "piece");
        uint64_t try = val_uint(o, "try");
        if (strcmp(verb, "launch") == 0) {
            launch(m, piece, try);
            continue;
        }
        for (unsigned k = 0; k < m->task_count; k++) {
            task *t = &m->tasks[k];
            if (strcmp(t->piece, piece) != 0 || t->try != try)
                continue;
            if (strcmp(verb, "stop") == 0 && t->phase != T_ENDED)
                end_task(m, t, "stopped"); /* no job of the cases saves its progress */
            else if (strcmp(verb, "clear") == 0 && t->phase == T_ENDED) {
                remove_task(m, k);
                m->changed = true;
            }
            break;
        }
    }
    advance(m);
}

/* --- reports and commands --- */

static void write_report(machine *m, buf *b)
{
    static const char *const PHASES[] = {"pulling", "running", "ended"};
    char address[32];
    snprintf(address, sizeof address, "127.0.0.1:%d", m->port);
    mp_map(b, 10);
    mp_str(b, "host");
    mp_str(b, m->name);
    mp_str(b, "address");
    mp_str(b, address);
    mp_str(b, "hull");
    mp_str(b, m->type->name);
    mp_str(b, "yard");
    mp_str(b, world_site()->area);
    mp_str(b, "loaners");
    mp_bool(b, m->spot);
    mp_str(b, "tenure");
    mp_uint(b, m->tenure);
    mp_str(b, "tick");
    mp_uint(b, ++m->tick);
    mp_str(b, "baton");
    mp_uint(b, m->baton);
    mp_str(b, "recall_s");
    mp_nil(b);
    mp_str(b, "pieces");
    mp_list(b, m->task_count);
    for (unsigned i = 0; i < m->task_count; i++) {
        const task *t = &m->tasks[i];
        mp_map(b, t->phase == T_ENDED ? 4 : 3);
        mp_str(b, "piece");
        mp_str(b, t->piece);
        mp_str(b, "try");
        mp_uint(b, t->try);
        mp_str(b, "status");
        mp_str(b, PHASES[t->phase]);
        if (t->phase == T_ENDED) {
            mp_str(b, "cause");
            mp_str(b, t->cause);
        }
    }
}

static void see_baton(machine *m, uint64_t baton)
{
    if (baton > m->baton && now_s() > m->changed_baton_at + world_site()->lease_s / 2) {
        m->changed = true; /* a change at most once per half of the lease */
        m->changed_baton_at = now_s();
    }
    if (baton > m->baton)
        m->baton = baton;
}

static void on_commands(void *context, const request *req, response *res)
{
    machine *m = context;
    val *body = mp_parse(req->body, req->body_len);
    pthread_mutex_lock(&lock);
    while ((m->hung || m->held) && !m->gone) {
        pthread_mutex_unlock(&lock);
        usleep(10000);
        pthread_mutex_lock(&lock);
    }
    if (m->gone || !m->up) {
        res->status = 0;
    } else if (strcmp(req->path, "/status") == 0) {
        advance(m);
        res->status = 200;
        write_report(m, &res->body);
    } else if (!body || !val_get(body, "baton") || !val_get(body, "tenure")) {
        res->status = 400;
    } else {
        advance(m);
        bool accepted = val_uint(body, "baton") >= m->baton && val_uint(body, "tenure") == m->tenure;
        if (accepted) {
            see_baton(m, val_uint(body, "baton"));
            execute(m, val_get(body, "orders"));
        }
        res->status = accepted ? 200 : 409;
        write_report(m, &res->body);
    }
    pthread_mutex_unlock(&lock);
    val_free(body);
}

/* Sends one report and acts on the answer. The caller holds the lock, which is released meanwhile. */
static void report(machine *m)
{
    const site *s = world_site();
    buf body = {0}, answer = {0};
    uint64_t tenure = m->tenure;
    double sent = now_s();
    int node = m->node;
    write_report(m, &body);
    m->changed = false;
    m->reported_at = sent;
    bool mute = m->mute;
    pthread_mutex_unlock(&lock);
    int status = mute ? 0 : http_call(ctl_port((unsigned)node), "POST", "/v1/report", &body, 4.0, &answer);
    while (mute && now_s() < sent + 4.0)
        usleep(20000);
    val *v = status ? mp_parse(answer.data, answer.len) : NULL;
    pthread_mutex_lock(&lock);
    while (m->hung && !m->gone) {
        pthread_mutex_unlock(&lock);
        usleep(10000);
        pthread_mutex_lock(&lock);
    }
    double now = now_s();
    advance(m);
    m->next_at = now + s->report_s * (0.75 + 0.5 * (rand() % 1000) / 1000.0);
    if (status == 200 && now <= sent + 4.0) {
        /* a lower token, no token or an earlier session: dropped */
        if (tenure == m->tenure && v && val_get(v, "baton") && val_uint(v, "baton") >= m->baton) {
            see_baton(m, val_uint(v, "baton"));
            if (sent > m->renewed_at)
                m->renewed_at = sent;
            execute(m, val_get(v, "orders"));
        }
    } else {
        int named = -1;
        for (unsigned i = 0; status == 421 && i < s->nodes; i++) {
            char name[32];
            snprintf(name, sizeof name, "valvehost-%u", i);
            if (strcmp(val_str(v, "steward"), name) == 0 && (int)i != node)
                named = (int)i;
        }
        m->node = named >= 0 ? named : (node + 1) % (int)s->nodes;
        m->next_at = now + (named >= 0 ? 0.1 : 1.0);
        m->changed = false;
    }
    val_free(v);
    buf_free(&body);
    buf_free(&answer);
}

static void *machine_thread(void *context)
{
    machine *m = context;
    pthread_mutex_lock(&lock);
    while (!m->gone) {
        double now = now_s();
        if (!m->up && now >= m->up_at) {
            m->up = true;
            m->renewed_at = now;
            m->next_at = now;
            rec("%s is up", m->name);
        }
        if (m->up && !m->hung) {
            advance(m);
            if (now >= m->next_at || (m->changed && now >= m->reported_at + 0.5))
                report(m);
        }
        pthread_mutex_unlock(&lock);
        usleep(5000);
        pthread_mutex_lock(&lock);
    }
    kill_all(m, "gone with its machine");
    pthread_mutex_unlock(&lock);
    return NULL;
}

/* --- the cloud --- */

static unsigned present(const machine_type *type, bool spot)
{
    unsigned n = 0;
    for (unsigned i = 0; i < machine_total; i++)
        n += machines[i]->type == type && machines[i]->spot == spot && !machines[i]->gone;
    return n;
}

static void rent(const machine_type *type, bool spot, double boot_s)
{
    pthread_t thread;
    machine *m = calloc(1, sizeof *m);
    *m = (machine){.number = machine_total, .type = type, .spot = spot, .tenure = 1, .rented_at = now_s()};
    m->up_at = now_s() + boot_s;
    m->changed_baton_at = -1e9;
    m->node = rand() % (int)world_site()->nodes;
    snprintf(m->name, sizeof m->name, "vm-%06u", machine_total + 1);
    m->port = http_serve(on_commands, m);
    machines[machine_total++] = m;
    pthread_create(&thread, NULL, machine_thread, m);
    pthread_detach(thread);
}

static void gone(machine *m, const char *why)
{
    if (m->gone)
        return;
    m->gone = true;
    m->gone_at = now_s();
    kill_all(m, "gone with its machine");
    rec("%s %s", m->name, why);
}

static const machine_type *find_type(const char *name)
{
    for (unsigned i = 0; i < world_site()->type_count; i++)
        if (strcmp(world_site()->types[i].name, name) == 0)
            return &world_site()->types[i];
    return NULL;
}

static void list_types(response *res)
{
    const site *s = world_site();
    res->status = 200;
    mp_map(&res->body, 1);
    mp_str(&res->body, "hulls");
    mp_list(&res->body, s->type_count);
    for (unsigned i = 0; i < s->type_count; i++) {
        const machine_type *t = &s->types[i];
        mp_map(&res->body, 10);
        mp_str(&res->body, "name");
        mp_str(&res->body, t->name);
        mp_str(&res->body, "cores");
        mp_num(&res->body, t->cores);
        mp_str(&res->body, "cards");
        mp_num(&res->body, 0);
        mp_str(&res->body, "ram_gb");
        mp_num(&res->body, t->ram_gb);
        mp_str(&res->body, "local_gb");
        mp_num(&res->body, 60);
        mp_str(&res->body, "pull_gb_per_s");
        mp_num(&res->body, t->pull_gb_per_s);
        mp_str(&res->body, "rate");
        mp_num(&res->body, t->rate);
        mp_str(&res->body, "market_price");
        mp_num(&res->body, t->market_price);
        mp_str(&res->body, "ready_s");
        mp_num(&res->body, t->ready_s);
        mp_str(&res->body, "yards");
        mp_list(&res->body, 1);
        mp_str(&res->body, s->area);
    }
}

static void rental(const val *body, response *res)
{
    const site *s = world_site();
    const char *hire = val_str(body, "hire");
    const machine_type *type = find_type(val_str(body, "hull"));
    uint64_t number = val_uint(body, "number");
    bool spot = val_bool(body, "loaners");
    if (!type || !*hire || !number || number > 50) {
        res->status = 400;
        return;
    }
    unsigned index = 0;
    while (index < hire_total && strcmp(hires[index].hire, hire) != 0)
        index++;
    if (index == hire_total) {
        unsigned free_now = (spot ? type->spot : type->ordinary) - present(type, spot);
        unsigned count = number < free_now ? (unsigned)number : free_now;
        if (count == 0 || machine_total + count > MACHINES_MAX || hire_total == 512) {
            res->status = 503;
            mp_map(&res->body, 1);
            mp_str(&res->body, "error");
            mp_str(&res->body, "no capacity");
            return;
        }
        snprintf(hires[hire_total].hire, sizeof hires[0].hire, "%s", hire);
        hires[hire_total].first = machine_total;
        hires[hire_total++].count = count;
        for (unsigned i = 0; i < count; i++)
            rent(type, spot, type->ready_s * (s->boot_factor > 0 ? s->boot_factor : 1) * (0.9 + (rand() % 200) / 1000.0));
        rec("cloud: %s rents %u %s%s", hire, count, type->name, spot ? ", spot" : "");
    }
    res->status = 200;
    mp_map(&res->body, 1);
    mp_str(&res->body, "hosts");
    mp_list(&res->body, hires[index].count);
    for (unsigned i = 0; i < hires[index].count; i++)
        mp_str(&res->body, machines[hires[index].first + i]->name);
}

static void give_back(const val *body, response *res)
{
    const val *hosts = val_get(body, "hosts");
    for (uint32_t i = 0; hosts && i < hosts->n; i++)
        for (unsigned k = 0; k < machine_total; k++)
            if (hosts->items[i].str && strcmp(machines[k]->name, hosts->items[i].str) == 0)
                gone(machines[k], "is returned");
    res->status = 200;
    mp_map(&res->body, 0);
}

/* The list is as old as the settings say. */
static void list_machines(const request *req, response *res)
{
    double at = now_s() - world_site()->list_lag_s;
    char *after = query_arg(req, "after");
    buf items = {0};
    uint32_t n = 0;
    for (unsigned i = 0; i < machine_total; i++) {
        const machine *m = machines[i];
        char address[32];
        if (m->rented_at > at || (m->gone && m->gone_at < at) || (after && strcmp(m->name, after) <= 0))
            continue;
        snprintf(address, sizeof address, "127.0.0.1:%d", m->port);
        mp_map(&items, 7);
        mp_str(&items, "id");
        mp_str(&items, m->name);
        mp_str(&items, "address");
        mp_str(&items, address);
        mp_str(&items, "hull");
        mp_str(&items, m->type->name);
        mp_str(&items, "yard");
        mp_str(&items, world_site()->area);
        mp_str(&items, "loaners");
        mp_bool(&items, m->spot);
        mp_str(&items, "status");
        mp_str(&items, m->up_at < at ? "running" : "booting");
        mp_str(&items, "age_s");
        mp_num(&items, at - m->rented_at);
        n++;
    }
    res->status = 200;
    mp_map(&res->body, 2);
    mp_str(&res->body, "hosts");
    mp_list(&res->body, n);
    mp_raw(&res->body, items.data ? items.data : (uint8_t *)"", items.len);
    mp_str(&res->body, "more");
    mp_bool(&res->body, false);
    buf_free(&items);
    free(after);
}

static void on_cloud(void *context, const request *req, response *res)
{
    const site *s = world_site();
    (void)context;
    usleep(60000);
    val *body = req->body_len ? mp_parse(req->body, req->body_len) : NULL;
    pthread_mutex_lock(&lock);
    double now = now_s();
    cloud_tokens = fmin(2 * s->cloud_rps, cloud_tokens + (now - cloud_refilled) * s->cloud_rps);
    cloud_refilled = now;
    if (cloud_down) {
        res->status = 503;
        mp_map(&res->body, 1);
        mp_str(&res->body, "error");
        mp_str(&res->body, "trouble");
    } else if (cloud_tokens < 1) {
        res->status = 429;
    } else {
        cloud_tokens--;
        if (strcmp(req->path, "/machine_types") == 0)
            list_types(res);
        else if (strcmp(req->path, "/rentals/release") == 0) {
            bool late = hold_returns;
            if (late) {
                held_returns++;
                rec("cloud: a request to return machines arrives; it is executed late");
            }
            while (hold_returns) {
                pthread_mutex_unlock(&lock);
                usleep(5000);
                pthread_mutex_lock(&lock);
            }
            if (late)
                held_returns--;
            give_back(body, res);
        }
        else if (strcmp(req->path, "/rentals") == 0 && strcmp(req->method, "POST") == 0)
            rental(body, res);
        else if (strcmp(req->path, "/rentals") == 0)
            list_machines(req, res);
        else
            res->status = 404;
    }
    pthread_mutex_unlock(&lock);
    val_free(body);
}

int cloud_start(void)
{
    const site *s = world_site();
    cloud_tokens = 2 * s->cloud_rps;
    cloud_refilled = now_s();
    pthread_mutex_lock(&lock);
    for (unsigned i = 0; i < s->type_count; i++)
        for (unsigned k = 0; k < s->types[i].up; k++) {
            rent(&s->types[i], false, 0);
            machines[machine_total - 1]->rented_at = now_s() - 600;
        }
    pthread_mutex_unlock(&lock);
    return http_serve(on_cloud, NULL);
}

void cloud_hold_returns(bool on)
{
    pthread_mutex_lock(&lock);
    hold_returns = on;
    pthread_mutex_unlock(&lock);
    rec(on ? "the next request to return machines will be held back" : "DISRUPTION the request to return machines is executed, late");
}

unsigned cloud_held_returns(void)
{
    pthread_mutex_lock(&lock);
    unsigned n = held_returns;
    pthread_mutex_unlock(&lock);
    return n;
}

void cloud_set_down(bool on)
{
    pthread_mutex_lock(&lock);
    cloud_down = on;
    pthread_mutex_unlock(&lock);
    rec("DISRUPTION the cloud's interface is %s", on ? "down" : "back");
}

/* --- what the cases see and do --- */

unsigned machine_count(void)
{
    pthread_mutex_lock(&lock);
    unsigned n = machine_total;
    pthread_mutex_unlock(&lock);
    return n;
}

bool machine_is_up(unsigned number)
{
    pthread_mutex_lock(&lock);
    bool up = number < machine_total && machines[number]->up && !machines[number]->gone;
    pthread_mutex_unlock(&lock);
    return up;
}

const char *machine_name(unsigned number)
{
    return machines[number]->name;
}

unsigned machines_up(void)
{
    unsigned n = 0;
    for (unsigned i = 0; i < machine_count(); i++)
        n += machine_is_up(i);
    return n;
}

void machine_hang(unsigned number, bool on)
{
    pthread_mutex_lock(&lock);
    machines[number]->hung = on;
    pthread_mutex_unlock(&lock);
    rec("DISRUPTION %s %s", machine_name(number), on ? "hangs" : "continues");
}

void machine_mute(unsigned number, bool on)
{
    pthread_mutex_lock(&lock);
    machines[number]->mute = on;
    pthread_mutex_unlock(&lock);
    rec("DISRUPTION reports of %s %s", machine_name(number), on ? "reach nobody" : "pass again");
}

void machine_hold_commands(unsigned number, bool on)
{
    pthread_mutex_lock(&lock);
    machines[number]->held = on;
    pthread_mutex_unlock(&lock);
    rec("DISRUPTION commands to %s %s", machine_name(number), on ? "are held back" : "are delivered, late");
}

void machine_take(unsigned number)
{
    pthread_mutex_lock(&lock);
    gone(machines[number], "is taken by the cloud");
    pthread_mutex_unlock(&lock);
}

unsigned machine_tasks(unsigned number)
{
    unsigned n = 0;
    pthread_mutex_lock(&lock);
    for (unsigned i = 0; number < machine_total && i < machines[number]->task_count; i++)
        n += machines[number]->tasks[i].counted;
    pthread_mutex_unlock(&lock);
    return n;
}

int machine_of_task(const char *piece)
{
    int found = -1;
    pthread_mutex_lock(&lock);
    for (unsigned i = 0; i < machine_total; i++)
        for (unsigned k = 0; k < machines[i]->task_count; k++)
            if (machines[i]->tasks[k].counted && strcmp(machines[i]->tasks[k].piece, piece) == 0)
                found = (int)i;
    pthread_mutex_unlock(&lock);
    return found;
}

bool job_all_completed(const char *id)
{
    pthread_mutex_lock(&lock);
    const known_job *k = find_job(id);
    bool all = k != NULL;
    for (unsigned i = 0; k && i < k->spec.pieces; i++)
        all = all && k->completed[i];
    pthread_mutex_unlock(&lock);
    return all;
}
