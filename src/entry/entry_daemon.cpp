#include "entry/entry_daemon.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "log/event.hpp"

namespace dotterelstack::entry {

using nlohmann::json;

namespace internal {

constexpr std::size_t event_ring_limit = 16384;
// The dispatcher's periodic work runs at least this often.
constexpr auto tick_interval = std::chrono::milliseconds{50};
// Entries that stand for each lease, so that it survives the loss of two failure domains.
constexpr std::ptrdiff_t lease_candidates = 3;
const http::field_list json_type{{"content-type", "application/json"}};

/** The connection to a caller over libmicrohttpd. */
class http_caller final : public caller_port {
public:
    explicit http_caller(http::exchange call) : call_{std::move(call)} {}

    void respond(const http::response &answer) override { call_.respond(answer); }
    void start(int status, const http::field_list &fields) override { call_.start(status, fields); }
    [[nodiscard]] bool write(std::string_view part) override { return call_.write(part); }
    void finish() override { call_.finish(); }
    void abort() override { call_.abort(); }
    [[nodiscard]] bool gone() const override { return call_.caller_gone(); }

private:
    const http::exchange call_;
};

template<typename... Functions>
struct event_visitor : Functions... {
    using Functions::operator()...;
};

template<typename... Functions>
event_visitor(Functions...) -> event_visitor<Functions...>;

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
                                       .status_every = settings_.timings.heartbeat_interval},
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
               [this] { return share_epochs_.authority(); }}},
      share_epochs_{settings_.timings,
                    {.incarnation = incarnation_, .host = settings_.name},
                    {time, store, ids, peer_calls_, [this] { return is_lease_candidate(); },
                     [this] { return fleet_->entries(); }, [this] { return shares_.epoch(); },
                     [this](const epoch_object &it) { shares_.adopt(it); }}} {
    const auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
    dispatcher_ = std::make_unique<dispatcher>(
        dispatcher_settings{.failure_domain = settings_.failure_domain,
                            .request_deadline = settings_.timings.request_deadline,
                            .key_check_interval = settings_.timings.key_check_interval,
                            .isolation_limit = settings_.timings.isolation_limit},
        dispatcher::dependencies{clock_, ids_, metrics_, agents_, claims_, usage_, [engine] { return (*engine)(); }});
}

entry_daemon::~entry_daemon() {
    stop_threads();
}

base::result<entry_addresses> entry_daemon::start() {
    BOOST_OUTCOME_TRY(peers, peer_server_.listen(settings_.listen.peers,
                                                 [this](const transport::h2_stream &stream) { on_peer(stream); }));
    fleet_ = std::make_unique<fleet_feed>(fleet_feed::options{.platform = settings_.platform,
                                                              .self = peers,
                                                              .static_peers = settings_.peers,
                                                              .interval = settings_.timings.host_list_interval},
                                          clock_, client_, h2_client_, events_);
    config_ = std::make_unique<config_feed>(clock_, store_, h2_client_, events_, [this] { return fleet_->peers(); });
    dispatch_thread_ = std::thread{[this] { dispatch(); }};
    claims_.start();
    peers_address_ = peers;
    usage_.start(peers);
    config_->start();
    fleet_->start();
    billing_.start();
    shares_.start();
    share_epochs_.start(peers);
    http::server_limits limits;
    limits.body_bytes = settings_.limits.body_bytes;
    BOOST_OUTCOME_TRY(callers,
                      caller_server_.start(
                          settings_.listen.callers, [this](const http::exchange &call) { on_call(call); }, limits));
    return entry_addresses{callers, peers};
}

void entry_daemon::on_call(const http::exchange &call) {
    const auto &message = call.message();
    if (message.method == "GET" && message.path() == "/metrics") {
        return call.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_.text()});
    }
    if (message.method == "GET" && message.path() == "/healthz") {
        return call.respond({200, internal::json_type, R"({"status":"ok"})"});
    }
    auto request = parse_caller_request(message, {.header_bytes = settings_.limits.header_bytes});
    if (!request) {
        metrics_.count("refusals_total", "reason=\"" + request.error().code + "\",service=\"\"");
        return call.respond(to_response(request.error()));
    }
    const auto caller = std::make_shared<internal::http_caller>(call);
    const bool room = active_ < settings_.limits.concurrent_requests;
    if (!room || !events_.try_push(arrival_event{caller, std::move(request.value())})) {
        log::write("overloaded", {{"active", active_.load()}});
        metrics_.count("refusals_total", "reason=\"overloaded\",service=\"\"");
        caller->respond(to_response({503, "overloaded", "this entry is full; send to another one or retry later",
                                     ran_claim::no, std::chrono::seconds{1}}));
    }
}

