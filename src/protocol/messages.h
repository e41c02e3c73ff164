/**
 * All protocol messages as C types, with functions that parse, validate and pack the messages.
 *
 * The C types use the standard terms of the code. Only names.h spells the words of the wire.
 */
#ifndef MV_MESSAGES_H
#define MV_MESSAGES_H
#include "protocol/agent_messages.h"
#include "protocol/cloud_messages.h"
#include "protocol/job_spec.h"
#endif
