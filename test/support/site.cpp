#include "support/site.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>

#include "base/id.hpp"
#include "config/files.hpp"
#include "config/key_text.hpp"
#include "standin/common/text.hpp"

namespace dotterelstack::test {

using nlohmann::json;

namespace internal {

constexpr auto poll_interval = std::chrono::milliseconds{20};
constexpr std::array<const char *, 2> organisations{"amreli", "morbi"};

std::string error_text(const std::string &body, const char *name) {
    const auto it = json::parse(body, nullptr, false);
    if (!it.is_object() || !it.contains("error") || !it["error"].is_object()) {
        return {};
    }
    return it["error"].value(name, std::string{});
}

/** Limits that no test reaches. */
config::row wide_row(const std::string &organisation, const std::string &service, bool model) {
    config::row out;
    out.organisation = organisation;
    out.service = service;
    out.concurrency = 200;
    out.requests_per_second = 10000;
    out.prompt_tokens_per_second = model ? 1e6 : 0;
    out.generated_tokens_per_second = model ? 1e6 : 0;
    out.max_queue = 1000;
    return out;
}

config::declarations declare(const std::vector<std::string> &keys) {
    config::declarations out;
    config::service model;
    model.name = "drafting";
    model.models = {"wording-short"};
    out.services[model.name] = model;
    config::service plain;
    plain.name = "booking";
    plain.kind = config::service_kind::plain;
    plain.routes = {{"GET", "/availability", true, false}, {"POST", "/bookings", false, false}};
    out.services[plain.name] = plain;
    for (std::size_t n = 0; n < keys.size(); ++n) {
        const std::string name = organisations.at(n);
        out.organisations[name] = {name, "Town criers of " + name};
        const auto id = site::key_id(n);
        out.keys[id] = {id, name, base::sha256_hex(keys[n]), false};
        out.rows[{name, "drafting"}] = wide_row(name, "drafting", true);
        out.rows[{name, "booking"}] = wide_row(name, "booking", false);
    }
    return out;
}

std::vector<std::string> with_overrides(std::vector<std::string> arguments, const std::vector<std::string> &overrides) {
    for (const auto &it : overrides) {
        arguments.emplace_back("--set");
        arguments.push_back(it);
    }
    return arguments;
}

} // namespace internal

bool eventually(const std::function<bool()> &condition, base::duration limit) {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(internal::poll_interval);
    }
    return true;
}

std::string reply::code() const {
    return internal::error_text(body, "code");
}

std::string reply::ran() const {
    return internal::error_text(body, "ran");
}

caller_stream::caller_stream(std::string address, const std::string &key, std::string prompt, std::size_t tokens)
    : prompt_{std::move(prompt)}, tokens_{tokens}, thread_{[this, address = std::move(address), key] {
          run(address, key);
      }} {}

caller_stream::~caller_stream() {
    {
        const std::scoped_lock lock{mutex_};
        stop_ = true;
    }
    thread_.join();
}

void caller_stream::run(const std::string &address, const std::string &key) {
    http::curl_client client;
    http::request message{"POST", "/v1/completions", {{"Content-Type", "application/json"}}, ""};
    if (!key.empty()) {
        message.fields.push_back({"Authorization", "Bearer " + key});
    }
    message.body =
        json{{"model", "wording-short"}, {"prompt", prompt_}, {"max_tokens", tokens_}, {"stream", true}}.dump();
    http::call_options options;
    options.timeout = base::duration{0};
    // A stream that stays silent for so long counts as broken, so that no test waits forever.
    options.idle_timeout = eventually_limit;
    const auto answer = client.stream(address, message, options, [this](std::string_view part) { return take(part); });
    const std::scoped_lock lock{mutex_};
    if (!answer) {
        error_ = error_.empty() ? answer.error().message : error_;
    } else if (answer.value().status != 200) {
        error_ = answer.value().body;
    }
    ended_ = true;
    changed_.notify_all();
}

