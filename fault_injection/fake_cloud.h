/**
 * The list of machine types that the fake cloud offers. The simulation in tests/ and the fake cloud
 * server on loopback use the same list.
 */
#ifndef MV_FAKE_CLOUD_H
#define MV_FAKE_CLOUD_H
#include "coordination/controller.h"

#include <glib.h>

/** Returns an empty list of mv_machine_type, in the form that mv_controller_types_listed takes. The
 * caller frees the list. */
GArray *fake_types_new(void);

/** Adds a copy of `type` with the given name to the list. The copy is available in zone "z" only.
 */
void fake_types_add(GArray *types, const char *name, mv_machine_type type);

/** Makes every type of the list available in zone "y" in addition to zone "z". */
void fake_types_add_zone(GArray *types);
#endif
