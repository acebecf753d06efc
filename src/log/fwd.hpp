#pragma once

namespace dotterelstack::log {

struct event_description;
class event;
class field;
class background_writer;

} // namespace dotterelstack::log
