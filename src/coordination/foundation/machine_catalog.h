/**
 * The machine types that the cloud offers, in the cloud's order. A type mask has one bit for each
 * type.
 */
#ifndef MV_MACHINE_CATALOG_H
#define MV_MACHINE_CATALOG_H
#include "protocol/messages.h"

#include <glib.h>

/**
 * The list of machine types, which is replaced as a whole and never changed in place, and the state
 * of the request that reads the list again.
 */
typedef struct {
    GArray *types;       /**< mv_machine_type; NULL: the types are not known yet */
    uint64_t revision;   /**< revision of the record that stores the types; 0: there is no record */
    double requested_at; /**< when the types were last requested from the cloud */
    uint64_t request_id; /**< id of the request in flight; 0: no request is in flight */
} mv_machine_catalog;

/** Returns the number of known types. */
guint mv_machine_catalog_size(const mv_machine_catalog *catalog);
/** Returns the type at an index, which must be below the size. */
const mv_machine_type *mv_machine_catalog_get(const mv_machine_catalog *catalog, guint index);
/** Returns the index of the type with this name, or -1 if there is no such type. */
int mv_machine_catalog_find(const mv_machine_catalog *catalog, const char *name);
/** Returns the mask of the types on which a task of the job may run. */
uint32_t mv_machine_catalog_mask(const mv_machine_catalog *catalog, const mv_job_spec *spec);
#endif
