#pragma once

namespace dotterelstack::membership {

struct listed_host;
class liveness;
class host_table;
struct service_agents;

} // namespace dotterelstack::membership
