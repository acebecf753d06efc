#include <atomic>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>

#include "http/client.hpp"
#include "standin/common/program.hpp"
#include "standin/common/timer.hpp"

using namespace dotterelstack;
using json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/** What a runner is and how fast it works. */
struct runner_options {
    std::string id;
    std::string service;
    std::string failure_domain;
    std::string stage;        /**< Empty for a plain service. */
    std::string crash_part;   /**< Id of a part of a prompt; the runner ends when it begins to answer such a prompt. */
    std::string crash_target; /**< The runner ends when it has worked on a request with this path and query. */
    bool leaves_quietly{false}; /**< Does not report in its entry that it leaves. */
    std::string limit;          /**< Requests a second that it says it takes; empty for none. */
    milliseconds limit_time{0}; /**< Time from its start until it names no limit any more; 0 for always. */
    std::size_t slots{6};
    std::size_t queue{6};
    milliseconds work{5};
    milliseconds between_events{2};
};

/**
 * A runner of the users' platform. Keeps how often each request ran, so that tests can tell whether one ran twice.
 *
 * Faults asked for by the request: the runners named in `Test-Lose` run it and close without an answer; `Test-Break: N`
 * breaks its stream in the middle of the event after N, unless it is resumed; the runner named in `Test-Busy` refuses
 * it and asks for a pause of two seconds.
 */
class runner {
public:
    explicit runner(runner_options options) : options_{std::move(options)} {}

    void handle(const http::exchange &call) {
        const auto &message = call.message();
        const std::scoped_lock lock{mutex_};
        if (message.path() == "/counts") {
            return call.respond(standin::json_response(
                200,
                {{"runs", runs_}, {"key_sightings", key_sightings_}, {"open", running_}, {"arrivals", arrivals_}}));
        }
        arrivals_ += http::find_field(message.fields, "Attempt-Id") ? 1U : 0U;
        key_sightings_ += http::find_field(message.fields, "Authorization") ? 1U : 0U;
        if (field(message, "Expect-Instance") != options_.id) {
            return respond(call, 421, {{"Instance-Id", options_.id}}, "");
        }
        if (field(message, "Test-Busy") == options_.id) {
            return respond(call, 503, {{"Not-Executed", "1"}, {"Retry-After", "2"}}, "");
        }
        if (running_ >= options_.slots + options_.queue) {
            return respond(call, 503, {{"Not-Executed", "1"}}, "");
        }
        if (field(message, "Serving-Stage") == "prefill") {
            return respond(call, 200, {{"Content-Type", "application/json"}},
                           R"({"KvHandle":"h1","Tokens":1,"Version":1})");
        }
        if (options_.stage == "prefill") {
            return respond(call, 421, {{"Instance-Id", options_.id}}, "");
        }
        run(call);
    }

    /** Says in its next report that it leaves; it serves on until it ends. */
    void leave() {
        const std::scoped_lock lock{mutex_};
        draining_ = true;
    }

    [[nodiscard]] json entry(const std::string &address, std::uint64_t sequence) {
        const std::scoped_lock lock{mutex_};
        json out{{"Service", options_.service},
                 {"Address", address},
                 {"Zone", options_.failure_domain},
                 {"Version", "v1"},
                 {"Slots", options_.slots},
                 {"State", draining_ && !options_.leaves_quietly ? "draining" : "ready"},
                 {"ColdRemainingMs", 0},
                 {"Sequence", sequence}};
        if (!options_.stage.empty()) {
            out["Stage"] = options_.stage;
        }
        return out;
    }

private:
    struct stream_state {
        http::exchange call;
        std::string id;
        std::uint64_t next{1};
        std::uint64_t last{0};
        std::uint64_t break_after{0};
    };

    static std::string field(const http::request &message, std::string_view name) {
        return std::string{http::find_field(message.fields, name).value_or("")};
    }

    static std::uint64_t number(const http::request &message, std::string_view name, std::uint64_t otherwise) {
        const auto text = field(message, name);
        return text.empty() ? otherwise : std::stoull(text);
    }

