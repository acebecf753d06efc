#pragma once

namespace dotterelstack::retry {

class retry_budget;
class retry_policy;
struct budget_options;
struct policy_options;
struct work_facts;
struct evidence;
struct retry_decision;
class request_history;

} // namespace dotterelstack::retry
