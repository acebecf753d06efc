#include "entry/entry_daemon.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/overloaded.hpp"
#include "http/exchange_caller.hpp"
#include "log/event.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

constexpr std::size_t event_ring_limit = 16384;
// The dispatcher's periodic work runs at least this often.
constexpr auto tick_interval = std::chrono::milliseconds{50};
// Interval at which the body of `GET /status` and the gauges are updated.
constexpr auto status_interval = std::chrono::milliseconds{200};
// Number of candidates for each lease, so that it survives the loss of two failure domains.
constexpr std::ptrdiff_t lease_candidates = 3;
// Added to the drain deadline of a predecessor in the wait for its addresses, for what comes after that deadline.
constexpr auto predecessor_margin = std::chrono::seconds{5};
// Time in which answers that a stop gives at its deadline reach their callers.
constexpr auto ending_time = std::chrono::seconds{2};
// Longest wait for answers to other entries, which repeat their calls elsewhere.
constexpr auto peers_time = std::chrono::seconds{1};
constexpr auto stop_poll = std::chrono::milliseconds{10};
const http::field_list json_type{{"content-type", "application/json"}};

} // namespace internal

entry_daemon::entry_daemon(settings::entry_settings values, const base::clock &time, base::id_source &ids,
                           http::client &client, store::object_store &store)
    : settings_{std::move(values)}, clock_{time}, ids_{ids}, client_{client}, store_{store},
      incarnation_{ids.next()}, events_{internal::event_ring_limit}, h2_client_{loop_, time}, peer_server_{loop_, time},
      agents_{h2_client_, events_}, claims_{time,    store,        ids,
                                            events_, incarnation_, settings_.limits.concurrent_requests},
      peer_calls_{h2_client_}, usage_{{.incarnation = incarnation_,
                                       .failure_domain = settings_.failure_domain,
                                       .requests = settings_.limits.concurrent_requests,
                                       .flush_every = settings_.timings.usage_flush_interval,
                                       .peer_status_interval = settings_.timings.heartbeat_interval},
                                      {time, store, ids, events_, peer_calls_, [this] { return fleet_->entries(); },
                                       [this](const usage::open_window &it) { claims_.on_sealed_windows(it.sealed); }}},
      billing_{settings_.timings,
               incarnation_,
               settings_.platform,
               {time, store, ids, client, [this] { return is_lease_candidate(); },
                [this](std::uint64_t count) { claims_.on_sealed_windows(count); }}},
      shares_{{.incarnation = incarnation_},
              {time, store, events_, peer_calls_,
               [this] { return fleet_ && fleet_->list_known() && fleet_->entries().empty(); },
               [this] { return share_epochs_.authority(); },
               [this] { return fleet_ ? fleet_->entries() : std::vector<peer_entry>{}; }}},
      share_epochs_{settings_.timings,
                    {.incarnation = incarnation_, .host = settings_.name},
                    {time, store, ids, peer_calls_, [this] { return is_lease_candidate(); },
                     [this] { return fleet_->entries(); }, [this] { return shares_.epoch(); },
                     [this](const epoch_object &it) { shares_.adopt(it); }}} {
    const auto random_engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    dispatcher_ =
        std::make_unique<dispatcher>(dispatcher_settings{.failure_domain = settings_.failure_domain,
                                                         .request_deadline = settings_.timings.request_deadline,
                                                         .key_check_interval = settings_.timings.key_check_interval,
                                                         .isolation_limit = settings_.timings.isolation_limit},
                                     dispatcher::dependencies{clock_, ids_, metrics_, agents_, claims_, usage_,
                                                              [random_engine] { return (*random_engine)(); }});
}

entry_daemon::~entry_daemon() {
    stop_threads();
}

