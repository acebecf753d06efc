#pragma once

namespace dotterelstack::base {

struct error;
class clock;
class manual_clock;
class boottime_clock;
class id_source;
class byte_budget;
class byte_holding;
template<typename Type>
class bounded_ring;

} // namespace dotterelstack::base
