#pragma once

namespace dotterelstack::base {

struct error;
class clock;
class manual_clock;
class boottime_clock;
class id_source;
template<typename Type>
class bounded_ring;

} // namespace dotterelstack::base
