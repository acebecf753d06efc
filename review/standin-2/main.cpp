#include "drill.hpp"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace drill;

namespace {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_no_run = 2;

constexpr int machines = 2;
constexpr std::size_t engines = 12;
constexpr int desks = 3;
// Of one front machine: a sixth of the site's 296 requests a second.
constexpr double usual_rate = 49;
// The rule counts machines on which a process ended so often, and lets one machine pass.
constexpr int ends_of_rule = 3;
constexpr int machines_of_rule = 2;

struct site {
    explicit site(const std::string &folder) : record{folder + "/record.txt"}, files{make_folder()} {
        store.put("config", "main", site_config());
        for (std::size_t n = 0; n < engines; ++n) {
            all_engines.push_back(std::make_unique<runner>(
                runner_options{"i-engine" + std::to_string(n), "drafting", true, 12, 36, milliseconds{60}}, store,
                record));
        }
        for (int n = 0; n < desks; ++n) {
            all_desks.push_back(std::make_unique<runner>(
                runner_options{"i-desk" + std::to_string(n), "bookings", false, 6, 24, milliseconds{60}}, store,
                record));
        }
        for (int n = 0; n < machines; ++n) {
            fronts.push_back(std::make_unique<front_machine>(n, files, store.address(), record));
        }
    }
    static std::string make_folder() {
        std::string name = (std::filesystem::temp_directory_path() / "drill-XXXXXX").string();
        return ::mkdtemp(name.data()) == nullptr ? throw std::runtime_error{"no temporary folder"} : name;
    }

    [[nodiscard]] bool wait_until_ready(milliseconds limit) const {
        const auto until = steady::now() + limit;
        for (const auto &it : fronts) {
            while (!it->ready()) {
                if (steady::now() > until || it->failed_to_start()) {
                    return false;
                }
                std::this_thread::sleep_for(milliseconds{100});
            }
        }
        return true;
    }

    [[nodiscard]] bool ran_at_desk(const std::string &id) const {
        for (const auto &it : all_desks) {
            if (it->ran(id)) {
                return true;
            }
        }
        return false;
    }

    event_record record;
    const std::string files;
    object_store store;
    std::vector<std::unique_ptr<runner>> all_engines;
    std::vector<std::unique_ptr<runner>> all_desks;
    std::vector<std::unique_ptr<front_machine>> fronts;
};

/** @return Head of a request of the site's mix, as far as it depends on the kind. */
std::string head_of(const std::string &kind, std::mt19937 &random) {
    const auto number = [&random](unsigned n) { return std::to_string(1 + random() % n); };
    if (kind == "draft") {
        return "POST /draft/1 HTTP/1.1\r\nModel: m\r\nToken-Usage: 17020,50\r\nPrompt-Prefix: a" + number(182) +
               ":13300,b" + number(1000000) + ":3720\r\nContent-Length: 0\r\n";
    }
    if (kind == "query") {
        return "POST /query/1 HTTP/1.1\r\nModel: m\r\nToken-Usage: 383,20\r\nPrompt-Prefix: c" + number(8) + ":55,d" +
               number(1213) + ":328\r\nContent-Length: 0\r\n";
    }
    return kind == "book" ? "POST /book/1 HTTP/1.1\r\nContent-Length: 0\r\n" : "GET /read/1 HTTP/1.1\r\n";
}

/** Sends the site's mix of requests to one front machine. */
void send_mix(client_group &to, double rate, steady::time_point until, unsigned seed) {
    std::mt19937 random{seed};
    std::discrete_distribution<int> mix{32.3, 143.0, 43.7, 17.5};
    const std::array<std::string, 4> kinds{"draft", "query", "book", "read"};
    const std::array<int, 4> deadlines{5000, 3000, 1500, 1500};
    auto next = steady::now();
    while (steady::now() < until) {
        const auto n = static_cast<std::size_t>(mix(random));
        to.send(kinds.at(n), head_of(kinds.at(n), random), milliseconds{deadlines.at(n)});
        next += std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>{1 / rate});
        std::this_thread::sleep_until(next);
    }
}

