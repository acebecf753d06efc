#pragma once

namespace dotterelstack::agent {

class agent_daemon;
class request_table;
struct agent_options;
struct backend_options;

} // namespace dotterelstack::agent
