#pragma once

namespace dotterelstack::log {

struct event_description;
class event;
class field;

} // namespace dotterelstack::log