/** Prints the result. @return Exit code. */
int judge(site &it, std::vector<std::unique_ptr<client_group>> &groups) {
    int broken_machines = 0;
    for (std::size_t n = 0; n < it.fronts.size(); ++n) {
        const auto &front = *it.fronts[n];
        if (front.failed_to_start()) {
            return exit_no_run;
        }
        int lost = 0;
        int served = 0;
        for (const auto &[id, how] : groups.at(n)->outcomes()) {
            lost += how.status == 0 && how.kept && it.ran_at_desk(id) ? 1 : 0;
            served += how.status == 200 ? 1 : 0;
        }
        const auto line = "front machine " + std::to_string(n) + ": ends " + std::to_string(front.ends()) +
                          ", peak MB " + std::to_string(front.peak_mb()) + ", served " + std::to_string(served) +
                          ", run at a booking server and ended on a kept connection without an answer " +
                          std::to_string(lost);
        it.record.write(line);
        std::cout << line << std::endl;
        broken_machines += front.ends() >= ends_of_rule ? 1 : 0;
    }
    const bool broken = broken_machines >= machines_of_rule;
    std::cout << (broken ? "the rule is broken" : "the rule held") << std::endl;
    return broken ? exit_broken : exit_held;
}

/** A status line and fields, and behind them a body without end. */
std::string endless_answer() {
    std::string out{"HTTP/1.1 500 E\r\n"};
    for (int n = 0; n < 21000; ++n) {
        out += "x:\n";
    }
    return out + "\r\n";
}

/** The engines of one service answer with bytes without end. */
int endless_heads(site &it, bool trouble, unsigned seed) {
    constexpr std::chrono::seconds calm{3};
    constexpr std::chrono::seconds length{40};
    std::vector<std::unique_ptr<client_group>> groups;
    std::vector<std::jthread> senders;
    const auto until = steady::now() + calm + length;
    for (int n = 0; n < machines; ++n) {
        const auto at = static_cast<std::size_t>(n);
        groups.push_back(std::make_unique<client_group>(*it.fronts[at], "c" + std::to_string(n), it.record));
        senders.emplace_back([&to = *groups.back(), until, seed, n] {
            send_mix(to, usual_rate, until, seed + static_cast<unsigned>(n));
        });
    }
    std::this_thread::sleep_for(calm);
    if (trouble) {
        it.record.write("the engines answer with bytes without end from now on");
        const char *text = std::getenv("ENGINES");
        const auto n = text == nullptr ? it.all_engines.size() : static_cast<std::size_t>(std::atoi(text));
        for (std::size_t engine = 0; engine < n; ++engine) {
            it.all_engines.at(engine)->set_trouble(endless_bytes{endless_answer(), "x", milliseconds{500}});
        }
    }
    senders.clear();
    for (auto &group : groups) {
        group->wait();
    }
    return judge(it, groups);
}

/** The store cuts off watches that wait, and runners leave without a report. */
int cut_watches(site &it, bool trouble, unsigned seed) {
    constexpr std::chrono::seconds calm{10};
    constexpr std::chrono::seconds length{8};
    constexpr milliseconds drain{2000};
    constexpr std::size_t leavers = 4;
    std::vector<std::unique_ptr<client_group>> groups;
    std::vector<std::jthread> senders;
    if (trouble) {
        it.store.cut_watches_after(milliseconds{250});
    }
    const auto until = steady::now() + calm + length;
    for (unsigned n = 0; n < machines; ++n) {
        groups.push_back(std::make_unique<client_group>(*it.fronts[n], "c" + std::to_string(n), it.record));
        senders.emplace_back([&to = *groups.back(), until, seed, n] { send_mix(to, usual_rate, until, seed + n); });
    }
    std::this_thread::sleep_for(calm);
    for (std::size_t n = 0; n < leavers; ++n) {
        it.all_engines.at(n)->leave(it.store);
        std::this_thread::sleep_for(milliseconds{1300});
    }
    senders.clear();
    for (auto &group : groups) {
        group->wait();
    }
    int late = 0;
    for (std::size_t n = 0; n < leavers; ++n) {
        late += it.all_engines.at(n)->came_after_leaving(drain);
    }
    std::cout << "requests that reached a runner later than " << drain.count() << " ms after its removal: " << late
              << '\n'
              << (late > 0 ? "the rule is broken" : "the rule held") << std::endl;
    return late > 0 ? exit_broken : exit_held;
}

