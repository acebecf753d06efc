#pragma once

namespace dotterelstack::entry {

struct caller_request;
class agent_exchange;
class dispatcher;
class entry_daemon;

} // namespace dotterelstack::entry