bool caller_stream::take(std::string_view part) {
    const std::scoped_lock lock{mutex_};
    rest_.append(part);
    for (auto end = rest_.find("\n\n"); end != std::string::npos; end = rest_.find("\n\n")) {
        take_event(rest_.substr(0, end));
        rest_.erase(0, end + 2);
    }
    changed_.notify_all();
    return !stop_;
}

void caller_stream::take_event(std::string_view event) {
    constexpr std::string_view mark = "data: ";
    const auto at = event.find(mark);
    if (at == std::string_view::npos) {
        return;
    }
    const auto data = event.substr(at + mark.size());
    if (data == "[DONE]") {
        done_ = true;
        return;
    }
    const auto it = json::parse(data, nullptr, false);
    if (it.is_object() && it.contains("error")) {
        error_ = data;
    } else if (it.is_object() && it.contains("choices") && !it["choices"].empty()) {
        const auto text = it["choices"][0].value("text", std::string{});
        text_ += text;
        received_ += text.empty() ? 0U : 1U;
    }
}

std::size_t caller_stream::received() const {
    const std::scoped_lock lock{mutex_};
    return received_;
}

std::string caller_stream::text() const {
    const std::scoped_lock lock{mutex_};
    return text_;
}

bool caller_stream::done() const {
    const std::scoped_lock lock{mutex_};
    return done_;
}

bool caller_stream::ended() const {
    const std::scoped_lock lock{mutex_};
    return ended_;
}

std::string caller_stream::error() const {
    const std::scoped_lock lock{mutex_};
    return error_;
}

bool caller_stream::wait_received(std::size_t tokens) const {
    std::unique_lock lock{mutex_};
    changed_.wait_for(lock, eventually_limit, [&] { return ended_ || received_ >= tokens; });
    return received_ >= tokens;
}

bool caller_stream::wait_end(base::duration limit) const {
    std::unique_lock lock{mutex_};
    return changed_.wait_for(lock, limit, [&] { return ended_; });
}

bool caller_stream::whole() const {
    const std::scoped_lock lock{mutex_};
    return ended_ && done_ && error_.empty() && text_ == standin::generated_text(prompt_, 0, tokens_);
}

bool caller_stream::correct_so_far() const {
    const std::scoped_lock lock{mutex_};
    return standin::generated_text(prompt_, 0, tokens_).starts_with(text_);
}

site::site(site_options options)
    : options_{std::move(options)}, store_{"standin_store"}, platform_{"standin_platform", options_.platform_arguments},
      store_address_{store_.address("store")}, platform_address_{platform_.address("platform")} {
    base::id_source ids;
    directory_ = std::filesystem::temp_directory_path() / ("dotterelstack-site-" + ids.next());
    std::filesystem::create_directories(directory_);
    for (std::size_t n = 0; n < internal::organisations.size(); ++n) {
        keys_.push_back(std::string{config::key_prefix} + ids.next() + ids.next());
    }
    const auto values = internal::declare(keys_);
    if (!config::save_files((directory_ / "declarations").string(), values, {})) {
        throw std::runtime_error{"cannot write the declarations"};
    }
    if (const auto done = apply_files({}); done.code != 0) {
        throw std::runtime_error{"apply failed: " + done.output + done.errors};
    }
    hosts_.resize(options_.engines + options_.services);
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        start_host(n);
    }
    for (std::size_t n = 0; n < options_.entries; ++n) {
        start_entry();
    }
    for (std::size_t n = 0; n < entries_.size(); ++n) {
        if (!serves(n)) {
            throw std::runtime_error{"an entry does not serve: " + entry(n).errors()};
        }
    }
}

site::~site() {
    peers_client_.stop();
    loop_.stop();
    std::error_code ec;
    std::filesystem::remove_all(directory_, ec);
}

