#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "standin/common/program.hpp"
#include "store/memory_store.hpp"

using namespace dotterelstack;
using json = nlohmann::json;

namespace {

constexpr std::string_view objects_path = "/objects/";
constexpr std::string_view servers_prefix = "servers/";
// A watch from before the latest changes gets 410.
constexpr std::size_t kept_changes = 4096;

http::response json_text(std::string body) {
    return {200, {{"Content-Type", "application/json"}}, std::move(body)};
}

/** The users' object store and their API for usage reports, in one process. */
class object_service {
public:
    explicit object_service(std::chrono::milliseconds entry_life) : entry_life_{entry_life} {
        objects_.keep_history(kept_changes);
        std::thread{[this] { expire_entries(); }}.detach();
    }

    void handle(const http::exchange &call) {
        const auto &message = call.message();
        if (message.path() == "/faults") {
            return call.respond(set_faults(json::parse(message.body)));
        }
        if (message.path() == "/usage") {
            return call.respond(message.method == "GET" ? reports() : report(message));
        }
        if (!message.path().starts_with(objects_path)) {
            return call.respond(standin::error_response(404, "unknown_path", "ask for /objects or /usage"));
        }
        const auto delay = delay_.load();
        if (message.query_value("Watch") || delay > std::chrono::milliseconds{0}) {
            // These answers wait, so each one has a thread.
            std::thread{[this, call, delay] {
                std::this_thread::sleep_for(delay);
                call.respond(answer_in_era(call.message()));
            }}.detach();
            return;
        }
        call.respond(answer_in_era(message));
    }

private:
    /** Answers with the era in which the call began; a call that a return from the copy overtakes has no result. */
    http::response answer_in_era(const http::request &message) {
        const auto era = objects_.era();
        auto out = answer(message);
        if (objects_.era() != era) {
            out = standin::error_response(503, "down", "the store was away");
        }
        out.fields.push_back({"Store-Era", std::to_string(era)});
        return out;
    }

    http::response answer(const http::request &message) {
        if (down()) {
            return standin::error_response(503, "down", "the store is down");
        }
        const std::string path{message.path().substr(objects_path.size())};
        if (message.method == "POST") {
            const auto body = json::parse(message.body);
            return write(path + "/" + body["Metadata"]["Name"].get<std::string>(), body["Spec"], store::absent);
        }
        if (message.method == "PUT") {
            const auto body = json::parse(message.body);
            const auto now = objects_.get(path).value();
            return write(path, body["Spec"], body["Metadata"].value("Revision", now ? now->version : store::absent));
        }
        if (message.method == "DELETE") {
            const auto done = objects_.erase(path, std::stoull(message.query_value("Revision").value_or("0")));
            return standin::json_response(done ? 200 : 409, json::object());
        }
        return path.find('/') == std::string::npos ? list_or_watch(path, message) : read(path);
    }

    http::response read(const std::string &path) {
        const auto found = objects_.get(path).value();
        return found ? json_text(shown(*found)) : standin::error_response(404, "absent", "no object");
    }

    http::response write(const std::string &path, const json &spec, std::uint64_t expected) {
        const auto written = objects_.put(path, spec.dump(), expected);
        if (!written) {
            const auto now = objects_.get(path).value();
            return standin::json_response(409, now ? json::parse(shown(*now), nullptr, false) : json::object());
        }
        const std::scoped_lock lock{mutex_};
        written_at_[path] = std::chrono::steady_clock::now();
        return json_text(shown({path, written.value(), spec.dump()}));
    }

    http::response list_or_watch(const std::string &kind, const http::request &message) {
        const auto since = message.query_value("Watch");
        if (!since) {
            const auto revision = objects_.revision();
            std::string items;
            const auto all = objects_.list(kind + "/");
            for (const auto &it : all.value()) {
                items += (items.empty() ? "" : ",") + shown(it);
            }
            return json_text(R"({"items":[)" + items + R"(],"Truncated":false,"StoreRevision":)" +
                             std::to_string(revision) + "}");
        }
        const std::chrono::milliseconds wait{std::stoll(message.query_value("WaitMs").value_or("0"))};
        const auto seen = objects_.watch(kind + "/", std::stoull(*since), {wait});
        if (down()) {
            return standin::error_response(503, "down", "the store is down");
        }
        if (!seen) {
            return standin::error_response(410, seen.error().code, seen.error().message);
        }
        std::string events;
        for (const auto &it : seen.value().events) {
            events += std::string{events.empty() ? "" : ","} + R"({"Deleted":)" + (it.deleted ? "true" : "false") +
                      R"(,"Object":)" + shown(it.item) + "}";
        }
        return json_text(R"({"events":[)" + events + R"(],"StoreRevision":)" + std::to_string(seen.value().revision) +
                         "}");
    }

