#pragma once

namespace dotterelstack::pace {

class server_pace;
struct pace_settings;
struct first_step;

} // namespace dotterelstack::pace