void site::start_host(std::size_t n) {
    const bool model = n < options_.engines;
    auto &it = hosts_[n];
    it.name = (model ? "engine-" : "service-") + std::to_string(n);
    if (model) {
        std::vector<std::string> arguments{"--model", "wording-short"};
        if (!options_.engine_arguments.empty()) {
            const auto &more = options_.engine_arguments[std::min(n, options_.engine_arguments.size() - 1)];
            arguments.insert(arguments.end(), more.begin(), more.end());
        }
        it.backend = std::make_unique<child_process>("standin_engine", arguments);
    } else {
        it.backend = std::make_unique<child_process>("standin_service", options_.service_arguments);
    }
    it.backend_address = it.backend->address(model ? "engine" : "service");
    const json settings{{"host", it.name},
                        {"failure_domain", "rajkot"},
                        {"listen", "127.0.0.1:0"},
                        {"store", store_address_},
                        {"backends", json::array({{{"name", "backend-" + it.name},
                                                   {"service", model ? "drafting" : "booking"},
                                                   {"kind", model ? "model" : "plain"},
                                                   {"address", it.backend_address},
                                                   {"models", model ? json::array({"wording-short"}) : json::array()},
                                                   {"honours_fence", true}}})}};
    const auto file = write_settings(it.name, settings);
    it.agent = std::make_unique<child_process>(
        "dotterelstack", internal::with_overrides({"agent", "--settings", file}, options_.agent_overrides));
    it.agent_address = it.agent->address("agent");
    if (options_.relay_agents) {
        it.relay = std::make_unique<tcp_relay>(it.agent_address);
        it.agent_address = it.relay->address();
    }
    list_host(it.name, "agent", it.agent_address, "live");
}

std::size_t site::start_entry(const std::vector<std::string> &overrides) {
    entry_host it;
    it.name = "entry-" + std::to_string(entries_.size());
    auto store = store_address_;
    if (options_.relay_stores) {
        it.store_relay = std::make_unique<tcp_relay>(store_address_);
        store = it.store_relay->address();
    }
    const json settings{{"name", it.name},
                        {"failure_domain", "rajkot"},
                        {"listen", {{"callers", "127.0.0.1:0"}, {"peers", "127.0.0.1:0"}}},
                        {"store", store},
                        {"platform", platform_address_}};
    auto all = options_.entry_overrides;
    all.insert(all.end(), overrides.begin(), overrides.end());
    it.process = std::make_unique<child_process>(
        "dotterelstack", internal::with_overrides({"entry", "--settings", write_settings(it.name, settings)}, all));
    it.callers = it.process->address("callers");
    it.peers = it.process->address("peers");
    list_host(it.name, "entry", it.peers, "live");
    entries_.push_back(std::move(it));
    return entries_.size() - 1;
}

bool site::serves(std::size_t entry) {
    return eventually([&] {
        const bool booking =
            options_.services == 0 || call(entry, "GET", "/services/booking/availability").status == 200;
        if (!booking || (options_.engines > 0 && complete(entry, "ready", 1).status != 200)) {
            return false;
        }
        // Operator commands go by the status, which lags a little.
        const auto status = entry_status(entry);
        return status.is_object() && status.contains("backends") && status["backends"].size() == hosts_.size();
    });
}

std::string site::key_id(std::size_t organisation) {
    return std::string{internal::organisations.at(organisation)} + "-1";
}

std::string site::write_settings(const std::string &name, const json &values) const {
    const auto path = directory_ / (name + ".json");
    std::ofstream file{path};
    file << values.dump(1);
    return path.string();
}

void site::list_host(const std::string &name, const std::string &role, const std::string &address,
                     const std::string &state) const {
    const json body{
        {"host", name}, {"role", role}, {"address", address}, {"failure_domain", "rajkot"}, {"state", state}};
    if (send(platform_address_, {"POST", "/v1/hosts", {}, body.dump()}).status != 200) {
        throw std::runtime_error{"the platform does not take a host"};
    }
}

void site::set_host_state(std::size_t n, const std::string &state) {
    list_host(hosts_.at(n).name, "agent", hosts_.at(n).agent_address, state);
}

command_result site::apply(const std::function<void(config::declarations &)> &change,
                           const std::vector<std::string> &accepted_risks) {
    const auto folder = (directory_ / "declarations").string();
    auto files = config::load_files(folder);
    if (!files) {
        throw std::runtime_error{files.error().message};
    }
    change(files.value().values);
    if (!config::save_files(folder, files.value().values, files.value().base)) {
        throw std::runtime_error{"cannot write the declarations"};
    }
    return apply_files(accepted_risks);
}

