#pragma once

namespace dotterelstack::lease {

struct lease_settings;
struct lease_record;
struct lease_action;
struct fence_reading;
class authority_check;
class fence_check;
class fence_guard;
class lease_state_machine;

} // namespace dotterelstack::lease
