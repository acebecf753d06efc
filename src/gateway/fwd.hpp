#pragma once

namespace dotterelstack::gateway {

class admission_trials;
class backend_port;
class backend_protocol;
class backend_table;
class crash_quarantine;
class crash_report_task;
class event_splitter;
class fleet_view;
class forwarder;
class gateway_daemon;
class opaque_exchange;
class placement;
class prefix_cache_tracker;
class prefix_reuse_estimator;
class retry_after_scheduler;
class server_notices;
class start_counter;
class traffic_config;
struct backend_server;
struct exchange_request;
struct gateway_group;
struct limit_share;
struct organisation;
struct request_facts;
struct traffic_route;
struct traffic_service;

} // namespace dotterelstack::gateway
