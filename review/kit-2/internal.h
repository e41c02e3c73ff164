/* What the parts of the stand-ins share. */
#ifndef INTERNAL_H
#define INTERNAL_H
#include "kit.h"

#include <time.h>

void state_start(int ports[NODES_MAX], unsigned nodes);
size_t state_read(const char *key, uint8_t *out, size_t size);
void state_key_changed(const char *key, const uint8_t *data, size_t len); /* called with the state service's lock held */
int cloud_start(void);
int ctl_port(unsigned node);
void ctl_setup(const int state_ports[NODES_MAX], int cloud_port);
void ctl_end_all(void);
void break_rule(const char *rule, const char *format, ...) __attribute__((format(printf, 2, 3)));
void job_cancel_told(const char *id); /* a user was told that the job is cancelled */
#endif
