#pragma once

namespace dotterelstack::config {

struct organisation;
struct key;
struct route;
struct key_location;
struct service;
struct row;
struct planned_change;
struct declarations;
struct item_change;
struct change;
struct head;
struct item_origin;
class config_state;
class config_tracker;
class repository;

} // namespace dotterelstack::config
