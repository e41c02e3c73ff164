/**
 * Messages between a controller and the cloud: machine types, machine lists, and the requests for
 * scale-out and scale-in.
 *
 * Source: section "cloud" of the protocol page.
 */
#ifndef MV_CLOUD_MESSAGES_H
#define MV_CLOUD_MESSAGES_H
#include "constants.h"
#include "protocol/codec.h"

/** A machine type that the cloud offers. */
typedef struct {
    char name[MV_NAME_SIZE];
    double cores, gpus, ram_gb;
    double image_cache_gb, image_gb_per_s; /* disk space for images, and download rate of images */
    double price, spot_price;              /* per hour */
    double boot_s;               /* nominal time from the request until the machine has booted */
    char (*zones)[MV_NAME_SIZE]; /* zones in which the cloud offers the type; owned */
    size_t zone_count;
} mv_machine_type;

/** A machine in the cloud's list. */
typedef struct {
    char id[MV_NAME_SIZE], address[MV_ADDRESS_SIZE], type_name[MV_NAME_SIZE],
        zone_name[MV_NAME_SIZE];
    bool spot, failed, booting;
    double age_s;
} mv_listed_machine;

/**
 * Reads the fields that a listed machine and a member of a partition have in common. Returns false
 * if the id is absent or invalid. If another text is absent or invalid, the buffer for this text
 * becomes empty; if the boolean is absent or invalid, `*spot` stays unchanged.
 */
bool mv_machine_identity_read(const msgpack_object *object, char id[MV_NAME_SIZE],
                              char address[MV_ADDRESS_SIZE], char type_name[MV_NAME_SIZE],
                              char zone_name[MV_NAME_SIZE], bool *spot);

/**
 * Parses the machine types in a body into an array of mv_machine_type, which the caller unrefs.
 * Returns NULL if the body has no list of types. The array is sorted by name: messages between
 * controllers identify a type by its position, so the order has to be the same on all controllers.
 * A type without a name, cores or memory is left out, and so is each type after the first
 * MV_MACHINE_TYPES_MAX.
 */
GArray *mv_machine_types_parse(const msgpack_object *object);

/** Packs machine types in the form of the record KEY_MACHINE_TYPES; the caller unrefs the bytes. */
GBytes *mv_machine_types_pack(const GArray *types);

/**
 * Parses a page of the cloud's machine list into an array of mv_listed_machine, which the caller
 * unrefs, and sets `*more` to whether another page follows. Returns NULL if the body has no list of
 * machines or no boolean for `*more`. A machine without an id is left out.
 */
GArray *mv_machine_list_parse(const msgpack_object *object, bool *more);

/**
 * Returns the names of machines in a body (char *) as an array that the caller unrefs; NULL if the
 * body has no list of machines.
 */
GPtrArray *mv_machine_names_parse(const msgpack_object *object);

/** Packs a request to delete the machines with these names; the caller unrefs the bytes. */
GBytes *mv_machine_names_pack(const GPtrArray *names);

/**
 * Packs a request for `count` machines; the caller unrefs the bytes. The request is idempotent: the
 * cloud executes requests with the same `request_name` only once.
 */
GBytes *mv_instance_request_pack(const char *request_name, const char *type_name,
                                 const char *zone_name, bool spot, unsigned count);
#endif
