#include "gateway/gateway_daemon.hpp"

#include <algorithm>
#include <random>

#include "base/descriptors.hpp"
#include "base/heap.hpp"
#include "base/overloaded.hpp"
#include "gateway/peer_call.hpp"
#include "gateway/quota_codec.hpp"
#include "http/connection_room.hpp"
#include "http/exchange_caller.hpp"
#include "log/event.hpp"

namespace dotterelstack::gateway {

namespace internal {

constexpr std::size_t event_ring_limit = 8192;
// Bytes of answers that wait for the forwarder, beyond which their servers are slowed down.
constexpr std::size_t event_ring_bytes = std::size_t{4} << 20U;
// Shares of the process's memory, as divisors. What they leave is for the process itself and for buffers that are
// larger than their content.
constexpr std::size_t caller_bytes_divisor = 6;
constexpr std::size_t server_bytes_divisor = 12;
constexpr std::size_t event_bytes_divisor = 32;
constexpr std::size_t caller_connections_divisor = 5;
constexpr std::size_t peer_connections_divisor = 32;
// A body of the largest legal size always has room, with its copy for the server and beside other requests.
constexpr std::size_t least_caller_bytes = std::size_t{9} << 20U;
// A request in progress takes about this much for its state, its transfer and its connection to a server.
constexpr std::size_t request_bytes = std::size_t{24} << 10U;
// One is kept for further attempts, one is on its way.
constexpr std::size_t body_copies = 2;
// The heap's free memory is returned when messages of callers, after more than half of their budget, take less than the
// part by this divisor.
constexpr std::size_t trim_divisor = 8;
// At other listeners: bodies are not needed there, and the callers are few.
constexpr std::size_t other_connections = 32;
constexpr std::size_t other_bytes = std::size_t{512} << 10U;
constexpr http::caller_limits other_limits{.body_bytes = 4096, .header_timeout = std::chrono::seconds{10}};
// Peers report on the quotas of up to a thousand organisations, each with about 100 bytes.
constexpr http::caller_limits peer_limits{.body_bytes = 131072, .header_timeout = std::chrono::seconds{10}};
// Part of the descriptors for each of the other listeners.
constexpr std::uint64_t other_share_divisor = 16;
// Period of the forwarder's periodic work while requests are in progress, and while there are none.
constexpr auto busy_tick = std::chrono::milliseconds{25};
constexpr auto idle_tick = std::chrono::milliseconds{200};
// Half of the descriptors are for callers; the rest is for connections to backend servers.
constexpr std::uint64_t caller_share_divisor = 2;
// Time of a graceful stop in which new requests are served. The load balancer sends new connections for two to three
// seconds after the readiness probe has failed; later requests get a refusal, because they may not end within the
// grace, and the platform tolerates that only for requests sent within three seconds.
constexpr auto serving_time = std::chrono::milliseconds{2900};
// Time of a graceful stop in which new connections are answered, whether there is work or not. The load balancer needs
// up to three seconds.
constexpr auto listening_time = std::chrono::milliseconds{3200};
// Added to the stop grace, from which on a predecessor has been killed, in the wait for its addresses.
constexpr auto predecessor_margin = std::chrono::seconds{1};
// Time for closing the listener and the connections that are not used any more.
constexpr auto closing_time = std::chrono::seconds{1};
// Time in which answers that a stop gives at its deadline reach their callers.
constexpr auto ending_time = std::chrono::milliseconds{200};
// The stop grace divided by this is reserved for ending the process.
constexpr int grace_reserve_divisor = 12;
// Number of windows whose counts a gateway keeps and publishes.
constexpr std::uint64_t kept_windows = 6;
// Small compared with the limits on applying configurations and removing servers, which are 2 s and more.
constexpr auto change_pause = std::chrono::milliseconds{250};
// Time from the end of a watch's wait until its answer counts as overdue.
constexpr auto answer_margin = std::chrono::milliseconds{200};
// A part of prompts must be held within the contact time of its fifth end, and is after the third one.
constexpr int report_pause_divisor = 3;
constexpr auto stop_poll = std::chrono::milliseconds{50};
// Period in which idle connections of callers are looked for. Limits on them are seconds.
constexpr auto connection_check = std::chrono::milliseconds{500};
// Retry-After when the event ring is full; the ring drains within this time once load falls.
constexpr auto overload_wait = std::chrono::milliseconds{500};

http::response json_answer(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

retry::retry_window_settings retries_of(const settings::gateway_bounds &from) {
    return {from.retry_window, from.retry_ratio, from.retry_allowance};
}

/** The other half of the tolerance covers requests that gateways admit before they have reported the last ones. */
double extra_burst(const settings::gateway_settings &from) {
    constexpr double tolerance_divisor = 2;
    return from.bounds.quota_tolerance / tolerance_divisor;
}

lease::lease_settings lease_of(const settings::gateway_settings &from, const std::string &incarnation) {
    lease::lease_settings out{.name = "usage", .holder = incarnation};
    out.term = from.bounds.lease_term;
    // The lease survives two failed renewals within its term.
    out.renew_every = from.bounds.lease_term * 3 / 10;
    return out;
}

/** @return Longest time between two answers of the store while it is well. */
base::duration answer_interval(const settings::gateway_settings &from) {
    return settings::effective_watch_wait(from) + change_pause + answer_margin;
}

/** @return Age of its last confirmation from which a configuration may be out of date. */
base::duration confirmation_limit(const settings::gateway_settings &from) {
    return std::max(from.bounds.config_apply, answer_interval(from));
}

/** @return Settings in which `descriptors` is no larger than what the system permits. */
settings::gateway_settings within_descriptor_limit(settings::gateway_settings from) {
    const auto limit = base::descriptor_limit();
    if (from.descriptors > limit) {
        log::write("descriptors_limited", {{"settings", from.descriptors}, {"limit", limit}});
        from.descriptors = limit;
    }
    return from;
}

std::size_t memory_bytes(const settings::gateway_settings &from) {
    constexpr double mebibyte = 1024 * 1024;
    return static_cast<std::size_t>(from.memory_mb * mebibyte);
}

std::size_t caller_bytes(const settings::gateway_settings &from) {
    return std::max(least_caller_bytes, memory_bytes(from) / caller_bytes_divisor);
}

std::size_t event_bytes(const settings::gateway_settings &from) {
    return std::min(event_ring_bytes, memory_bytes(from) / event_bytes_divisor);
}

/** Limits of a listener that is not for callers. */
http::server_limits limits_of_other(const settings::gateway_settings &from, std::size_t most,
                                    base::byte_budget &budget) {
    return {.body_bytes = other_limits.body_bytes,
            .connections =
                http::connections_within(most * http::connection_room_bytes, from.descriptors / other_share_divisor),
            .budget = &budget};
}

store_failure failure_of(const base::error &why) {
    return why.code == "connection_lost" ? store_failure::connection_cut : store_failure::no_answer;
}

placement::random_source uniform_source() {
    const auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    return [engine] { return std::uniform_real_distribution<double>{0, 1}(*engine); };
}

/** Address of another gateway, given that ports are the same on all hosts. */
std::string with_port_of(std::string_view address, std::string_view own) {
    return std::string{address.substr(0, address.find(':'))} + std::string{own.substr(own.find(':'))};
}

} // namespace internal

gateway_daemon::gateway_daemon(settings::gateway_settings values, dependencies deps)
    : settings_{internal::within_descriptor_limit(std::move(values))}, deps_{deps}, incarnation_{deps_.ids.next()},
      caller_bytes_{internal::caller_bytes(settings_)}, server_bytes_{internal::memory_bytes(settings_) /
                                                                      internal::server_bytes_divisor},
      peers_bytes_{internal::other_bytes}, metrics_bytes_{internal::other_bytes},
      readiness_bytes_{internal::other_bytes}, events_{internal::event_ring_limit, internal::event_bytes(settings_)},
      time_of_day_{deps_.time, &system_wall_clock}, starts_{[this] { return time_of_day_.now(); },
                                                            settings_.bounds.usage_window, internal::kept_windows},
      kept_transfers_{deps_.time},
      link_{transfers_, kept_transfers_, deps_.protocol, events_, settings_.timings.connect_timeout, server_bytes_},
      quota_bank_{deps_.time, metrics_, internal::extra_burst(settings_)},
      quota_link_{transfers_, events_, [this](const auto &it) { return quota_bank_.answer(it); }},
      forwarder_{{.failure_domain = settings_.failure_domain,
                  .retries = internal::retries_of(settings_.bounds),
                  .extra_burst = internal::extra_burst(settings_)},
                 {deps_.time, metrics_, link_, deps_.protocol, starts_, internal::uniform_source(),
                  [this](crash_report it) { crash_reports_.offer(std::move(it)); },
                  [this] { return config_.confirmed_within(internal::confirmation_limit(settings_)); }, &server_bytes_,
                  &quota_link_, [this](speed::speed_record it) { speeds_.set(std::move(it)); }}},
      config_{{deps_.time, deps_.codec, deps_.client, [this] { return peers(); },
               [this](traffic_config_ptr it) {
                   callers_.set_limits(it->values().limits);
                   quota_bank_.on_config(*it);
                   events_.push(config_event{std::move(it)});
               }}},
      config_peers_{{.overdue = internal::answer_interval(settings_)}, deps_.time, [this] { config_.ask_peers(); }},
      servers_{{deps_.time, deps_.codec, deps_.client, [this] { return peers(); },
                [this](std::vector<backend_server> all) { events_.push(backends_event{std::move(all)}); },
                [this] { return deps_.store.history(); }}},
      crash_reports_{{.incarnation = incarnation_},
                     {deps_.time, deps_.store, deps_.ids,
                      [this](std::string_view address) {
                          http::call_options limits;
                          limits.connect_timeout = settings_.timings.connect_timeout;
                          limits.timeout = settings_.timings.connect_timeout;
                          // A kept connection that has gone silent would look like an engine that has ended.
                          limits.fresh_connection = true;
                          return deps_.client.call(address, deps_.protocol.state_query(), limits).has_value();
                      }}},
      directory_{deps_.time} {
    const feed_settings feed{settings::effective_watch_wait(settings_), settings_.timings.store_retry,
                             internal::change_pause};
    config_feed_ = std::make_unique<store_feed>(
        deps_.store, std::string{deps_.codec.config_prefix()}, feed,
        feed_handlers{
            [this](const auto &all) { std::ranges::for_each(all, [this](const auto &it) { config_.on_object(it); }); },
            [this](std::span<const store::watch_event> changes) {
                // Decoding a configuration is expensive, and the newest one that can be read replaces the others.
                for (auto it = changes.rbegin(); it != changes.rend(); ++it) {
                    if (!it->deleted && config_.on_object(it->item)) {
                        break;
                    }
                }
            },
            [this] { record_store_answer(true); },
            [this](const auto &) { record_store_answer(false); },
            {},
            [this] { config_.on_store_answer(); },
            [this] { return config_.store_version(); }});
    server_feed_ = std::make_unique<store_feed>(
        deps_.store, std::string{deps_.codec.servers_prefix()}, feed,
        feed_handlers{[this](const auto &all) { servers_.on_list(all); },
                      [this](const auto &it) { servers_.on_changes(it); }, [this] { servers_.on_answered(); },
                      [this](const auto &why) { servers_.on_failed(internal::failure_of(why)); },
                      [this] { return servers_.longest_wait(settings::effective_watch_wait(settings_)); }});
    // Every gateway reads each report, so reports are collected for longer than other changes.
    auto crash_feed = feed;
    crash_feed.pause_after_change = settings_.bounds.contact / internal::report_pause_divisor;
    crash_feed_ = std::make_unique<store_feed>(deps_.store, std::string{crash_reports_prefix}, crash_feed,
                                               feed_handlers{[this](const auto &all) {
                                                                 std::vector<store::watch_event> changes;
                                                                 changes.reserve(all.size());
                                                                 for (const auto &it : all) {
                                                                     changes.push_back({it, false});
                                                                 }
                                                                 on_crash_objects(changes);
                                                             },
                                                             [this](const auto &changes) { on_crash_objects(changes); },
                                                             [] {}, [](const auto &) {}});
}

gateway_daemon::~gateway_daemon() {
    stop_threads();
}

base::result<gateway_addresses> gateway_daemon::start() {
    gateway_addresses out;
    const auto &listen = settings_.listen;
    BOOST_OUTCOME_TRY(listeners, net::open_listeners({listen.peers, listen.metrics, listen.readiness, listen.callers},
                                                     settings_.bounds.stop_grace + internal::predecessor_margin));
    auto next_listener = listeners.begin();
    peers_server_.set_limits(internal::peer_limits);
    metrics_server_.set_limits(internal::other_limits);
    readiness_.set_limits(internal::other_limits);
    const auto few = [this](base::byte_budget &budget) {
        return internal::limits_of_other(settings_, internal::other_connections, budget);
    };
    const auto peer_connections =
        internal::memory_bytes(settings_) / internal::peer_connections_divisor / http::connection_room_bytes;
    BOOST_OUTCOME_TRY(
        peers, peers_server_.start(std::move(*next_listener++),
                                   http::answer_with([this](const auto &message) { return answer_peer(message); }),
                                   internal::limits_of_other(settings_, peer_connections, peers_bytes_)));
    out.peers = peers;
    BOOST_OUTCOME_TRY(
        metrics, metrics_server_.start(
                     std::move(*next_listener++), http::answer_with([this](const auto &) {
                         return http::response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()};
                     }),
                     few(metrics_bytes_)));
    out.metrics = metrics;
    BOOST_OUTCOME_TRY(readiness, readiness_.start(std::move(*next_listener++), http::answer_with([this](const auto &) {
                                                      return ready_ && callers_.has_room()
                                                                 ? internal::json_answer(200, R"({"status":"ready"})")
                                                                 : internal::json_answer(503,
                                                                                         R"({"status":"not ready"})");
                                                  }),
                                                  few(readiness_bytes_)));
    out.readiness = readiness;
    member_settings about{.name = settings_.name, .incarnation = incarnation_, .peer_address = peers};
    about.publish_every = settings_.bounds.usage_window / 2;
    quota_link_.set_own_address(peers);
    members_ = std::make_unique<member_task>(
        about, member_task::dependencies{deps_.time, deps_.store, deps_.ids, starts_, directory_,
                                         [this](gateway_group all) {
                                             quota_bank_.set_gateways(all.names);
                                             events_.push(gateways_event{std::move(all)});
                                         },
                                         [this] { return speeds_.get(); },
                                         [this](server_speeds all) { events_.push(speeds_event{std::move(all)}); }});
    published_members_ = members_.get();
    events_.push(gateways_event{{.own = std::string{members_prefix} + incarnation_}});
    forward_thread_ = std::thread{[this] { run_forwarder(); }};
    config_feed_->start();
    config_peers_.start();
    server_feed_->start();
    crash_feed_->start();
    crash_reports_.start();
    members_->start();
    if (deps_.duties != nullptr) {
        lease_ =
            std::make_unique<lease::lease_thread>(internal::lease_of(settings_, incarnation_), deps_.time, deps_.store,
                                                  deps_.ids, [this] { return members_->may_hold_leases(); });
        usage_window_reporter_settings duty;
        duty.window = settings_.bounds.usage_window;
        duty.due = settings_.bounds.usage_due;
        // After a return of the store the first write of each record fails.
        duty.rewrite_time = about.publish_every + 2 * about.retry_after;
        duty.member_ttl = about.record_ttl;
        const auto term = internal::lease_of(settings_, incarnation_);
        duty.takeover_margin = term.margin + term.send_timeout;
        duty_ = std::make_unique<usage_window_reporter>(
            duty, usage_window_reporter::dependencies{deps_.time, [this] { return time_of_day_.now(); }, deps_.store,
                                                      deps_.ids, *deps_.duties, directory_,
                                                      [this](auto address) { return ask_member(address); }});
        duty_thread_ = std::make_unique<usage_window_reporter_thread>(*duty_, *lease_, duty.step,
                                                                      [this] { return members_->may_hold_leases(); });
        lease_->start();
        duty_thread_->start();
    }
    http::server_limits limits;
    limits.connections =
        http::connections_within(internal::memory_bytes(settings_) / internal::caller_connections_divisor,
                                 settings_.descriptors / internal::caller_share_divisor);
    limits.budget = &caller_bytes_;
    limits.request_bytes = internal::request_bytes;
    limits.body_copies = internal::body_copies;
    BOOST_OUTCOME_TRY(callers,
                      callers_.start(
                          std::move(*next_listener++), [this](const http::exchange &call) { on_call(call); }, limits));
    out.callers = callers;
    return out;
}

void gateway_daemon::on_call(const http::exchange &call) {
    auto caller = std::make_shared<http::exchange_caller>(call);
    if (!events_.try_push(arrival_event{caller, call.take_message(), deps_.time.now()})) {
        log::write("overloaded", {{"active", active_.load()}});
        metrics_.count("refusals_total", "reason=\"overloaded\"");
        caller->respond(dispatch::to_response(
            {503, "overloaded", "this gateway is full; retry later", dispatch::ran_claim::no, internal::overload_wait},
            dispatch::seconds_form::fractional));
    }
}

http::response gateway_daemon::answer_peer(const http::request &message) {
    if (message.path() == traffic_config_path) {
        return config_.answer_peer(message);
    }
    if (message.path() == servers_path) {
        return servers_.answer_peer();
    }
    if (message.path() == quota_path) {
        return quota_bank_.answer_peer(message);
    }
    const auto *members = published_members_.load();
    if (message.path() == member_path && members != nullptr) {
        return internal::json_answer(200, to_json(members->record()).dump());
    }
    return internal::json_answer(404, R"({"error":{"code":"unknown_path","message":"nothing is offered here"}})");
}

std::optional<member_record> gateway_daemon::ask_member(std::string_view address) const {
    const auto answer = ask_peer(deps_.client, address, std::string{member_path});
    if (!answer) {
        return std::nullopt;
    }
    auto record = parse_member({std::string{address}, store::absent, *answer});
    return record ? std::optional{std::move(record.value())} : std::nullopt;
}

std::vector<std::string> gateway_daemon::peers() const {
    std::vector<std::string> out;
    if (members_) {
        out = members_->peers();
    }
    for (const auto &it : settings_.seeds) {
        auto address = internal::with_port_of(it, settings_.listen.peers);
        if (address != settings_.listen.peers && std::ranges::find(out, address) == out.end()) {
            out.push_back(std::move(address));
        }
    }
    return out;
}

void gateway_daemon::on_crash_objects(std::span<const store::watch_event> changes) {
    crash_reports_event out;
    for (const auto &it : changes) {
        if (it.item.key == crash_reports_.own_key()) {
            continue;
        }
        if (it.deleted) {
            out.reports.emplace_back(it.item.key, std::nullopt);
            continue;
        }
        crash_reports_.on_object(it.item.key, it.item.version);
        if (auto report = parse_crash_report(it.item)) {
            out.reports.emplace_back(it.item.key, std::move(report.value()));
        } else {
            log::write("crash_report_unreadable", {{"object", it.item.key}, {"reason", report.error().message}});
        }
    }
    if (!out.reports.empty()) {
        events_.push(std::move(out));
    }
}

void gateway_daemon::record_store_answer(bool answered) {
    config_peers_.on_store_call(answered);
    if (store_answers_.exchange(answered) != answered) {
        log::write(answered ? log::event{"store_recovered"} : log::event{"store_unavailable"},
                   {{"config_version", config_.version()}});
    }
}

void gateway_daemon::handle(gateway_event &event) {
    std::visit(base::overloaded{
                   [this](arrival_event &it) {
                       forwarder_.on_arrival(std::move(it.caller), std::move(it.message), it.received);
                   },
                   [this](const head_event &it) { forwarder_.on_head(it.call, it.status, it.fields); },
                   [this](const data_event &it) { forwarder_.on_data(it.call, it.part); },
                   [this](const end_event &it) { forwarder_.on_end(it.call, it.how, it.answer); },
                   [this](config_event &it) { forwarder_.on_config(std::move(it.config)); },
                   [this](const backends_event &it) { forwarder_.on_backends(it.all); },
                   [this](const crash_reports_event &it) {
                       for (const auto &[gateway, report] : it.reports) {
                           forwarder_.on_crash_report(gateway, report);
                       }
                   },
                   [this](const gateways_event &it) { forwarder_.set_gateways(it.all); },
                   [this](const speeds_event &it) { forwarder_.on_server_speeds(it.all); },
                   [this](const settings_event &it) { forwarder_.set_retries(it.retries); },
                   [this](const stop_event &it) { forwarder_.stop(it.how); },
                   [this](const quota_answer_event &it) { forwarder_.on_quota_answer(it.call, it.how, it.answer); },
               },
               event);
}

void gateway_daemon::run_forwarder() {
    base::instant tick_due{};
    while (true) {
        const auto tick = forwarder_.active() > 0 ? internal::busy_tick : internal::idle_tick;
        auto event = events_.pop_for(tick);
        const auto now = deps_.time.now();
        const bool paused = forwarder_.begin_step(now, tick);
        if (paused) {
            tick_due = now + tick;
        }
        if (event) {
            handle(*event);
        } else if (events_.closed()) {
            // libmicrohttpd must not be stopped while connections are suspended.
            return forwarder_.abandon();
        }
        if ((!event && !paused) || now >= tick_due) {
            tick_due = now + tick;
            forwarder_.tick();
        }
        if (now >= connections_due_) {
            connections_due_ = now + internal::connection_check;
            check_connections();
        }
        active_ = forwarder_.active();
        ready_ = forwarder_.ready();
    }
}

void gateway_daemon::check_connections() {
    for (auto *it : {&callers_, &peers_server_, &metrics_server_, &readiness_}) {
        it->close_overdue();
    }
    const auto closed = callers_.closed();
    const auto count = [this](const char *reason, std::uint64_t now, std::uint64_t &before) {
        if (now > before) {
            metrics_.count("connections_closed_total", "reason=\"" + std::string{reason} + "\"", now - before);
            before = now;
        }
    };
    count("idle", closed.idle, closed_.idle);
    count("slow_head", closed.slow, closed_.slow);
    count("slow_body", closed.slow_body, closed_.slow_body);
    count("slow_reader", closed.slow_reader, closed_.slow_reader);
    count("for_room", closed.for_room, closed_.for_room);
    // What a crowd leaves would add to the buffers of large messages, which are not taken from the heap.
    const auto used = caller_bytes_.used();
    caller_bytes_were_full_ = caller_bytes_were_full_ || used > caller_bytes_.limit() / 2;
    if (caller_bytes_were_full_ && used < caller_bytes_.limit() / internal::trim_divisor) {
        caller_bytes_were_full_ = false;
        base::return_free_memory();
    }
    server_connections_.update(kept_transfers_.counts());
    if (const auto age = config_.confirmation_age()) {
        metrics_.set("config_confirmation_age_seconds", "", std::chrono::duration<double>{*age}.count());
    }
    metrics_.set("caller_connections", "", static_cast<double>(callers_.connections()));
    metrics_.set("message_bytes", "side=\"callers\"", static_cast<double>(caller_bytes_.used()));
    metrics_.set("message_bytes", "side=\"servers\"", static_cast<double>(server_bytes_.used()));
    if (const bool room = callers_.has_room(); room != std::exchange(callers_have_room_, room)) {
        log::write(room ? log::event{"callers_have_room"} : log::event{"callers_without_room"},
                   {{"connections", callers_.connections()}});
    }
}

void gateway_daemon::reload(const settings::gateway_settings &values) {
    events_.push(settings_event{internal::retries_of(values.bounds)});
    log::write("settings_reloaded", {{"retry_allowance", values.bounds.retry_allowance}});
}

void gateway_daemon::log_stop_step(const char *step) const {
    log::write("stop_step", {{"step", step}, {"active", active_.load()}, {"connections", callers_.connections()}});
}

void gateway_daemon::drain_and_stop() {
    const auto begun = deps_.time.now();
    log_stop_step("serving");
    callers_.announce_close();
    events_.push(stop_event{shutdown_phase::closing});
    const auto serve_until = begun + std::min<base::duration>(internal::serving_time, settings_.bounds.stop_grace);
    stop_limit_ = begun + settings_.bounds.stop_grace - settings_.bounds.stop_grace / internal::grace_reserve_divisor;
    deps_.client.end_calls_at(stop_limit_);
    // Their calls may take seconds. Requests are served, refused and finished in time meanwhile.
    std::jthread feeds{[this] { stop_feeds(); }};
    std::this_thread::sleep_for(serve_until - deps_.time.now());
    log_stop_step("refusing");
    events_.push(stop_event{shutdown_phase::refusing});
    const auto listen_until = std::min<base::instant>(begun + internal::listening_time, stop_limit_);
    const auto work_until = stop_limit_ - internal::closing_time;
    do {
        std::this_thread::sleep_for(internal::stop_poll);
        // New callers are told to go elsewhere for as long as others are waited for.
    } while (deps_.time.now() < listen_until ||
             ((active_ > 0 || callers_.active() > 0) && deps_.time.now() < work_until));
    log_stop_step("closing_listener");
    callers_.quiesce(stop_limit_);
    log_stop_step("finishing");
    if (!callers_.drain(stop_limit_)) {
        log::write("stop_deadline_passed", {{"active", active_.load()}});
    }
    feeds.join();
    stop_threads();
}

void gateway_daemon::stop_feeds() {
    config_feed_->request_stop();
    config_peers_.request_stop();
    server_feed_->request_stop();
    crash_feed_->request_stop();
    if (duty_thread_) {
        duty_thread_->stop();
        // Releases the lease so that the next holder need not wait for the end of the term; retried until the limit in
        // case the store is unavailable for part of the grace.
        lease_->request_stop(stop_limit_);
    }
    config_feed_->stop();
    config_peers_.stop();
    server_feed_->stop();
    crash_feed_->stop();
    crash_reports_.stop();
}

void gateway_daemon::stop_threads() {
    if (stopped_) {
        return;
    }
    stopped_ = true;
    stop_feeds();
    // Last, so that the counts of all requests are published.
    if (members_) {
        members_->stop(stop_limit_);
    }
    if (lease_) {
        lease_->stop();
    }
    log_stop_step("ending");
    events_.close();
    if (forward_thread_.joinable()) {
        forward_thread_.join();
    }
    // What the forwarder has ended at the deadline reaches its callers.
    (void)callers_.drain(deps_.time.now() + internal::ending_time);
    transfers_.stop();
    kept_transfers_.stop();
    callers_.stop();
    readiness_.stop();
    peers_server_.stop();
    metrics_server_.stop();
}

} // namespace dotterelstack::gateway