command_result site::apply_files(const std::vector<std::string> &accepted_risks) {
    // Use and capacity are unknown until an entry runs, and while entries are paused.
    std::vector<std::string> arguments{"apply", (directory_ / "declarations").string(), "--accept-risk",
                                       "present_use_unknown"};
    for (const auto &it : accepted_risks) {
        arguments.insert(arguments.end(), {"--accept-risk", it});
    }
    return command(std::move(arguments));
}

command_result site::command(std::vector<std::string> arguments) {
    // Commands that change nothing know no author.
    const bool changes = arguments.front() != "status";
    arguments.insert(arguments.end(), {"--store", store_address_, "--platform", platform_address_});
    if (changes) {
        arguments.insert(arguments.end(), {"--author", "operator"});
    }
    child_process it{"dotterelstack", arguments};
    const auto code = it.wait(eventually_limit);
    return {code, it.output(), it.errors()};
}

void site::store_faults(const json &faults) {
    if (send(store_address_, {"POST", "/v1/faults", {}, faults.dump()}).status != 200) {
        throw std::runtime_error{"the store does not take faults"};
    }
}

reply site::send(const std::string &address, const http::request &message, base::duration timeout) {
    // libcurl repeats a request by itself on a reused connection, so that each call takes a new one.
    http::curl_client fresh;
    http::call_options options;
    options.timeout = timeout;
    auto answer = fresh.call(address, message, options);
    if (!answer) {
        return {0, answer.error().message, {}};
    }
    return {answer.value().status, std::move(answer.value().body), std::move(answer.value().fields)};
}

reply site::call(std::size_t entry, const std::string &method, const std::string &target, const std::string &body,
                 http::field_list fields) const {
    fields.push_back({"Authorization", "Bearer " + key()});
    if (!body.empty()) {
        fields.push_back({"Content-Type", "application/json"});
    }
    return send(callers(entry), {method, target, std::move(fields), body});
}

reply site::book(std::size_t entry, const std::string &booking, const std::string &idempotency_key) const {
    http::field_list fields;
    if (!idempotency_key.empty()) {
        fields.push_back({"Idempotency-Key", idempotency_key});
    }
    return call(entry, "POST", "/services/booking/bookings", json{{"booking_id", booking}}.dump(), std::move(fields));
}

reply site::complete(std::size_t entry, const std::string &prompt, std::size_t tokens) const {
    return call(entry, "POST", "/v1/completions",
                json{{"model", "wording-short"}, {"prompt", prompt}, {"max_tokens", tokens}}.dump());
}

json site::backend_get(std::size_t n, const std::string &target) const {
    const auto answer = send(hosts_.at(n).backend_address, {"GET", target, {}, ""});
    if (answer.status != 200) {
        throw std::runtime_error{"a backend server does not answer: " + answer.body};
    }
    return json::parse(answer.body);
}

std::uint64_t site::runs_of(const std::string &booking) const {
    std::uint64_t out = 0;
    for (std::size_t n = options_.engines; n < hosts_.size(); ++n) {
        out += backend_get(n, "/counts").value(booking, std::uint64_t{0});
    }
    return out;
}

std::size_t site::requests_at(std::size_t engine) const {
    return backend_get(engine, "/v1/requests").size();
}

json site::entry_status(std::size_t entry) {
    const auto answer = call_peer(peers(entry), "GET", "/status");
    return json::parse(answer.body, nullptr, false);
}

std::uint64_t site::version_of(std::size_t entry) {
    const auto it = entry_status(entry);
    return it.is_object() ? it.value("config_version", std::uint64_t{0}) : 0;
}

reply site::call_peer(const std::string &address, const std::string &method, const std::string &target,
                      const std::string &body) {
    constexpr auto timeout = std::chrono::seconds{2};
    auto answer = peers_client_.call(address, {method, target, {}, body}, timeout);
    if (!answer) {
        return {0, answer.error().message, {}};
    }
    return {answer.value().status, std::move(answer.value().body), std::move(answer.value().fields)};
}

} // namespace dotterelstack::test
