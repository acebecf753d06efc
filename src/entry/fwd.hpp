#pragma once

namespace dotterelstack::entry {

struct caller_request;
struct refusal_answer;
class dispatcher;
class entry_daemon;

} // namespace dotterelstack::entry