/** @return Prompt of many parts within the limit on heads, or one of the usual kind. */
std::string query_of_many_parts(bool many, std::mt19937 &random) {
    constexpr int parts = 1700;
    std::string prompt;
    const int n = many ? parts : 3;
    std::array<char, 24> part{};
    for (int it = 0; it < n; ++it) {
        (void)std::snprintf(part.data(), part.size(), "%s%06x:1", it == 0 ? "" : ",",
                            static_cast<unsigned>(random() & 0xffffffU));
        prompt += part.data();
    }
    return "POST /query/1 HTTP/1.1\r\nModel: m\r\nToken-Usage: " + std::to_string(n) +
           ",20\r\nPrompt-Prefix: " + prompt + "\r\nContent-Length: 0\r\n";
}

/** Some clients send prompts of very many parts, within the limit on heads, one after the other. */
int many_parts(site &it, bool trouble, unsigned seed) {
    constexpr std::chrono::seconds length{80};
    constexpr unsigned clients = 24;
    std::vector<std::unique_ptr<client_group>> groups;
    std::vector<std::unique_ptr<client_group>> others;
    std::vector<std::jthread> senders;
    const auto until = steady::now() + length;
    for (unsigned n = 0; n < machines; ++n) {
        groups.push_back(std::make_unique<client_group>(*it.fronts[n], "c" + std::to_string(n), it.record));
        senders.emplace_back([&to = *groups.back(), until, seed, n] { send_mix(to, usual_rate / 4, until, seed + n); });
    }
    for (unsigned n = 0; n < machines * clients; ++n) {
        others.push_back(std::make_unique<client_group>(*it.fronts[n % machines], "p" + std::to_string(n), it.record));
        senders.emplace_back([&to = *others.back(), until, seed, n, trouble] {
            std::mt19937 random{seed + 100 + n};
            while (steady::now() < until) {
                to.send("query", query_of_many_parts(trouble, random), milliseconds{3000});
                to.wait();
                std::this_thread::sleep_for(milliseconds{5});
            }
        });
    }
    senders.clear();
    for (auto &group : groups) {
        group->wait();
    }
    return judge(it, groups);
}

} // namespace

int main(int argc, char **argv) {
    end_processes_on_stop();
    if (argc < 3) {
        std::cerr << "usage: drill CASE FOLDER\n";
        return exit_no_run;
    }
    const std::string name{argv[1]};
    const char *variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::string_view{variable} != "0";
    const char *seed_text = std::getenv("SEED");
    const auto seed = seed_text == nullptr ? 1U : static_cast<unsigned>(std::atoi(seed_text));
    int out = exit_no_run;
    try {
        // Threads of the stand-ins use the site until the process ends.
        auto &it = *new site{argv[2]};
        if (it.wait_until_ready(std::chrono::seconds{15})) {
            out = name == "endless-heads" ? endless_heads(it, trouble, seed)
                  : name == "many-parts"  ? many_parts(it, trouble, seed)
                  : name == "cut-watches" ? cut_watches(it, trouble, seed)
                                          : exit_no_run;
        }
        it.fronts.clear();
        std::error_code ec;
        std::filesystem::remove_all(it.files, ec);
    } catch (const std::exception &ex) {
        std::cerr << ex.what() << std::endl;
    }
    std::_Exit(out);
}
