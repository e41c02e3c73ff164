/* Bodies good and bad, random bytes included: nothing may crash, leak or be taken for valid. */
#include "protocol/messages.h"
#include "protocol/names.h"
#include "service/peer_codec.h"
#include "service/view_codec.h"
#include "protocol/records.h"

#include <math.h>
#include <string.h>

typedef void (*spoil)(mv_out *o);

/* A sound submission, but for the field `skip`, which `with` writes instead (NULL: left out). */
static GBytes *submission(const char *skip, spoil with)
{
    mv_out *o = mv_out_new();
    static const char *const texts[][2] = {{N_ID, "j-000412"},  {N_LANE, "train"},
                                           {N_CREW, "vision"},  {N_SHAPE, N_BATCH},
                                           {N_URGENCY, N_HIGH}, {N_BUNDLE, "img-07"}};
    static const char *const numbers[] = {N_CORES, N_CARDS,      N_RAM,      N_PULL,
                                          N_GUESS, N_MARK_EVERY, N_MARK_COST};
    static const char *const flags[] = {N_TOGETHER, N_APART, N_LOANERS};
    mv_put_map(o, 20 - (skip && !with));
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++)
        if (g_strcmp0(skip, texts[i][0]) != 0)
            mv_field_text(o, texts[i][0], texts[i][1]);
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
        if (g_strcmp0(skip, numbers[i]) != 0)
            mv_field_num(o, numbers[i], 2.0);
    for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
        if (g_strcmp0(skip, flags[i]) != 0)
            mv_field_bool(o, flags[i], false);
    if (g_strcmp0(skip, N_PIECES) != 0)
        mv_field_u64(o, N_PIECES, 16);
    static const char *const nullable[] = {N_HULLS, N_YARD, N_DUE};
    for (size_t i = 0; i < G_N_ELEMENTS(nullable); i++)
        if (g_strcmp0(skip, nullable[i]) != 0) {
            mv_put_text(o, nullable[i]);
            mv_put_nil(o);
        }
    if (skip && with) {
        mv_put_text(o, skip);
        with(o);
    }
    return mv_out_take(o);
}

