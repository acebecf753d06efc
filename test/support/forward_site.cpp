#include "support/forward_site.hpp"

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace dotterelstack::test {

using nlohmann::json;

namespace internal {

json route(const std::string &prefix, const std::string &kind, const std::string &service, int attempts, bool resumable,
           int objective_ms) {
    return {{"Name", prefix},     {"Host", "site.example"},  {"PathPrefix", "/" + prefix + "/"},
            {"Kind", kind},       {"TimeoutMs", 4000},       {"TargetLatencyMs", objective_ms},
            {"Service", service}, {"MaxAttempts", attempts}, {"Resumable", resumable},
            {"Priority", 1}};
}

std::filesystem::path make_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "forward-site-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error{"no temporary folder for settings"};
    }
    return name;
}

} // namespace internal

json desk_entry(const std::string &address, std::uint64_t sequence) {
    return {{"Service", "desk"}, {"Address", address}, {"Zone", "east"},       {"Version", "v1"},
            {"Slots", 6},        {"State", "ready"},   {"ColdRemainingMs", 0}, {"Sequence", sequence}};
}

std::string whole_stream(const std::string &id, int events) {
    std::string out;
    for (int n = 1; n <= events; ++n) {
        out += "id: " + std::to_string(n) + "\ndata: " + id + "-" + std::to_string(n) + "\n\n";
    }
    return out;
}

forward_site::forward_site()
    : folder_{internal::make_folder()}, objects_{"standin_objects"}, store_{objects_.address("objects")} {}

forward_site::~forward_site() {
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
}

void forward_site::start_runner(const std::string &id, const std::string &stage, const std::vector<std::string> &more) {
    std::vector<std::string> arguments{"--store", store_, "--id", id, "--service", stage.empty() ? "desk" : "llm"};
    if (!stage.empty()) {
        arguments.insert(arguments.end(), {"--stage", stage});
    }
    arguments.insert(arguments.end(), more.begin(), more.end());
    runners_[id] = std::make_unique<child_process>("standin_runner", arguments);
    (void)runners_[id]->address("runner");
}

void forward_site::register_server(const std::string &id, const std::string &address) {
    const json body{{"Metadata", {{"Name", id}}}, {"Spec", desk_entry(address, ++server_sequence_)}};
    (void)client_.call(store_, {"PUT", "/objects/servers/" + id, {}, body.dump()}, {});
}

void forward_site::kill_runner(const std::string &id) {
    auto node = runners_.extract(id);
    node.mapped()->signal(SIGKILL);
    (void)node.mapped()->wait();
    former_runners_.push_back(std::move(node.mapped()));
}

std::vector<std::string> forward_site::drop_ended_runners() {
    std::vector<std::string> out;
    for (const auto &id : runners()) {
        if (runners_.at(id)->wait(std::chrono::milliseconds{0})) {
            out.push_back(id);
            former_runners_.push_back(std::move(runners_.extract(id).mapped()));
        }
    }
    return out;
}

std::vector<std::string> forward_site::runners() const {
    std::vector<std::string> out;
    for (const auto &[id, it] : runners_) {
        out.push_back(id);
    }
    return out;
}

void forward_site::start_gateway(std::size_t n) {
    if (n >= gateways_.size()) {
        const std::scoped_lock lock{address_mutex_};
        gateways_.resize(n + 1);
        store_paths_.resize(n + 1);
        caller_addresses_.resize(n + 1, "127.0.0.1:0");
        readiness_addresses_.resize(n + 1, "127.0.0.1:0");
    }
    if (!store_paths_[n]) {
        store_paths_[n] = std::make_unique<tcp_relay>(store_);
    }
    launch_gateway(n);
    const auto callers = gateways_[n]->address("callers");
    const auto readiness = gateways_[n]->address("readiness");
    const std::scoped_lock lock{address_mutex_};
    caller_addresses_[n] = callers;
    readiness_addresses_[n] = readiness;
}

void forward_site::launch_gateway(std::size_t n) {
    const std::string file = write_settings(n);
    gateways_[n].reset();
    gateways_[n] =
        std::make_unique<child_process>("dotterelstack", std::vector<std::string>{"gateway", "--settings", file});
}

std::filesystem::path forward_site::settings_file(std::size_t n) const {
    return folder_ / ("gateway-" + std::to_string(n) + ".json");
}

std::string forward_site::write_settings(std::size_t n, double share) const {
    // A gateway that starts again listens where it did, as a restarted host does.
    const json values{{"name", "gateway-" + std::to_string(n)},
                      {"failure_domain", "east"},
                      {"listen",
                       {{"callers", caller_addresses_[n]},
                        {"readiness", readiness_addresses_[n]},
                        {"peers", "127.0.0.1:0"},
                        {"metrics", "127.0.0.1:0"}}},
                      {"store", store_paths_[n]->address()},
                      {"memory_mb", memory_mb_},
                      {"descriptors", descriptors_},
                      {"duties", store_paths_[n]->address()},
                      {"bounds", {{"stop_grace_s", 8}, {"usage_window_s", 1}, {"retry_allowance", 500}}}};
    const auto text = values.dump();
    const auto file = settings_file(n);
    std::ofstream{file} << text.substr(0, static_cast<std::size_t>(share * static_cast<double>(text.size())));
    return file;
}

