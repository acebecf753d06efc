#pragma once

namespace dotterelstack::routing {

struct backend_facts;
struct load_report;
struct cache_event;
struct prefix_match;
struct route_request;
struct selection;
struct refusal;
struct router_settings;
class prefix_index;
class router;

} // namespace dotterelstack::routing