    /** The text of an object, with its value as its writer sent it. A removed object has none. */
    static std::string shown(const store::object &it) {
        const json metadata{{"Name", it.key.substr(it.key.find('/') + 1)}, {"Revision", it.version}};
        return R"({"Metadata":)" + metadata.dump() + R"(,"Spec":)" + (it.value.empty() ? "null" : it.value) +
               R"(,"Status":null})";
    }

    http::response set_faults(const json &from) {
        if (from.value("copy", false)) {
            objects_.take_copy();
        }
        if (const auto foreign = from.find("foreign"); foreign != from.end()) {
            put_foreign(foreign->at("key").get<std::string>(), foreign->at("value").get<std::string>());
        }
        if (from.value("restore", false)) {
            restore(from.value("writes", json::array()));
        }
        delay_ = std::chrono::milliseconds{from.value("delay_ms", 0)};
        const std::scoped_lock lock{mutex_};
        down_ = from.value("down", false);
        return standin::json_response(200, json::object());
    }

    /** Takes any text as the value of an object, which does not vanish by itself. */
    void put_foreign(const std::string &key, const std::string &value) {
        {
            const std::scoped_lock lock{mutex_};
            written_at_[key] = std::chrono::steady_clock::now() + std::chrono::hours{24};
        }
        const auto now = objects_.get(key).value();
        (void)objects_.put(key, value, now ? now->version : store::absent);
    }

    /** Comes back from the copy; `writes` are repeated by their writers before anybody else reaches the store. */
    void restore(const json &writes) {
        {
            const std::scoped_lock lock{mutex_};
            down_ = true;
        }
        objects_.restore_copy();
        for (const auto &it : writes) {
            const auto key = it.at("key").get<std::string>();
            const auto now = objects_.get(key).value();
            (void)write(key, it.at("spec"), now ? now->version : store::absent);
        }
    }

    bool down() {
        const std::scoped_lock lock{mutex_};
        return down_;
    }

    http::response report(const http::request &message) {
        const auto fence = std::stoull(std::string{http::find_field(message.fields, "Fencing-Token").value_or("0")});
        const auto body = json::parse(message.body);
        const std::scoped_lock lock{mutex_};
        if (fence < highest_fence_) {
            return standin::json_response(409, json::object());
        }
        highest_fence_ = fence;
        const auto window = std::to_string(body["WindowIndex"].get<std::uint64_t>());
        if (reports_.contains(window) && reports_[window] != body["Counts"]) {
            ++contradictions_;
        }
        reports_[window] = body["Counts"];
        return standin::json_response(200, json::object());
    }

    http::response reports() {
        const std::scoped_lock lock{mutex_};
        return standin::json_response(200, {{"reports", reports_}, {"contradictions", contradictions_}});
    }

    /** Entries of servers that are no longer written vanish, also while the store is down. */
    void expire_entries() {
        while (true) {
            std::this_thread::sleep_for(entry_life_ / 10);
            const auto all = objects_.list(servers_prefix);
            for (const auto &it : all.value()) {
                const std::scoped_lock lock{mutex_};
                if (std::chrono::steady_clock::now() - written_at_[it.key] > entry_life_) {
                    (void)objects_.erase(it.key, it.version);
                }
            }
        }
    }

    const std::chrono::milliseconds entry_life_;
    store::memory_store objects_;
    std::mutex mutex_;
    std::map<std::string, std::chrono::steady_clock::time_point> written_at_;
    std::map<std::string, json> reports_;
    std::uint64_t contradictions_{0};
    std::uint64_t highest_fence_{0};
    bool down_{false};
    std::atomic<std::chrono::milliseconds> delay_{std::chrono::milliseconds{0}}; /**< Of each answer. */
};

} // namespace

int main(int argc, char **argv) {
    standin::block_stop_signals();
    cxxopts::Options options{"standin_objects", "Object store and usage API of the users' platform"};
    auto add = options.add_options();
    add("listen", "address to bind", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("entry-life-ms", "servers that do not write for so long vanish", cxxopts::value<int>()->default_value("1500"));
    try {
        const auto args = options.parse(argc, argv);
        object_service service{std::chrono::milliseconds{args["entry-life-ms"].as<int>()}};
        standin::serve_until_stopped({.name = "objects", .listen = args["listen"].as<std::string>()},
                                     [&service](const http::exchange &call) { service.handle(call); });
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << "; see the options in standin/objects/main.cpp" << std::endl;
        return 2;
    }
}
