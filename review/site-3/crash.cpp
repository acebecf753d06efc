#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "review/site-3/site.hpp"

/**
 * Cases: one part of prompts crashes each runner that begins to write an answer on it. `resumed`: the runner has
 * written the first event of a stream that may be resumed. `bursts`: requests with the part come together, again and
 * again.
 */

namespace {

using namespace review;

constexpr std::int64_t contact_ms = 3000;
constexpr std::size_t counted_crash = 5;
constexpr int allowed = 3;
constexpr int gateway_count = 4;
constexpr int prefill_runners = 2;
constexpr int decode_runners = 10;
// A runner that has crashed is back after so long, and its entry goes after three heartbeats.
constexpr milliseconds entry_life{3600};
constexpr milliseconds back_after{4000};
constexpr const char *bad_part = "91bd3f06";

struct plan {
    bool resumed{false}; /**< Streams may be resumed; they come one by one. Else they come together. */
    bool writes{false};  /**< The runner writes the first event before it crashes. */
    bool trouble{true};
    std::int64_t length_ms{60000};
};

/** A request that has reached a runner. */
struct arrival {
    std::int64_t at{0};
    std::string id;
    std::string runner;
    bool crashes{false}; /**< It has the part that crashes runners. */
};

/** What runners have seen. */
struct sightings {
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::vector<std::int64_t> crashes;
};

/** A machine with a model runner, which is started again some seconds after it has crashed. */
class machine {
public:
    machine(int n, bool prefills, const plan &what, store &platform, sightings &seen)
        : n_{n}, prefills_{prefills}, plan_{what}, platform_{platform}, seen_{seen} {
        start();
        thread_ = std::thread{[this] { keep(); }};
    }
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;
    machine(machine &&) = delete;
    machine &operator=(machine &&) = delete;
    ~machine() {
        ended_ = true;
        thread_.join();
        server_.reset();
    }

private:
    void start() {
        {
            const std::scoped_lock lock{mutex_};
            id_ = "i-" + std::to_string(1000 * n_ + 100000 + starts_++);
        }
        crashed_at_ = 0;
        server_ = std::make_unique<server>(host(10 + n_), runner_port,
                                           [this](const message &in, connection &out) { return handle(in, out); });
        platform_.put("servers", id_,
                      {{"Service", model_service},
                       {"Address", server_->address()},
                       {"Zone", "parana"},
                       {"Version", "v1"},
                       {"Slots", 12},
                       {"State", "ready"},
                       {"ColdRemainingMs", 0},
                       {"Stage", prefills_ ? "prefill" : "decode"},
                       {"Models", {{{"Name", "m"}, {"Version", 1}, {"Adapters", json::array()}}}},
                       {"Sequence", 1},
                       {"born", 1'790'000'000'000 + now_ms()}});
    }

    /** Starts the runner again after a crash. */
    void keep() {
        while (!ended_) {
            std::this_thread::sleep_for(milliseconds{10});
            const auto crashed = crashed_at_.load();
            if (crashed == 0) {
                continue;
            }
            server_.reset();
            while (!ended_ && now_ms() < crashed + entry_life.count()) {
                std::this_thread::sleep_for(milliseconds{10});
            }
            (void)platform_.remove("servers", id_);
            while (!ended_ && now_ms() < crashed + back_after.count()) {
                std::this_thread::sleep_for(milliseconds{10});
            }
            if (!ended_) {
                start();
            }
        }
    }

    /** The process ends: its sockets are closed. */
    void crash() {
        std::int64_t none = 0;
        if (crashed_at_.compare_exchange_strong(none, now_ms())) {
            {
                const std::scoped_lock lock{seen_.mutex};
                seen_.crashes.push_back(now_ms());
            }
            server_->stop();
        }
    }

    [[nodiscard]] std::string id() {
        const std::scoped_lock lock{mutex_};
        return id_;
    }

    bool handle(const message &in, connection &out) {
        if (in.path() == "/report") {
            const auto body = json{{"Stage", prefills_ ? "prefill" : "decode"}, {"Running", 0}, {"Waiting", 0}}.dump();
            return out.write(
                render("HTTP/1.1 200 OK",
                       {{"Content-Type", "application/json"}, {"Content-Length", std::to_string(body.size())}}, body));
        }
        if (in.method() == "DELETE") {
            return out.write(render("HTTP/1.1 200 OK", {{"Content-Length", "0"}}, ""));
        }
        const auto request = in.get("Attempt-Id");
        std::vector<field> fields{{"Attempt-Id", request}, {"Instance-Load", "1,0,12"}};
        const bool prefill = in.get("Serving-Stage") == "prefill";
        if (in.get("Expect-Instance") != id() || prefill != prefills_) {
            fields.push_back({"Instance-Id", id()});
            fields.push_back({"Content-Length", "0"});
            return out.write(render("HTTP/1.1 421 it", fields, ""));
        }
        if (prefill) {
            std::this_thread::sleep_for(milliseconds{20});
            const std::string body = R"({"KvHandle":"3fa09c41b7d5","Tokens":1460,"Version":1})";
            fields.push_back({"Content-Type", "application/json"});
            fields.push_back({"Content-Length", std::to_string(body.size())});
            return out.write(render("HTTP/1.1 200 OK", fields, body));
        }
        return stream(in, out, std::move(fields));
    }

