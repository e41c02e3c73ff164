#include "coordination/foundation/action.h"

void mv_action_list_init(mv_action_list *actions)
{
    *actions = (mv_action_list){.queue = g_queue_new()};
}

void mv_action_list_clear(mv_action_list *actions)
{
    mv_action *action;
    while ((action = g_queue_pop_head(actions->queue)))
        mv_action_free(action);
    g_queue_free(actions->queue);
}

mv_action *mv_action_list_take(mv_action_list *actions)
{
    return g_queue_pop_head(actions->queue);
}

mv_action *mv_action_new(mv_action_list *actions, mv_action_kind kind)
{
    mv_action *action = g_new0(mv_action, 1);
    action->kind = kind;
    action->id = ++actions->last_id;
    g_queue_push_tail(actions->queue, action);
    return action;
}

void mv_action_free(mv_action *action)
{
    if (!action)
        return;
    for (guint i = 0; action->writes && i < action->writes->len; i++)
        g_clear_pointer(&g_array_index(action->writes, mv_write, i).data, g_bytes_unref);
    g_clear_pointer(&action->preconditions, g_array_unref);
    g_clear_pointer(&action->writes, g_array_unref);
    g_clear_pointer(&action->commands, g_array_unref);
    g_clear_pointer(&action->machine_names, g_ptr_array_unref);
    mv_shard_demand_free(action->demand);
    g_free(action);
}

mv_action *mv_transaction_new(mv_action_list *actions, bool urgent)
{
    mv_action *transaction = mv_action_new(actions, MV_ACTION_TRANSACTION);
    transaction->preconditions = g_array_new(FALSE, TRUE, sizeof(mv_precondition));
    transaction->writes = g_array_new(FALSE, TRUE, sizeof(mv_write));
    transaction->urgent = urgent;
    return transaction;
}

void mv_transaction_require(mv_action *transaction, const char *key, uint64_t revision)
{
    mv_precondition precondition = {.revision = revision};
    g_strlcpy(precondition.key, key, sizeof precondition.key);
    g_array_append_val(transaction->preconditions, precondition);
}

void mv_transaction_put(mv_action *transaction, const char *key, GBytes *data, bool session_bound)
{
    mv_write write = {.data = data, .session_bound = session_bound};
    g_strlcpy(write.key, key, sizeof write.key);
    g_array_append_val(transaction->writes, write);
}

void mv_transaction_delete(mv_action *transaction, const char *key)
{
    mv_transaction_put(transaction, key, NULL, false);
}
