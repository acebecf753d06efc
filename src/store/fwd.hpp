#pragma once

namespace dotterelstack::store {

struct object;
struct watch_event;
struct watch_batch;
class object_store;

} // namespace dotterelstack::store
