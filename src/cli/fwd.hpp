#pragma once

namespace dotterelstack::cli {

struct environment;
struct entry_status;
struct addresses;
class entry_status_source;

} // namespace dotterelstack::cli
