#pragma once

namespace dotterelstack::store {

struct object;
struct watch_event;
struct watch_batch;
struct watch_limits;
struct store_faults;
struct store_counters;
struct http_store_options;
class object_store;
class http_store;
class memory_store;

} // namespace dotterelstack::store