json forward_site::next_config(const std::vector<std::string> &keys) {
    json organisation{{"Name", "sangh"}, {"ApiKeys", keys}};
    organisation.update(quota_);
    const auto route = [this](const std::string &prefix, const char *kind, const char *service, int attempts,
                              bool resumable = false) {
        return internal::route(prefix, kind, service, attempts, resumable, objective_ms_);
    };
    json routes{route("draft", "streaming", "llm", 3, true), route("query", "streaming", "llm", 1),
                route("book", "unsafe", "desk", 2), route("read", "safe", "desk", 3)};
    for (int n = 0; n < idle_routes_; ++n) {
        const auto prefix = "idle-" + std::to_string(n);
        routes.push_back(route(prefix, "safe", "desk", 3));
    }
    json desk{{"Name", "desk"}};
    if (max_connections_ > 0) {
        desk["MaxConnections"] = max_connections_;
    }
    return {{"Version", ++version_},
            {"Routes", std::move(routes)},
            {"Services", {{{"Name", "llm"}, {"Engine", {{"Slots", 6}}}}, std::move(desk)}},
            {"Tenants", {std::move(organisation)}}};
}

void forward_site::configure(const std::vector<std::string> &keys) {
    const json body{{"Metadata", {{"Name", "main"}}}, {"Spec", next_config(keys)}};
    const auto done = client_.call(store_, {"PUT", "/objects/config/main", {}, body.dump()}, {});
    if (!done || done.value().status != 200) {
        throw std::runtime_error{"the configuration was not written"};
    }
}

void forward_site::set_store_faults(const json &faults) const {
    const auto done = client_.call(store_, {"POST", "/faults", {}, faults.dump()}, {});
    if (!done || done.value().status != 200) {
        throw std::runtime_error{"the store's faults were not set"};
    }
}

void forward_site::set_store_down(bool down) {
    set_store_faults({{"down", down}});
}

void forward_site::set_store_delay(std::chrono::milliseconds delay) {
    set_store_faults({{"delay_ms", delay.count()}});
}

void forward_site::write_foreign(const std::string &key, const std::string &value) const {
    set_store_faults({{"foreign", {{"key", key}, {"value", value}}}});
}

void forward_site::copy_store() {
    set_store_faults({{"copy", true}});
}

void forward_site::restore_store(const std::vector<std::string> &keys) {
    // More than runners and gateways write between a copy and its return in a test.
    constexpr int other_writes = 500;
    json writes = json::array();
    writes.push_back({{"key", "config/main"}, {"spec", next_config(keys)}});
    for (int n = 0; n < other_writes; ++n) {
        writes.push_back({{"key", "others/it"}, {"spec", n}});
    }
    set_store_faults({{"restore", true}, {"writes", std::move(writes)}});
}

std::string forward_site::callers(std::size_t n) const {
    const std::scoped_lock lock{address_mutex_};
    return caller_addresses_.at(n);
}

http::request forward_site::message(const std::string &kind, const std::string &id, const std::string &key,
                                    http::field_list more, std::string body) {
    http::request message{"POST", "/" + kind + "/1", std::move(more), std::move(body)};
    message.fields.insert(
        message.fields.end(),
        {{"Host", "site.example"}, {"Attempt-Id", id}, {"Authorization", "Bearer " + key}, {"Deadline-Ms", "4000"}});
    const bool prompt = kind == "draft" || kind == "query";
    if (prompt) {
        message.fields.push_back({"Model", "m"});
        message.fields.push_back({"Token-Usage", kind == "draft" ? "9000,50" : "400,20"});
    }
    if (prompt && !http::find_field(message.fields, "Prompt-Prefix")) {
        message.fields.push_back(
            {"Prompt-Prefix", kind == "draft" ? "a1:8000,b" + id.substr(id.size() - 2) + ":1000" : "a2:100,b2:300"});
    }
    return message;
}

forward_reply forward_site::send(std::size_t n, const std::string &kind, const std::string &id, const std::string &key,
                                 http::field_list more, std::string body) const {
    http::call_options options;
    options.timeout = std::chrono::seconds{6};
    options.fresh_connection = fresh_connections_;
    auto answer = client_.call(callers(n), message(kind, id, key, std::move(more), std::move(body)), options);
    if (!answer) {
        return {};
    }
    return {answer.value().status, std::move(answer.value().body), std::move(answer.value().fields)};
}

bool forward_site::ready(std::size_t n) const {
    http::call_options options;
    options.fresh_connection = fresh_connections_;
    const auto address = [&] {
        const std::scoped_lock lock{address_mutex_};
        return readiness_addresses_.at(n);
    }();
    const auto answer = client_.call(address, {"GET", "/readiness", {}, ""}, options);
    return answer && answer.value().status == 200;
}

std::map<std::string, int> forward_site::runs() const {
    std::map<std::string, int> out;
    const auto add = [&out](const child_process &it) {
        std::istringstream lines{it.output()};
        for (std::string line; std::getline(lines, line);) {
            if (line.starts_with("run ")) {
                ++out[line.substr(4)];
            }
        }
    };
    for (const auto &[id, it] : runners_) {
        add(*it);
    }
    for (const auto &it : former_runners_) {
        add(*it);
    }
    return out;
}

json forward_site::counts(child_process &runner) const {
    const auto answer = client_.call(runner.address("runner"), {"GET", "/counts", {}, ""}, {});
    return answer ? json::parse(answer.value().body) : json::object();
}

std::uint64_t forward_site::arrivals(const std::string &id) const {
    return counts(*runners_.at(id)).value("arrivals", std::uint64_t{0});
}

int forward_site::key_sightings() const {
    int out = 0;
    for (const auto &[id, it] : runners_) {
        out += counts(*it).value("key_sightings", 0);
    }
    return out;
}

json forward_site::usage() const {
    const auto answer = client_.call(store_, {"GET", "/usage", {}, ""}, {});
    return answer ? json::parse(answer.value().body) : json::object();
}

} // namespace dotterelstack::test