    bool stream(const message &in, connection &out, std::vector<field> fields) {
        constexpr int events = 6;
        const auto request = in.get("Attempt-Id");
        const bool bad = ("," + in.get("Prompt-Prefix")).find(std::string{","} + bad_part + ":") != std::string::npos;
        const bool crashes = bad && plan_.trouble;
        {
            const std::scoped_lock lock{seen_.mutex};
            seen_.arrivals.push_back({now_ms(), request, id(), crashes});
        }
        std::this_thread::sleep_for(milliseconds{30});
        if (crashed_at_ != 0) {
            return false;
        }
        if (crashes && !plan_.writes) {
            crash();
            return false;
        }
        fields.push_back({"Content-Type", "text/event-stream"});
        fields.push_back({"Response-Signature", "3e1b.07.5a2." + id()});
        fields.push_back({"Transfer-Encoding", "chunked"});
        const auto last = in.get("Last-Event-Id");
        const int first = last.empty() ? 1 : 1 + static_cast<int>(std::strtol(last.c_str(), nullptr, 10));
        if (!out.write(render("HTTP/1.1 200 OK", fields, ""))) {
            return false;
        }
        for (int n = first; n <= events; ++n) {
            const auto event = "id: " + std::to_string(n) + "\ndata: " + request + "-" + std::to_string(n) + "\n\n";
            std::array<char, 32> size{};
            std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
            if (!out.write(size.data() + event + "\r\n")) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds{20});
            if (crashes) {
                crash();
                return false;
            }
        }
        return out.write("0\r\n\r\n");
    }

    const int n_;
    const bool prefills_;
    const plan &plan_;
    store &platform_;
    sightings &seen_;
    std::mutex mutex_;
    std::string id_;
    int starts_{0};
    std::atomic<std::int64_t> crashed_at_{0};
    std::atomic<bool> ended_{false};
    std::unique_ptr<server> server_;
    std::thread thread_;
};

struct sent_request {
    std::int64_t at{0};
    bool bad{false};
    int status{0};
    bool whole{false};
};

class play {
public:
    play(const plan &what, const std::string &file, const std::string &folder)
        : plan_{what}, out_{file}, folder_{folder} {}

    int go() {
        platform_.put("config", "main", configuration(7));
        for (int n = 0; n < prefill_runners + decode_runners; ++n) {
            machines_.push_back(std::make_unique<machine>(n, n < prefill_runners, plan_, platform_, seen_));
        }
        for (int n = 1; n <= gateway_count; ++n) {
            gateways_.push_back(std::make_unique<gateway>(n, folder_, platform_.address(), reports_.address()));
        }
        wait_until_ready(gateways_);
        std::vector<std::thread> clients;
        clients.reserve(std::size_t{2} * gateway_count);
        for (int n = 0; n < 2 * gateway_count; ++n) {
            clients.emplace_back([this, n] { send_sound(n); });
        }
        std::this_thread::sleep_for(std::chrono::seconds{4});
        const auto begun = now_ms();
        std::vector<std::thread> bad;
        int next = 0;
        while (now_ms() < begun + plan_.length_ms) {
            // No two alike, at any machine.
            const int together = plan_.resumed ? 1 : 12;
            for (int n = 0; n < together; ++n) {
                bad.emplace_back([this, own = next] { send(own % gateway_count, true, "bad-" + std::to_string(own)); });
                ++next;
            }
            // The first ones at each gateway in turn, one after the other.
            const auto wait = next < gateway_count ? milliseconds{200} : milliseconds{1500};
            std::this_thread::sleep_for(plan_.resumed ? wait : milliseconds{5000});
        }
        for (auto &it : bad) {
            it.join();
        }
        stop_ = true;
        for (auto &it : clients) {
            it.join();
        }
        return judge();
    }

private:
    void send(int to, bool bad, const std::string &id) {
        const bool draft = plan_.resumed;
        std::string own = std::to_string(std::hash<std::string>{}(id) % 90000000 + 10000000);
        auto fields = request_fields(id, draft ? 5000 : 3000);
        fields.push_back({"Model", "m"});
        fields.push_back({"Token-Usage", draft ? "17020,11" : "383,4"});
        fields.push_back({"Prompt-Prefix", std::string{draft ? "5c1e07a2:13300," : "5c1e07a2:55,"} +
                                               (bad ? bad_part : "a7703e11") + (draft ? ":720," : ":92,") + own +
                                               (draft ? ":3000" : ":236")});
        const std::string body = "prompt " + id;
        fields.push_back({"Content-Length", std::to_string(body.size())});
        const auto at = now_ms();
        const auto answer =
            call(gateways_[static_cast<std::size_t>(to)]->callers(),
                 (draft ? "POST /lohu930/" : "POST /pufi791/") + id + " HTTP/1.1", fields, body, milliseconds{6000});
        const std::scoped_lock lock{mutex_};
        sent_[id] = {at, bad, answer.status, answer.whole};
    }

