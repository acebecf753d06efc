#pragma once

namespace dotterelstack::dispatch {

class call_port;
class engine;
class exchange;
struct refusal;

} // namespace dotterelstack::dispatch