base::result<entry_addresses> entry_daemon::start() {
    BOOST_OUTCOME_TRY(listeners, net::open_listeners({settings_.listen.peers, settings_.listen.callers},
                                                     settings_.timings.drain_deadline + internal::predecessor_margin));
    auto next_listener = listeners.begin();
    BOOST_OUTCOME_TRY(peers,
                      peer_server_.listen(std::move(*next_listener++),
                                          [this](const transport::h2_stream &stream) { on_peer_request(stream); }));
    fleet_ = std::make_unique<fleet_feed>(fleet_feed::options{.platform = settings_.platform,
                                                              .self = peers,
                                                              .static_peers = settings_.peers,
                                                              .interval = settings_.timings.host_list_interval},
                                          clock_, client_, h2_client_, events_);
    config_ = std::make_unique<config_feed>(clock_, store_, h2_client_, events_, [this] { return fleet_->entries(); });
    planner_ = std::make_unique<planner_task>(
        planner_task::options{.platform = settings_.platform,
                              .lease = lease_settings_of(settings_.timings, "planner", incarnation_)},
        clock_, ids_, store_, client_, h2_client_, *fleet_, [this] { return is_lease_candidate(); });
    dispatch_thread_ = std::thread{[this] { dispatch(); }};
    claims_.start();
    peers_address_ = peers;
    usage_.start(peers);
    config_->start();
    fleet_->start();
    planner_->start();
    billing_.start();
    shares_.start();
    share_epochs_.start(peers);
    http::server_limits limits;
    limits.body_bytes = settings_.limits.body_bytes;
    BOOST_OUTCOME_TRY(callers, caller_server_.start(
                                   std::move(*next_listener),
                                   [this](const http::exchange &call) { on_caller_request(call); }, limits));
    started_ = true;
    return entry_addresses{callers, peers};
}

void entry_daemon::on_caller_request(const http::exchange &call) {
    const auto &message = call.message();
    if (message.method == "GET" && message.path() == "/metrics") {
        return call.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()});
    }
    if (message.method == "GET" && message.path() == "/healthz") {
        return serving_ ? call.respond({200, internal::json_type, R"({"status":"ok"})"})
                        : call.respond({503, internal::json_type, R"({"status":"not serving"})"});
    }
    auto request = parse_caller_request(message, {.header_bytes = settings_.limits.header_bytes});
    if (!request) {
        metrics_.count("refusals_total", "reason=\"" + request.error().code + "\",service=\"\"");
        return call.respond(to_response(request.error()));
    }
    const auto caller = std::make_shared<http::exchange_caller>(call);
    const bool has_capacity = active_ < settings_.limits.concurrent_requests;
    ++arriving_;
    if (!has_capacity || !events_.try_push(arrival_event{caller, std::move(request.value())})) {
        --arriving_;
        log::write("overloaded", {{"active", active_.load()}});
        metrics_.count("refusals_total", "reason=\"overloaded\",service=\"\"");
        caller->respond(
            dispatch::to_response({503, "overloaded", "this entry is full; send to another one or retry later",
                                   dispatch::ran_claim::no, std::chrono::seconds{1}}));
    }
}

http::response entry_daemon::peer_status() {
    const std::scoped_lock lock{status_mutex_};
    return {200, internal::json_type, status_};
}