    void send_sound(int n) {
        for (int k = 0; !stop_; ++k) {
            send(n % gateway_count, false, "good-" + std::to_string(n) + "-" + std::to_string(k));
            std::this_thread::sleep_for(milliseconds{30});
        }
    }

    int judge() {
        int sound = 0;
        int sound_whole = 0;
        int sound_broken = 0;
        for (const auto &[id, it] : sent_) {
            out_.line("sent " + id + " at " + std::to_string(it.at) + " status " + std::to_string(it.status) +
                      (it.whole ? "" : ", not whole"));
            if (!it.bad) {
                ++sound;
                sound_whole += it.status == 200 && it.whole ? 1 : 0;
                sound_broken += it.status != 503 && !(it.status == 200 && it.whole) ? 1 : 0;
            }
        }
        int late = 0;
        int late_requests = 0;
        const bool counts = seen_.crashes.size() >= counted_crash;
        const auto limit = counts ? seen_.crashes[counted_crash - 1] + contact_ms : 0;
        std::set<std::string> late_ids;
        for (const auto &it : seen_.arrivals) {
            const bool is_late = counts && it.crashes && it.at > limit;
            out_.line("arrival " + it.id + " at " + std::to_string(it.at) + " by " + it.runner +
                      (it.crashes ? ", crashes" : "") + (is_late ? ", LATE" : ""));
            late += is_late ? 1 : 0;
            if (is_late) {
                late_ids.insert(it.id);
            }
        }
        late_requests = static_cast<int>(late_ids.size());
        bool ended = false;
        for (const auto &it : gateways_) {
            ended = ended || !it->runs();
        }
        const auto summary = "crashes " + std::to_string(seen_.crashes.size()) + ", the fifth at " +
                             std::to_string(counts ? seen_.crashes[counted_crash - 1] : 0) +
                             " ms, arrivals with the part later than ContactMs after it " + std::to_string(late) +
                             " of " + std::to_string(late_requests) + " requests, allowed " + std::to_string(allowed) +
                             "; sound requests " + std::to_string(sound) + ", served whole " +
                             std::to_string(sound_whole) + ", begun and lost " + std::to_string(sound_broken);
        out_.line(summary);
        std::cout << summary << std::endl;
        if (ended || sound_whole < 200) {
            return 2;
        }
        return late > allowed ? 1 : 0;
    }

    const plan plan_;
    record out_;
    const std::string folder_;
    store platform_;
    cloud reports_;
    sightings seen_;
    std::vector<std::unique_ptr<machine>> machines_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::atomic<bool> stop_{false};
    std::mutex mutex_;
    std::map<std::string, sent_request> sent_;
};

} // namespace

int main(int argc, char **argv) {
    const char *trouble = std::getenv("TROUBLE");
    int out = 2;
    const auto folder = review::temporary_folder();
    try {
        plan what;
        const std::string_view mode = argc > 1 ? argv[1] : "";
        if (mode != "resumed" && mode != "bursts" && mode != "unwritten") {
            throw std::runtime_error{"the first argument is resumed, unwritten or bursts"};
        }
        what.resumed = mode != "bursts";
        what.writes = mode == "resumed";
        what.trouble = trouble == nullptr || std::string_view{trouble} != "0";
        play it{what, argc > 2 ? argv[2] : "record.txt", folder};
        out = it.go();
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << std::endl;
    }
    if (std::getenv("KEEP_FOLDER") == nullptr) {
        std::error_code ec;
        std::filesystem::remove_all(folder, ec);
    } else {
        std::cout << folder << std::endl;
    }
    return out;
}