    [[nodiscard]] std::string load() const {
        return std::to_string(std::min(running_, options_.slots)) + "," +
               std::to_string(running_ - std::min(running_, options_.slots)) + "," + std::to_string(options_.slots);
    }

    void add_state(http::field_list &fields) const {
        fields.push_back({"Instance-Load", load()});
        if (draining_) {
            fields.push_back({"Server-Leaving", "1"});
        }
        if (!options_.limit.empty() && (options_.limit_time == milliseconds{0} ||
                                        std::chrono::steady_clock::now() < started_ + options_.limit_time)) {
            fields.push_back({"Server-Limit", options_.limit});
        }
    }

    void respond(const http::exchange &call, int status, http::field_list fields, std::string body) const {
        fields.push_back({"Attempt-Id", field(call.message(), "Attempt-Id")});
        add_state(fields);
        call.respond({status, std::move(fields), std::move(body)});
    }

    void run(const http::exchange &call) {
        const auto id = field(call.message(), "Attempt-Id");
        ++runs_[id];
        // Outlives the process, so that runs of a killed runner are known, too.
        std::cout << "run " << id << std::endl;
        ++running_;
        if (options_.stage == "decode") {
            auto it = std::make_shared<stream_state>(stream_state{call, id});
            it->next = number(call.message(), "Last-Event-Id", 0) + 1;
            it->last = number(call.message(), "Test-Events", 5);
            it->break_after = it->next == 1 ? number(call.message(), "Test-Break", 0) : 0;
            timer_.after(options_.work, [this, it] { begin_stream(it); });
            return;
        }
        const bool lose = field(call.message(), "Test-Lose").find(options_.id) != std::string::npos;
        timer_.after(options_.work, [this, call, id, lose] {
            if (!options_.crash_target.empty() && call.message().target == options_.crash_target) {
                std::_Exit(EXIT_FAILURE);
            }
            const std::scoped_lock lock{mutex_};
            --running_;
            if (lose) {
                return call.abort();
            }
            respond(call, 200, {{"Response-Signature", options_.id}},
                    json{{"request", id},
                         {"by", options_.id},
                         {"runs", runs_[id]},
                         {"padding", std::string(number(call.message(), "Test-Size", 0), 'x')}}
                        .dump());
        });
    }

    [[nodiscard]] bool crashes_on(const http::request &message) const {
        const auto parts = "," + field(message, "Prompt-Prefix");
        return !options_.crash_part.empty() && parts.find("," + options_.crash_part + ":") != std::string::npos;
    }

    void begin_stream(const std::shared_ptr<stream_state> &it) {
        if (crashes_on(it->call.message())) {
            std::_Exit(EXIT_FAILURE);
        }
        {
            const std::scoped_lock lock{mutex_};
            http::field_list fields{
                {"Content-Type", "text/event-stream"}, {"Response-Signature", options_.id}, {"Attempt-Id", it->id}};
            add_state(fields);
            it->call.start(200, fields);
        }
        next_event(it);
    }

    void next_event(const std::shared_ptr<stream_state> &it) {
        if (it->next > it->last) {
            it->call.finish();
            return end();
        }
        const auto text =
            "id: " + std::to_string(it->next) + "\ndata: " + it->id + "-" + std::to_string(it->next) + "\n\n";
        const bool breaks = it->break_after != 0 && it->next > it->break_after;
        if (!it->call.write(breaks ? text.substr(0, text.size() / 2) : text)) {
            return end();
        }
        ++it->next;
        timer_.after(options_.between_events, [this, it, breaks] {
            if (breaks) {
                it->call.abort();
                return end();
            }
            next_event(it);
        });
    }

    void end() {
        const std::scoped_lock lock{mutex_};
        --running_;
    }