void entry_daemon::update_status() {
    json body{{"entry", settings_.name},
              {"failure_domain", settings_.failure_domain},
              {"incarnation", incarnation_},
              {"config_version", dispatcher_->config_version()},
              {"withdrawn_keys", dispatcher_->withdrawn_key_ids()},
              {"share_epoch", shares_.epoch()},
              {"store_reachable", config_->store_reachable()},
              {"active_requests", dispatcher_->active()},
              {"peers", fleet_->peers()},
              {"rows", json::array()},
              {"backends", json::array()}};
    if (const auto age = config_->age()) {
        body["config_age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
    }
    for (const auto &[name, row] : dispatcher_->active_rows()) {
        body["rows"].push_back({{"organisation", name.first}, {"service", name.second}, {"running", row.running}});
    }
    for (const auto &it : fleet_->backends()) {
        body["backends"].push_back({{"name", it.facts.name},
                                    {"host", it.host},
                                    {"service", it.facts.service},
                                    {"models", it.facts.models},
                                    {"failure_domain", it.facts.failure_domain},
                                    {"draining", it.facts.leaving},
                                    {"healthy", it.facts.healthy},
                                    {"role", routing::to_string(it.facts.role)},
                                    {"active", it.active},
                                    {"used_blocks", it.facts.total_blocks - it.report.free_blocks},
                                    {"total_blocks", it.facts.total_blocks}});
    }
    metrics_.set("active_requests", "", static_cast<double>(dispatcher_->active()));
    metrics_.set("config_version", "", static_cast<double>(dispatcher_->config_version()));
    metrics_.set("internal_bytes", "direction=\"sent\"", static_cast<double>(loop_.bytes_sent()));
    metrics_.set("internal_bytes", "direction=\"received\"", static_cast<double>(loop_.bytes_received()));
    const std::scoped_lock lock{status_mutex_};
    status_ = body.dump();
}

bool entry_daemon::is_lease_candidate() const {
    // A few candidates are enough for a fast failover; all 340 entries would read each lease 170 times per second.
    const auto others = fleet_->entries();
    return std::ranges::count_if(others, [this](const peer_entry &it) {
               return it.live && it.address < peers_address_;
           }) < internal::lease_candidates;
}

void entry_daemon::on_peer_request(const transport::h2_stream &stream) {
    const auto &message = stream.message();
    const auto path = message.path();
    if (!started_) {
        return stream.respond({503, internal::json_type, R"({"error":{"code":"starting","message":"repeat later"}})"});
    }
    if (path == "/status") {
        return stream.respond(peer_status());
    }
    if (path == "/config") {
        const auto since = message.query_value("since");
        std::optional<std::uint64_t> version;
        if (since) {
            version = std::strtoull(since->c_str(), nullptr, 10);
        }
        return stream.respond({200, internal::json_type, config_->answer_peer(version)});
    }
    if (path == "/usage/hold" && message.method == "POST") {
        return stream.respond(usage_.on_hold(message));
    }
    if (path == "/usage/release" && message.method == "POST") {
        return stream.respond(usage_.on_release(message));
    }
    if ((path == "/shares/demand" || path == "/shares/loan") && message.method == "POST") {
        return stream.respond(shares_.on_demand(message));
    }
    if (path == "/shares/epoch") {
        return stream.respond(shares_.on_epoch_query());
    }
    if (path == "/keys/withdrawn" && message.method == "POST") {
        const auto body = json::parse(message.body, nullptr, false);
        if (body.is_object() && body.contains("hashes") && body["hashes"].is_array()) {
            keys_withdrawn_event event;
            for (const auto &it : body["hashes"]) {
                event.hashes.push_back(it.is_string() ? it.get<std::string>() : "");
            }
            if (events_.try_push(std::move(event))) {
                return stream.respond({200, internal::json_type, R"({"taken":true})"});
            }
        }
        return stream.respond({503, internal::json_type, R"({"taken":false})"});
    }
    stream.respond({404, internal::json_type, R"({"error":{"code":"unknown_path","message":"no such path"}})"});
}

void entry_daemon::dispatch() {
    auto next_tick = clock_.now();
    while (true) {
        std::size_t arrived = 0;
        if (auto event = events_.pop_for(internal::tick_interval)) {
            arrived = std::holds_alternative<arrival_event>(*event) ? 1 : 0;
            apply_shares();
            handle(*event);
        } else if (events_.closed()) {
            return;
        }
        if (clock_.now() >= next_tick) {
            next_tick = clock_.now() + internal::tick_interval;
            apply_shares();
            dispatcher_->tick();
        }
        active_ = dispatcher_->active();
        arriving_ -= arrived;
        serving_ = dispatcher_->accepts();
        if (clock_.now() >= status_due_) {
            status_due_ = clock_.now() + internal::status_interval;
            update_status();
        }
    }
}

void entry_daemon::apply_config(const config::state_ptr &state) {
    fleet_->set_config(state);
    planner_->set_config(state);
    if (state->version() <= dispatcher_->config_version()) {
        return;
    }
    // Existing rows get their share before the new limits are applied, new rows right afterwards.
    shares_.set_config(*state);
    apply_shares();
    dispatcher_->on_config(state);
    shares_.set_config(*state);
    apply_shares();
}

void entry_daemon::apply_shares() {
    shares_.tick([this](limits::row_key row) { return dispatcher_->admission().status(row); },
                 [this](limits::row_key row, const limits::row_share &share) {
                     dispatcher_->on_share(row.organisation, row.service, share);
                 });
}

void entry_daemon::handle(entry_event &event) {
    auto &to = *dispatcher_;
    std::visit(
        base::overloaded{[&to](arrival_event &it) { to.on_arrival(std::move(it.caller), std::move(it.request)); },
                         [&to](head_event &it) { to.on_head(it.call, it.status, it.fields); },
                         [&to](data_event &it) { to.on_data(it.call, it.part); },
                         [&to](end_event &it) { to.on_end(it.call, it.how); },
                         [&to](cancel_outcome_event &it) { to.on_cancel_outcome(it.request, it.outcome); },
                         [&to](claim_event &it) { to.on_claim(it.decision); },
                         [&to](usage_held_event &it) { to.on_usage_held(it.request); },
                         [this](config_event &it) { apply_config(it.state); },
                         [&to](config_confirmed_event &it) { to.freshness().confirmed(it.when); },
                         [&to](store_outage_event &it) { to.freshness().outage_attested(it.when); },
                         [&to](keys_withdrawn_event &it) { to.on_keys_withdrawn(it.hashes); },
                         [&to](backends_event &it) { to.on_backends(it.all); }, [](shares_changed_event & /*it*/) {},
                         [&to](const stop_event &it) {
                             to.stop_accepting();
                             if (it.step == stop_step::ending) {
                                 to.end_all();
                             }
                         }},
        event);
}

void entry_daemon::drain_and_stop() {
    const auto until = clock_.now() + settings_.timings.drain_deadline;
    client_.end_calls_at(until + internal::ending_time);
    // Requests that wait to be read are still served; those on open connections are refused afterwards.
    caller_server_.quiesce();
    events_.push(stop_event{stop_step::refusing});
    if (!finish_requests(until)) {
        log::write("stop_deadline_passed", {{"active", active_.load()}});
        events_.push(stop_event{stop_step::ending});
        (void)finish_requests(clock_.now() + internal::ending_time);
    }
    stop_threads();
}

/** @return True when no caller waits for anything and no request runs. */
bool entry_daemon::finish_requests(base::instant until) {
    if (!caller_server_.drain(until)) {
        return false;
    }
    // A call runs to its end without its caller, and its outcome and usage are recorded.
    while (arriving_ > 0 || active_ > 0) {
        if (clock_.now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(internal::stop_poll);
    }
    return true;
}

void entry_daemon::stop_threads() {
    if (stopped_) {
        return;
    }
    stopped_ = true;
    if (planner_) {
        planner_->stop();
    }
    billing_.stop();
    share_epochs_.stop();
    shares_.stop();
    if (config_) {
        config_->stop();
    }
    if (fleet_) {
        fleet_->stop();
    }
    // The dispatcher first, since it hands outcomes to the claims and records to the usage until it ends.
    events_.close();
    if (dispatch_thread_.joinable()) {
        dispatch_thread_.join();
    }
    usage_.stop();
    claims_.stop();
    caller_server_.stop();
    peer_server_.quiesce();
    (void)peer_server_.drain(clock_.now() + internal::peers_time);
    peer_server_.stop();
    h2_client_.stop();
    loop_.stop();
}

} // namespace dotterelstack::entry
