/* The picture for whoever arrives in the morning. */
#ifndef MV_STATUS_H
#define MV_STATUS_H
/* Prints the overview of the controller at `address`; the exit code. */
int mv_status_print(const char *address);
#endif
