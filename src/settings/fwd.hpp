#pragma once

namespace dotterelstack::settings {

struct problem;
class problem_list;
class object_reader;
struct entry_settings;
struct agent_settings;

} // namespace dotterelstack::settings
