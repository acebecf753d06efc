#pragma once

namespace dotterelstack::roles {

struct role_demand;
struct role_engine;
struct role_change;
struct role_settings;
class role_planner;

struct capacity_backend;
struct capacity_action;
struct capacity_settings;
class capacity_planner;

struct transfer_settings;
struct transfer_offer;
struct transfer_plan;

} // namespace dotterelstack::roles