    const runner_options options_;
    std::mutex mutex_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t key_sightings_{0};
    std::uint64_t arrivals_{0}; /**< Requests of callers, whether they ran or not. */
    const std::chrono::steady_clock::time_point started_{std::chrono::steady_clock::now()};
    std::size_t running_{0};
    bool draining_{false};
    standin::timer timer_;
};

/** Writes the runner's entry again and again, from the first time the store answers. */
void keep_registered(runner &subject, const std::string &store, const std::string &id, const std::string &address,
                     milliseconds interval) {
    http::curl_client client;
    for (std::uint64_t sequence = 1;; ++sequence) {
        const json body{{"Metadata", {{"Name", id}}}, {"Spec", subject.entry(address, sequence)}};
        const http::call_options options{.timeout = std::chrono::seconds{1}};
        (void)client.call(store, {"PUT", "/objects/servers/" + id, {}, body.dump()}, options);
        std::this_thread::sleep_for(interval);
    }
}

} // namespace

int main(int argc, char **argv) {
    standin::block_stop_signals();
    cxxopts::Options options{"standin_runner", "Runner of the users' platform"};
    auto add = options.add_options();
    add("store", "address of the object store", cxxopts::value<std::string>());
    add("id", "id of the incarnation", cxxopts::value<std::string>());
    add("service", "service", cxxopts::value<std::string>());
    add("failure-domain", "failure domain", cxxopts::value<std::string>()->default_value("east"));
    add("stage", "prefill or decode; none for a plain service", cxxopts::value<std::string>()->default_value(""));
    add("crash-part", "part of a prompt that ends the runner", cxxopts::value<std::string>()->default_value(""));
    add("crash-target", "target of requests that end the runner", cxxopts::value<std::string>()->default_value(""));
    add("leave-quietly", "say only in answers that it leaves");
    add("limit", "requests a second that it says it takes", cxxopts::value<std::string>()->default_value(""));
    add("limit-ms", "time until it names no limit any more; 0 for always", cxxopts::value<int>()->default_value("0"));
    add("slots", "requests at once", cxxopts::value<std::size_t>()->default_value("6"));
    add("work-ms", "time before the answer", cxxopts::value<int>()->default_value("5"));
    add("event-ms", "time between events", cxxopts::value<int>()->default_value("2"));
    add("heartbeat-ms", "interval of its reports", cxxopts::value<int>()->default_value("300"));
    add("leave-ms", "time for which it serves on after SIGTERM", cxxopts::value<int>()->default_value("2500"));
    try {
        const auto args = options.parse(argc, argv);
        const auto text = [&args](const char *name) { return args[name].as<std::string>(); };
        const auto ms = [&args](const char *name) { return milliseconds{args[name].as<int>()}; };
        runner subject{{.id = text("id"),
                        .service = text("service"),
                        .failure_domain = text("failure-domain"),
                        .stage = text("stage"),
                        .crash_part = text("crash-part"),
                        .crash_target = text("crash-target"),
                        .leaves_quietly = args.count("leave-quietly") > 0,
                        .limit = text("limit"),
                        .limit_time = ms("limit-ms"),
                        .slots = args["slots"].as<std::size_t>(),
                        .work = ms("work-ms"),
                        .between_events = ms("event-ms")}};
        http::server server;
        const auto bound =
            server.start("127.0.0.1:0", [&subject](const http::exchange &call) { subject.handle(call); });
        if (!bound) {
            std::cerr << bound.error().message << std::endl;
            return EXIT_FAILURE;
        }
        std::cout << "listening runner " << bound.value() << std::endl;
        const auto interval = ms("heartbeat-ms");
        std::thread{[&] { keep_registered(subject, text("store"), text("id"), bound.value(), interval); }}.detach();
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        int number = 0;
        while (sigwait(&signals, &number) != 0) {
        }
        subject.leave();
        std::this_thread::sleep_for(ms("leave-ms"));
        std::_Exit(EXIT_SUCCESS);
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << "; see the options in standin/runner/main.cpp" << std::endl;
        return 2;
    }
}