static const char *parse(GBytes *bytes, mv_job *job)
{
    gsize n;
    const void *p = g_bytes_get_data(bytes, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    g_assert_nonnull(doc);
    return mv_job_parse(mv_doc_root(doc), job);
}

static void put_negative(mv_out *o)
{
    mv_put_num(o, -1);
}

static void put_nan(mv_out *o)
{
    mv_put_num(o, NAN);
}

static void put_infinite(mv_out *o)
{
    mv_put_num(o, INFINITY);
}

static void put_word(mv_out *o)
{
    mv_put_text(o, "nonsense");
}

static void put_number(mv_out *o)
{
    mv_put_num(o, 3.5);
}

static void put_zero(mv_out *o)
{
    mv_put_u64(o, 0);
}

static void put_huge(mv_out *o)
{
    mv_put_u64(o, MV_MAX_TASKS + 1);
}

static void put_list_of_numbers(mv_out *o)
{
    mv_put_list(o, 1);
    mv_put_u64(o, 1);
}

static void put_empty_list(mv_out *o)
{
    mv_put_list(o, 0);
}

static void put_gang(mv_out *o)
{
    mv_put_text(o, "gang");
}

static void put_service(mv_out *o)
{
    mv_put_text(o, "service"); /* our word for it, not the wire's */
}

static void put_daemon(mv_out *o)
{
    mv_put_text(o, N_DAEMON);
}

static void submissions(void)
{
    mv_job job;
    g_autoptr(GBytes) good = submission(NULL, NULL);
    g_assert_null(parse(good, &job));
    g_assert_cmpstr(job.id, ==, "j-000412");
    g_assert_cmpuint(job.tasks, ==, 16);
    g_assert_cmpfloat(job.due_s, <, 0);
    mv_job_clear(&job);
    static const struct {
        const char *field;
        spoil with;
    } bad[] = {{N_ID, NULL},
               {N_ID, put_word},
               {N_ID, put_number},
               {N_LANE, NULL},
               {N_CREW, put_number},
               {N_SHAPE, put_word},
               {N_SHAPE, put_gang},
               {N_SHAPE, put_service},
               {N_SHAPE, put_number},
               {N_SHAPE, NULL},
               {N_URGENCY, put_word},
               {N_URGENCY, NULL},
               {N_PIECES, put_zero},
               {N_PIECES, put_huge},
               {N_PIECES, put_number},
               {N_PIECES, put_negative},
               {N_CORES, put_negative},
               {N_CORES, put_nan},
               {N_CORES, put_infinite},
               {N_CORES, put_word},
               {N_CORES, NULL},
               {N_RAM, put_negative},
               {N_PULL, put_word},
               {N_GUESS, put_nan},
               {N_MARK_EVERY, put_negative},
               {N_MARK_COST, put_infinite},
               {N_HULLS, put_word},
               {N_HULLS, put_list_of_numbers},
               {N_HULLS, put_empty_list},
               {N_YARD, put_number},
               {N_TOGETHER, put_word},
               {N_APART, NULL},
               {N_LOANERS, put_number},
               {N_BUNDLE, put_number},
               {N_DUE, put_negative},
               {N_DUE, put_word}};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_autoptr(GBytes) b = submission(bad[i].field, bad[i].with);
        const char *why = parse(b, &job);
        g_assert_cmpstr(why, ==, bad[i].field);
        mv_job_clear(&job);
    }
    /* A service keeps its shape through a record and back. */
    g_autoptr(GBytes) service = submission(N_SHAPE, put_daemon);
    g_assert_null(parse(service, &job));
    g_assert_true(job.service);
    g_autoptr(GBytes) record = mv_accepted_pack(&job, 2, 1e9);
    mv_job_clear(&job);
    gsize n;
    const void *p = g_bytes_get_data(record, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    unsigned home;
    double at;
    g_assert_true(mv_accepted_parse(mv_doc_root(doc), &job, &home, &at));
    g_assert_true(job.service && home == 2);
    mv_job_clear(&job);
    /* A field that may be null may also be left out. */
    g_autoptr(GBytes) less = submission(N_DUE, NULL);
    g_assert_null(parse(less, &job));
    mv_job_clear(&job);
}

static void malformed_bytes(void)
{
    static const struct {
        const char *bytes;
        size_t n;
    } bad[] = {{"", 0},
               {"\xc1", 1},                 /* never used */
               {"\x81\xa1", 2},             /* cut short */
               {"\xc4\x01x", 3},            /* binary */
               {"\xd4\x01x", 3},            /* extension */
               {"\xdd\xff\xff\xff\xff", 5}, /* a list of four thousand million items */
               {"\xdf\xff\xff\xff\xff", 5}, /* a map of as many */
               {"\xdb\xff\xff\xff\xff", 5}, /* a text of as many */
               {"\xc0\xc0", 2},             /* two values */
               {"\x91\x91\x91\x91\x91\x91", 6}};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        g_assert_null(mv_doc_parse(bad[i].bytes, bad[i].n));
    /* Nested deeper than any message: refused or read, but no crash. */
    GByteArray *deep = g_byte_array_new();
    for (int i = 0; i < 60000; i++)
        g_byte_array_append(deep, (const guint8 *)"\x91", 1);
    g_byte_array_append(deep, (const guint8 *)"\xc0", 1);
    mv_doc_free(mv_doc_parse(deep->data, deep->len));
    g_byte_array_unref(deep);
}

/* Whatever the bytes are, every parser returns. Some start from a sound message with bytes
 * changed, so that they get far. */
static void random_bytes(void)
{
    GRand *r = g_rand_new_with_seed(20261201);
    g_autoptr(GBytes) good = submission(NULL, NULL);
    gsize size;
    const guint8 *model = g_bytes_get_data(good, &size);
    unsigned parsed = 0;
    for (int round = 0; round < 60000; round++) {
        guint8 buf[600];
        gsize n = (gsize)g_rand_int_range(r, 0, 200);
        if (round % 2) {
            n = size;
            memcpy(buf, model, size);
            for (int k = g_rand_int_range(r, 1, 4); k > 0; k--)
                buf[g_rand_int_range(r, 0, (gint32)n)] = (guint8)g_rand_int_range(r, 0, 256);
        } else {
            for (gsize i = 0; i < n; i++)
                buf[i] = (guint8)g_rand_int_range(r, 0, 256);
        }
        g_autoptr(mv_doc) doc = mv_doc_parse(buf, n);
        if (!doc)
            continue;
        parsed++;
        const msgpack_object *o = mv_doc_root(doc);
        mv_job job;
        mv_report rep;
        mv_holder h;
        bool more, done;
        unsigned tasks, home;
        double at;
        if (mv_job_parse(o, &job) == NULL)
            g_assert_true(job.tasks >= 1 && job.tasks <= MV_MAX_TASKS && isfinite(job.cores));
        mv_job_clear(&job);
        (void)mv_report_parse(o, &rep);
        mv_report_clear(&rep);
        (void)mv_holder_parse(o, &h);
        mv_holder_clear(&h);
        (void)mv_final_parse(o, &done, &tasks);
        if (mv_accepted_parse(o, &job, &home, &at))
            mv_job_clear(&job);
        GArray *list = mv_list_parse(o, &more);
        if (list)
            g_array_unref(list);
        list = mv_types_parse(o);
        if (list)
            g_array_unref(list);
        list = mv_block_parse(o);
        if (list)
            g_array_unref(list);
    }
    g_rand_free(r);
    g_assert_cmpuint(parsed, >, 1000);
}

static void reports(void)
{
    mv_out *o = mv_out_new();
    mv_put_map(o, 8);
    mv_field_text(o, N_HOST, "vm-000231");
    mv_field_text(o, N_ADDRESS, "10.1.0.232:9000");
    mv_field_text(o, N_HULL, "g8");
    mv_field_u64(o, N_TENURE, 1);
    mv_field_u64(o, N_TICK, 88);
    mv_field_u64(o, N_BATON, G_MAXUINT64);
    mv_field_num(o, N_RECALL, 12.5);
    mv_put_text(o, N_PIECES);
    mv_put_list(o, 2);
    mv_put_map(o, 4);
    mv_field_text(o, N_PIECE, "j-000412/3");
    mv_field_u64(o, N_TRY, 2);
    mv_field_text(o, N_STATUS, N_ENDED);
    mv_field_text(o, N_CAUSE, "never heard of");
    mv_put_map(o, 3);
    mv_field_text(o, N_PIECE, "j-000398/0");
    mv_field_u64(o, N_TRY, 1);
    mv_field_text(o, N_STATUS, "something new");
    g_autoptr(GBytes) bytes = mv_out_take(o);
    gsize n;
    const void *p = g_bytes_get_data(bytes, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    mv_report r;
    g_assert_true(mv_report_parse(mv_doc_root(doc), &r));
    g_assert_true(r.token == G_MAXUINT64);
    g_assert_cmpfloat(r.notice_s, ==, 12.5);
    /* Unknown words are read as what frees nothing. */
    g_assert_cmpint(r.tasks[0].cause, ==, MV_WHY_ERROR);
    g_assert_cmpint(r.tasks[1].status, ==, MV_RUNNING);
    mv_report_clear(&r);
}

static GBytes *bytes_of(const char *data, size_t n)
{
    return g_bytes_new_static(data, n);
}

/* Records as the version before services wrote them, byte for byte, and ours as it reads them: it
 * looks fields up by name and passes over what it does not know. */
static void old_records(void)
{
    static const char node[] = "\x83\xa4node\xa2n1\xa3inc\x07\xa4term\x00";
    g_autoptr(GBytes) b = bytes_of(node, sizeof node - 1);
    gsize n;
    const void *p = g_bytes_get_data(b, &n);
    g_autoptr(mv_doc) doc = mv_doc_parse(p, n);
    mv_holder h;
    g_assert_true(mv_holder_parse(mv_doc_root(doc), &h));
    g_assert_cmpuint(h.format, ==, 0); /* it does not say: old */
    g_assert_cmpuint(h.incarnation, ==, 7);
    mv_holder_clear(&h);
    static const char block[] = "\x81\xa8machines\x91\x87\xa2id\xa9vm-000231\xa7"
                                "address\xa8"
                                "1.2.3.4:\xa4hull\xa2g8\xa4yard\xa1z\xa7loaners\xc3\xa4term\x05"
                                "\xa2"
                                "at\xcb\x41\xda\x4a\x5e\xc0\x00\x00\x00";
    g_autoptr(GBytes) bb = bytes_of(block, sizeof block - 1);
    p = g_bytes_get_data(bb, &n);
    g_autoptr(mv_doc) bdoc = mv_doc_parse(p, n);
    g_assert_nonnull(bdoc);
    g_autoptr(GArray) members = mv_block_parse(mv_doc_root(bdoc));
    g_assert_cmpuint(members->len, ==, 1);
    const mv_member *m = &g_array_index(members, mv_member, 0);
    g_assert_true(m->spot && m->term == 5);
    g_assert_cmpfloat(m->at, >, 1e9);
    /* What we leave out reads as it was. */
    g_autoptr(GArray) ours = g_array_new(FALSE, TRUE, sizeof(mv_member));
    mv_member plain = {.id = "vm-000001", .type_name = "g8", .zone_name = "z", .at = 1e9 + 0.75};
    g_array_append_val(ours, plain);
    g_autoptr(GBytes) packed = mv_block_pack(ours);
    p = g_bytes_get_data(packed, &n);
    g_autoptr(mv_doc) odoc = mv_doc_parse(p, n);
    g_autoptr(GArray) back = mv_block_parse(mv_doc_root(odoc));
    m = &g_array_index(back, mv_member, 0);
    g_assert_true(!m->spot && m->term == 0 && m->at == 1e9);
    /* Our entry: the fields that the old version asks for, under its names. */
    mv_holder mine = {.node = "n0", .incarnation = 9, .format = MV_FORMAT};
    g_autoptr(GBytes) entry = mv_holder_pack(&mine);
    p = g_bytes_get_data(entry, &n);
    g_autoptr(mv_doc) edoc = mv_doc_parse(p, n);
    char name[MV_NAME_SIZE];
    uint64_t inc = 0, term = 1;
    g_assert_cmpint(mv_get_text(mv_doc_root(edoc), "node", name, sizeof name), ==, MV_GOT);
    g_assert_cmpint(mv_get_u64(mv_doc_root(edoc), "inc", &inc), ==, MV_GOT);
    g_assert_cmpint(mv_get_u64(mv_doc_root(edoc), "term", &term), ==, MV_GOT);
    g_assert_true(inc == 9 && term == 0);
    g_assert_cmpuint(mv_doc_root(edoc)->via.map.size, ==, 4);
}

/* A demand as a peer reads it; what the old version sends says none of what is new. */
static void demands(void)
{
    mv_demand *d = g_new0(mv_demand, 1);
    g_strlcpy(d->node, "n1", sizeof d->node);
    d->term = 7;
    d->wants = g_array_new(FALSE, TRUE, sizeof(mv_want));
    d->notes = g_array_new(FALSE, TRUE, sizeof(mv_note));
    mv_want w = {.cores = 2, .count = 5, .pull_gb = 1.5, .reserve = true, .service = true};
    g_array_append_val(d->wants, w);
    mv_note note = {.id = "vm-000001", .used_cores = 4, .kept_cores = 3, .kept_ram = 2};
    note.vacated = true;
    note.offer = 12;
    g_array_append_val(d->notes, note);
    g_autoptr(GBytes) packed = mv_demand_pack(d);
    mv_demand_free(d);
    gsize n;
    const uint8_t *p = g_bytes_get_data(packed, &n);
    Mv__Ask *ask = mv__ask__unpack(NULL, n, p);
    g_assert_nonnull(ask);
    g_assert_cmpint(ask->what_case, ==, MV__ASK__WHAT_DEMAND);
    d = mv_demand_unpack(ask->demand);
    mv__ask__free_unpacked(ask, NULL);
    const mv_want *bw = &g_array_index(d->wants, mv_want, 0);
    const mv_note *bn = &g_array_index(d->notes, mv_note, 0);
    g_assert_true(bw->reserve && bw->service && bw->count == 5 && bw->pull_gb == 1.5);
    g_assert_true(bn->vacated && bn->offer == 12 && bn->kept_cores == 3 && bn->kept_ram == 2);
    g_assert_true(bn->used_cores == 4 && d->term == 7);
    mv_demand_free(d);
    /* Field 1 of a note alone, as the old version may send it. */
    static const uint8_t old[] = {0x0a, 0x0b, 0x0a, 0x02, 'n', '1', 0x2a,
                                  0x05, 0x0a, 0x03, 'v',  'm', '1'};
    ask = mv__ask__unpack(NULL, sizeof old, old);
    g_assert_true(ask && ask->what_case == MV__ASK__WHAT_DEMAND);
    d = mv_demand_unpack(ask->demand);
    mv__ask__free_unpacked(ask, NULL);
    bn = &g_array_index(d->notes, mv_note, 0);
    g_assert_true(!bn->vacated && bn->kept_cores == 0);
    g_assert_cmpstr(bn->id, ==, "vm1");
    mv_demand_free(d);
}

/* A view as a peer reads it; one whose names are too long, or of a class that is none, is refused.
 */
static void views(void)
{
    g_autoptr(mv_view) view = mv_view_new();
    g_strlcpy(view->node, "n1", sizeof view->node);
    view->boot = 5;
    view->sequence = 1ull << 40;
    view->links = MV_LINKS_CUT_OFF;
    view->state_age_s = MV_NEVER;
    view->launches_held = true;
    mv_peer_link link = {.peer = "n0", .seen_boot = 3, .seen_sequence = 4, .heard_age_s = 0.5};
    g_array_append_val(view->peers, link);
    mv_outcome *outcome = g_new0(mv_outcome, 1);
    g_strlcpy(outcome->job, "j-000001", sizeof outcome->job);
    outcome->tasks = g_bytes_new_static("\x01\x00\x02", 3);
    g_ptr_array_add(view->outcomes, outcome);
    g_autoptr(GBytes) packed = mv_view_pack(view);
    gsize n;
    const uint8_t *p = g_bytes_get_data(packed, &n);
    Mv__Ask *ask = mv__ask__unpack(NULL, n, p);
    g_assert_true(ask && ask->what_case == MV__ASK__WHAT_VIEW);
    g_autoptr(mv_view) read = mv_view_unpack(ask->view);
    g_assert_cmpstr(read->node, ==, "n1");
    g_assert_true(read->sequence == 1ull << 40 && read->boot == 5 && read->launches_held);
    g_assert_true(read->links == MV_LINKS_CUT_OFF && read->state_age_s == MV_NEVER);
    const mv_peer_link *back = &g_array_index(read->peers, mv_peer_link, 0);
    g_assert_true(back->seen_boot == 3 && back->seen_sequence == 4 && back->heard_age_s == 0.5);
    const mv_outcome *told = g_ptr_array_index(read->outcomes, 0);
    g_assert_true(g_bytes_equal(told->tasks, outcome->tasks));
    ask->view->links = 99;
    g_assert_null(mv_view_unpack(ask->view));
    ask->view->links = MV_LINKS_CUT_OFF;
    g_autofree char *name = ask->view->node;
    ask->view->node = g_strnfill(MV_NAME_SIZE, 'x');
    g_assert_null(mv_view_unpack(ask->view));
    mv__ask__free_unpacked(ask, NULL);
    /* What the version before views makes of it: a message of no kind that it knows. */
    g_autoptr(GBytes) answer = mv_view_answer_pack(view);
    p = g_bytes_get_data(answer, &n);
    Mv__Answer *unpacked = mv__answer__unpack(NULL, n, p);
    g_assert_true(unpacked && unpacked->view && unpacked->status == 0);
    mv__answer__free_unpacked(unpacked, NULL);
}

/* One block may hold the whole fleet; its holder tells the leader of each machine in one message.
 */
static void demand_of_largest_fleet(void)
{
    mv_demand *d = g_new0(mv_demand, 1);
    g_strlcpy(d->node, "n1", sizeof d->node);
    d->term = 1 << 20;
    d->wants = g_array_new(FALSE, TRUE, sizeof(mv_want));
    d->notes = g_array_new(FALSE, TRUE, sizeof(mv_note));
    for (unsigned i = 0; i < 4000; i++) {
        mv_note note = {.idle_s = 0.1,
                        .silent_s = 0.1,
                        .used_cores = 31.5,
                        .used_ram = 63.5,
                        .kept_cores = 1.5,
                        .kept_ram = 1.5,
                        .offer = 1 << 30};
        g_snprintf(note.id, sizeof note.id, "vm-%06u", i);
        note.fence = note.give_back = note.lost = note.up = true;
        note.heard = note.leaving = note.vacated = true;
        g_array_append_val(d->notes, note);
    }
    g_autoptr(GBytes) packed = mv_demand_pack(d);
    mv_demand_free(d);
    g_test_message("%zu bytes", g_bytes_get_size(packed));
    g_assert_cmpuint(g_bytes_get_size(packed), <=, MV_MAX_FRAME);
}

static void job_ids(void)
{
    g_assert_true(mv_job_id_valid("j-000412"));
    static const char *const bad[] = {"",
                                      "j-",
                                      "j-12x",
                                      "k-000412",
                                      "j-000412/3",
                                      "J-000412",
                                      "j-0000000000000000000000000000000000"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
        g_assert_false(mv_job_id_valid(bad[i]));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/codec/submissions", submissions);
    g_test_add_func("/codec/malformed", malformed_bytes);
    g_test_add_func("/codec/random", random_bytes);
    g_test_add_func("/codec/reports", reports);
    g_test_add_func("/codec/old-records", old_records);
    g_test_add_func("/codec/demands", demands);
    g_test_add_func("/codec/views", views);
    g_test_add_func("/codec/demand-of-largest-fleet", demand_of_largest_fleet);
    g_test_add_func("/codec/ids", job_ids);
    return g_test_run();
}
