/**
 * The command `mulleinvalve status ADDRESS`, which prints an overview of the cluster as tables on
 * standard output.
 */
#ifndef MV_STATUS_COMMAND_H
#define MV_STATUS_COMMAND_H
/**
 * Fetches the overview from the controller at `address`, for example "10.0.0.1:8080", and prints
 * the overview. Returns the exit code: 0 on success, 1 if no readable overview was received, 2 if
 * the address is malformed. Blocks for MV_CLOUD_TIMEOUT_MS at most.
 */
int mv_status_command(const char *address);
#endif
