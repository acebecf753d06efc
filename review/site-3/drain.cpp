#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "review/site-3/site.hpp"

/** Case: runners of the plain service are replaced one after the other while the store cuts off waiting watches. */

namespace {

using namespace review;

constexpr std::int64_t drain_ms = 2000;
// A runner serves on for DrainMs and a little longer.
constexpr std::int64_t little_longer_ms = 300;
constexpr milliseconds work{40};
constexpr int gateway_count = 4;
constexpr int rounds = 14;
// From the start of a runner to the removal of the one that it replaces, longer each time.
constexpr milliseconds first_overlap{1500};
constexpr milliseconds more_overlap{150};
constexpr milliseconds pause{400};
constexpr milliseconds watch_cut{1000};

struct arrival {
    std::int64_t at{0};
    std::string id;
    bool cut{false}; /**< The runner had ended before its answer. */
};

class runner {
public:
    runner(int n, store &platform)
        : id_{"i-" + std::to_string(100000 + n)}, born_{1'790'000'000'000 + n}, platform_{platform},
          server_{host(10 + n), runner_port, [this](const message &in, connection &out) { return handle(in, out); }} {
        platform_.put("servers", id_,
                      {{"Service", plain_service},
                       {"Address", server_.address()},
                       {"Zone", "parana"},
                       {"Version", "v1"},
                       {"Slots", 6},
                       {"State", "ready"},
                       {"ColdRemainingMs", 0},
                       {"Sequence", 1},
                       {"born", born_}});
    }

    /** Its entry is removed; it never reports that it drains. */
    void leave() { removed_at_ = platform_.remove("servers", id_); }
    void end() { server_.stop(); }

    [[nodiscard]] std::int64_t removed_at() const noexcept { return removed_at_; }
    [[nodiscard]] const std::string &id() const noexcept { return id_; }
    [[nodiscard]] std::vector<arrival> arrivals() {
        const std::scoped_lock lock{mutex_};
        return arrivals_;
    }

private:
    bool handle(const message &in, connection &out) {
        const auto id = in.get("Attempt-Id");
        std::vector<field> fields{{"Attempt-Id", id}, {"Instance-Load", "1,0,6"}};
        if (id.empty()) {
            return out.write(render("HTTP/1.1 400 it", {{"Not-Executed", "1"}, {"Content-Length", "0"}}, ""));
        }
        if (in.get("Expect-Instance") != id_) {
            fields.push_back({"Instance-Id", id_});
            fields.push_back({"Content-Length", "0"});
            return out.write(render("HTTP/1.1 421 it", fields, ""));
        }
        std::size_t n = 0;
        {
            const std::scoped_lock lock{mutex_};
            n = arrivals_.size();
            arrivals_.push_back({now_ms(), id});
        }
        std::this_thread::sleep_for(work);
        const std::string body(800, 'x');
        fields.push_back({"Response-Signature", "3e1b.07.5a2." + id_});
        fields.push_back({"Content-Length", std::to_string(body.size())});
        const bool sent = out.write(render("HTTP/1.1 200 OK", fields, body));
        if (!sent) {
            const std::scoped_lock lock{mutex_};
            arrivals_[n].cut = true;
        }
        return sent;
    }

    const std::string id_;
    const std::int64_t born_;
    store &platform_;
    std::mutex mutex_;
    std::vector<arrival> arrivals_;
    std::atomic<std::int64_t> removed_at_{0};
    server server_;
};

struct sent_request {
    std::string id;
    std::int64_t at{0};
    int status{0};
};

int play(const std::string &file, bool trouble, const std::string &folder) {
    record out{file};
    store platform;
    cloud reports;
    platform.put("config", "main", configuration(7));
    std::vector<std::unique_ptr<runner>> runners;
    runners.reserve(3 + rounds);
    for (int n = 0; n < 3; ++n) {
        runners.push_back(std::make_unique<runner>(n, platform));
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    for (int n = 1; n <= gateway_count; ++n) {
        gateways.push_back(std::make_unique<gateway>(n, folder, platform.address(), reports.address()));
    }
    wait_until_ready(gateways);
    platform.cut_watches_after(trouble ? watch_cut : milliseconds{0});
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<sent_request> sent;
    std::vector<std::thread> clients;
    clients.reserve(std::size_t{4} * gateway_count);
    for (int n = 0; n < 4 * gateway_count; ++n) {
        clients.emplace_back([&, n] {
            const auto &to = *gateways[static_cast<std::size_t>(n % gateway_count)];
            for (int k = 0; !stop; ++k) {
                const auto id = "c" + std::to_string(n) + "-" + std::to_string(k);
                const bool order = k % 4 != 0;
                const auto at = now_ms();
                const auto answer =
                    call(to.callers(), order ? "POST /pule252/" + id + " HTTP/1.1" : "GET /puxa403/" + id + " HTTP/1.1",
                         request_fields(id, 1000), "", milliseconds{1500});
                const std::scoped_lock lock{mutex};
                sent.push_back({id, at, answer.whole ? answer.status : 0});
                std::this_thread::sleep_for(milliseconds{10});
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::seconds{2});
    for (int n = 0; n < rounds; ++n) {
        runners.push_back(std::make_unique<runner>(3 + n, platform));
        std::this_thread::sleep_for(first_overlap + n * more_overlap);
        auto &leaving = *runners[static_cast<std::size_t>(n)];
        leaving.leave();
        out.line("removed " + leaving.id());
        std::this_thread::sleep_for(milliseconds{drain_ms + little_longer_ms});
        leaving.end();
        std::this_thread::sleep_for(pause);
    }
    std::this_thread::sleep_for(std::chrono::seconds{1});
    stop = true;
    for (auto &it : clients) {
        it.join();
    }
    std::map<std::string, sent_request> by_id;
    int served = 0;
    for (const auto &it : sent) {
        by_id.emplace(it.id, it);
        served += it.status == 200 ? 1 : 0;
        out.line("sent " + it.id + " at " + std::to_string(it.at) + " status " + std::to_string(it.status));
    }
    int late = 0;
    int lost = 0;
    std::int64_t latest = 0;
    for (const auto &it : runners) {
        for (const auto &run : it->arrivals()) {
            const auto after = it->removed_at() == 0 ? -1 : run.at - it->removed_at();
            out.line("run " + run.id + " at " + std::to_string(run.at) + " by " + it->id() +
                     (after >= 0 ? " " + std::to_string(after) + " ms after its removal" : "") +
                     (run.cut ? ", cut" : ""));
            if (after > drain_ms) {
                ++late;
                lost += run.cut ? 1 : 0;
                latest = std::max(latest, after);
                out.line("LATE " + run.id + " status " + std::to_string(by_id[run.id].status));
            }
        }
    }
    bool ended = false;
    for (const auto &it : gateways) {
        ended = ended || !it->runs();
    }
    const auto summary = "requests " + std::to_string(sent.size()) + ", served " + std::to_string(served) +
                         ", watches cut " + std::to_string(platform.watches_cut()) + ", removals " +
                         std::to_string(rounds) + ", requests later than DrainMs after the removal " +
                         std::to_string(late) + ", the latest after " + std::to_string(latest) +
                         " ms, of these cut off at the runner's end " + std::to_string(lost);
    out.line(summary);
    std::cout << summary << std::endl;
    if (ended || served < 200) {
        return 2;
    }
    return late > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv) {
    const char *trouble = std::getenv("TROUBLE");
    int out = 2;
    const auto folder = review::temporary_folder();
    try {
        out = play(argc > 1 ? argv[1] : "record.txt", trouble == nullptr || std::string_view{trouble} != "0", folder);
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
