/** Amounts of resources that a machine has or a task takes. */
#ifndef MV_RESOURCES_H
#define MV_RESOURCES_H

/** Processor cores, GPUs and memory in GB. All amounts may be fractions. */
typedef struct {
    double cores, gpus, ram_gb;
} mv_resources;
#endif
