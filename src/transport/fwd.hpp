#pragma once

namespace dotterelstack::transport {

class event_loop;
class h2_client;
class h2_server;
class h2_stream;
struct h2_handlers;
struct h2_timings;

} // namespace dotterelstack::transport
