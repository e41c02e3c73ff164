/* Controllers as real processes on loopback: their settings files, their starts and ends. */
#ifndef MV_CONTROLLERS_H
#define MV_CONTROLLERS_H
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

/* Every controller, n0, n1 and so on, as its settings name it. */
typedef struct {
    pid_t pid; /* 0: it does not run */
    uint16_t listen, back;
    char address[40];   /* of its users */
    char *config, *log; /* files */
} mv_controller;

typedef struct {
    const char *program;       /* the service */
    const char *directory;     /* of settings and logs */
    const char *operator_file; /* NULL: none */
    double report_s, lease_s, cancel_s, state_rps;
} mv_controllers_options;

typedef struct {
    mv_controllers_options options;
    mv_controller *list;
    unsigned n;
} mv_controllers;

/* Takes free ports for all. Nothing runs yet. */
mv_controllers *mv_controllers_new(const mv_controllers_options *options, unsigned n);
/* Ends those that run, removes their files unless `keep`. */
void mv_controllers_free(mv_controllers *controllers, bool keep);
/* The settings of one: ports of the state service and the cloud, and of each other controller, by
 * its number, as this one reaches them. */
bool mv_controllers_configure(const mv_controllers *controllers, unsigned which, uint16_t state,
                              uint16_t cloud, const uint16_t *backs);
/* False: the process could not be started. */
bool mv_controllers_start(mv_controllers *controllers, unsigned which);
/* Without any warning. */
void mv_controllers_kill(mv_controllers *controllers, unsigned which);
#endif