http::response entry_daemon::peer_status() {
    const json body{{"name", settings_.name},
                    {"failure_domain", settings_.failure_domain},
                    {"incarnation", incarnation_},
                    {"config_version", version_.load()},
                    {"withdrawn_keys", withdrawn_.load()},
                    {"share_epoch", shares_.epoch()},
                    {"store_reachable", config_ && config_->store_reachable()},
                    {"active_requests", active_.load()}};
    return {200, internal::json_type, body.dump()};
}

bool entry_daemon::is_lease_candidate() const {
    // A few candidates succeed each other fast enough; all 340 entries would read each lease 170 times per second.
    const auto others = fleet_->entries();
    return std::ranges::count_if(others, [this](const peer_entry &it) {
               return it.live && it.address < peers_address_;
           }) < internal::lease_candidates;
}

void entry_daemon::on_peer(const transport::h2_stream &stream) {
    const auto &message = stream.message();
    const auto path = message.path();
    if (path == "/status") {
        return stream.respond(peer_status());
    }
    if (path == "/config" && config_) {
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
    if (path == "/shares/demand" && message.method == "POST") {
        return stream.respond(shares_.on_demand(message));
    }
    if (path == "/shares/epoch") {
        return stream.respond(shares_.on_epoch_question());
    }
    if (path == "/keys/withdrawn" && message.method == "POST") {
        const auto body = json::parse(message.body, nullptr, false);
        if (body.is_object() && body.contains("hashes") && body["hashes"].is_array()) {
            withdrawn_event event;
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
        if (auto event = events_.pop_for(internal::tick_interval)) {
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
        version_ = dispatcher_->config_version();
        withdrawn_ = dispatcher_->withdrawn().size();
    }
}

void entry_daemon::take_config(const config::state_ptr &state) {
    fleet_->set_config(state);
    if (state->version() <= dispatcher_->config_version()) {
        return;
    }
    // Rows that exist get their share before the new limits, rows that are new right after them.
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
    std::visit(internal::event_visitor{
                   [&to](arrival_event &it) { to.on_arrival(std::move(it.caller), std::move(it.request)); },
                   [&to](head_event &it) { to.on_head(it.call, it.status, it.fields); },
                   [&to](data_event &it) { to.on_data(it.call, it.part); },
                   [&to](end_event &it) { to.on_end(it.call, it.how); },
                   [&to](cancel_event &it) { to.on_cancel_outcome(it.request, it.outcome); },
                   [&to](claim_event &it) { to.on_claim(it.decision); },
                   [&to](usage_held_event &it) { to.on_usage_held(it.request); },
                   [this](config_event &it) { take_config(it.state); },
                   [&to](confirmed_event &it) { to.freshness().confirmed(it.when); },
                   [&to](outage_event &it) { to.freshness().outage_attested(it.when); },
                   [&to](withdrawn_event &it) { to.on_keys_withdrawn(it.hashes); },
                   [&to](backends_event &it) { to.on_backends(it.all); }, [](share_event & /*it*/) {},
                   [&to](stop_event & /*it*/) { to.stop_accepting(); }},
               event);
}

void entry_daemon::drain_and_stop() {
    caller_server_.quiesce();
    events_.push(stop_event{});
    const auto limit = clock_.now() + settings_.timings.drain_deadline;
    // The server counts a request until its last byte is sent, the dispatcher until its answer is complete.
    while (caller_server_.active() > 0 && clock_.now() < limit) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    if (caller_server_.active() > 0) {
        log::write("stop_deadline_passed", {{"active", caller_server_.active()}});
    }
    stop_threads();
}

void entry_daemon::stop_threads() {
    if (stopped_) {
        return;
    }
    stopped_ = true;
    billing_.stop();
    share_epochs_.stop();
    shares_.stop();
    if (config_) {
        config_->stop();
    }
    if (fleet_) {
        fleet_->stop();
    }
    usage_.stop();
    claims_.stop();
    caller_server_.stop();
    peer_server_.stop();
    h2_client_.stop();
    loop_.stop();
    events_.close();
    if (dispatch_thread_.joinable()) {
        dispatch_thread_.join();
    }
}

} // namespace dotterelstack::entry
