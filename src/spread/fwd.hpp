#pragma once

namespace dotterelstack::spread {

struct process;
struct poll;
struct reply;
struct cursor;
class poller;
class poll_server;
class withdrawal_log;

} // namespace dotterelstack::spread
