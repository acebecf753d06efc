#pragma once

namespace dotterelstack::explain {

struct log_line;
struct explanation;

} // namespace dotterelstack::explain
