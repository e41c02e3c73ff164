/* What one controller tells another of its links, and of ends of tasks that it cannot record. */
#ifndef MV_VIEW_H
#define MV_VIEW_H
#include "constants.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The judgement of a controller on its own links. The numbers travel between controllers. */
typedef enum {
    MV_LINKS_UNKNOWN = 0,    /* the state service has never answered */
    MV_LINKS_CONNECTED = 1,  /* nothing is amiss */
    MV_LINKS_SUSPECTED = 2,  /* the state service is silent; not judged yet */
    MV_LINKS_CUT_OFF = 3,    /* the state service is silent for this controller alone */
    MV_LINKS_OUTAGE = 4,     /* the state service is silent for everybody */
    MV_LINKS_NO_PEERS = 5,   /* no other controller answers */
    MV_LINKS_NO_WORKERS = 6, /* none of its machines is heard */
    MV_LINKS_CLASSES         /* how many there are */
} mv_link_class;

/* Ages are in seconds, at the moment at which the view was made. */
#define MV_NEVER (-1.0)

/* A link from the view's sender to one other controller. */
typedef struct {
    char peer[MV_NAME_SIZE];
    uint64_t seen_boot, seen_sequence; /* of the newest view that arrived from that peer; 0: none */
    double heard_age_s;                /* anything arrived from it */
    double answered_age_s;             /* a request to it that was answered was sent */
} mv_peer_link;

/* Tasks of a job that are done, as a serialized Roaring bitmap. */
typedef struct {
    char job[MV_ID_SIZE];
    GBytes *tasks;
} mv_outcome;

typedef struct {
    char node[MV_NAME_SIZE];
    uint64_t boot;        /* names the process: a new one after each start */
    uint64_t incarnation; /* its session at the state service, as its grants name it; 0: none yet */
    uint64_t sequence;    /* rises with each view of the process */
    mv_link_class links;
    double class_for_s;   /* how long that class has lasted */
    double state_age_s;   /* the last renewal of the session that was answered was sent */
    double copy_age_s;    /* the last watch that was answered was sent */
    double workers_age_s; /* a machine was heard */
    double round_trip_s;  /* of the last renewal */
    unsigned failures;    /* renewals without success in a row */
    bool launches_held;   /* it starts nothing */
    unsigned waiting;     /* ends of tasks that it could not record yet */
    GArray *peers;        /* mv_peer_link */
    GPtrArray *outcomes;  /* mv_outcome */
} mv_view;

mv_view *mv_view_new(void);
void mv_view_free(mv_view *view);
G_DEFINE_AUTOPTR_CLEANUP_FUNC(mv_view, mv_view_free)
/* The name of a class for logs, metrics and people. */
const char *mv_link_class_name(mv_link_class links);
#endif
