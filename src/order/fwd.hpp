#pragma once

namespace dotterelstack::order {

struct order;
struct journal_entry;
struct journal_action;
struct journal_settings;
struct order_result;
struct executor_settings;
struct executor_action;
struct engine_state;
class order_sender;
class agent_order_sender;
class platform_order_sender;
class order_journal;
class order_executor;

} // namespace dotterelstack::order
