/* The outside systems of a rehearsal on loopback, by their published protocol: a state service, a
 * cloud and the machines that it rents. */
#ifndef MV_OUTSIDE_H
#define MV_OUTSIDE_H
#include "history.h"
#include "relay.h"
#include "standins.h"

typedef struct mv_outside mv_outside;

typedef struct {
    unsigned machines;     /* that the cloud has */
    double run_s, lease_s; /* of each task; of a machine */
    unsigned report_ms;    /* between two reports of a machine */
    unsigned refuse_every; /* one in so many transactions is above the limit; 0: none */
    mv_history *history;   /* NULL: nothing is recorded */
} mv_outside_options;

mv_outside *mv_outside_start(const mv_outside_options *options);
/* Ends machines and servers in order. */
void mv_outside_stop(mv_outside *outside);
uint16_t mv_outside_state_port(const mv_outside *outside);
uint16_t mv_outside_cloud_port(const mv_outside *outside);
/* Where machines report: ports of the controllers n0, n1 and so on. Before any is rented. */
void mv_outside_controllers(mv_outside *outside, const uint16_t *ports, unsigned n);
void mv_outside_set_cloud_down(mv_outside *outside, bool down);
/* Transactions that were refused for the limit. */
unsigned mv_outside_refused(mv_outside *outside);
/* The link on which commands reach a machine, by its number from 0; nothing if it is not rented. */
void mv_outside_set_commands(mv_outside *outside, unsigned machine, const mv_link_trouble *trouble);
/* The records, while the lock is held. */
st_state *mv_outside_lock(mv_outside *outside);
void mv_outside_unlock(mv_outside *outside);
#endif
