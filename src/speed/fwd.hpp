#pragma once

namespace dotterelstack::speed {

class home_weight;
class server_speed;
struct speed_note;
struct speed_settings;

} // namespace dotterelstack::speed
