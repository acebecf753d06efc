// Model runners in trouble, which answer with a body without end, and the memory of the gateways.

#include "../standin/site.hpp"

using namespace review;

namespace {

constexpr int gateways = 2;
constexpr int runners = 3;
constexpr int ends_that_break = 3;
constexpr int memory_limit_mb = 260;
constexpr milliseconds restart_delay{1000};
// 36 streams a second at each gateway of the small site: 219 a second at six.
constexpr milliseconds between_requests{28};
// One booking for so many streams, at the service that has no trouble.
constexpr int streams_for_a_booking = 4;
// The link of a gateway carries 125 MB a second. This stays below it with all connections of both gateways.
constexpr std::size_t block_bytes = 65536;
constexpr milliseconds between_blocks{40};

std::atomic<bool> in_trouble{false};

/** A model runner. In trouble, each answer is a failure whose body does not end until the caller closes. */
bool answer_draft(const request &it, connection &peer) {
    const auto id = it.field("attempt-id");
    if (id.empty()) {
        return peer.send(answer_text(it.path() == "/report" ? 200 : 400, "{}", "Not-Executed: 1\r\n"));
    }
    const std::string echo = "Attempt-Id: " + id + "\r\nInstance-Load: 1,0,12\r\n";
    if (in_trouble) {
        if (!peer.send("HTTP/1.1 500 Internal Server Error\r\n" + echo + "\r\n")) {
            return false;
        }
        const std::string block(block_bytes, 'x');
        while (peer.send(block)) {
            pause_for(between_blocks);
        }
        return false;
    }
    std::string body;
    for (int n = 1; n <= 11; ++n) {
        body += "id: " + std::to_string(n) + "\ndata: " + id + "\n\n";
    }
    pause_for(milliseconds{60});
    return peer.send(answer_text(200, body, echo + "Content-Type: text/event-stream\r\nResponse-Signature: s1\r\n"));
}

/** A sound runner of the plain service. */
bool answer_booking(const request &it, connection &peer) {
    pause_for(milliseconds{60});
    const auto id = it.field("attempt-id");
    return peer.send(answer_text(200, "booked " + id, "Attempt-Id: " + id + "\r\nResponse-Signature: s2\r\n"));
}

} // namespace

int main(int argc, char **argv) {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const auto folder = temporary_folder();
    platform_store store;
    store.put("config", "main", site_config(1).dump());
    std::vector<std::unique_ptr<http_server>> servers;
    for (int n = 1; n <= runners; ++n) {
        servers.push_back(std::make_unique<http_server>(&answer_draft));
        store.put("servers", "model-" + std::to_string(n),
                  server_entry("model", servers.back()->address(), "rajkot", 12, "ready", "decode").dump());
    }
    http_server desk{&answer_booking};
    store.put("servers", "desk-1", server_entry("desk", desk.address(), "rajkot", 6).dump());
    std::vector<std::unique_ptr<gateway_process>> all;
    for (int n = 0; n < gateways; ++n) {
        all.push_back(std::make_unique<gateway_process>("front-" + std::to_string(n + 1), store.address(), folder));
        if (!all.back()->start() || !all.back()->wait_ready(milliseconds{10'000})) {
            finish(record, exit_not_run, "a gateway did not become ready");
        }
    }
    std::map<std::pair<bool, int>, int> statuses; /**< By booking or stream, and status; 0 for none. */
    std::mutex statuses_mutex;
    std::atomic<int> waiting{0};
    std::map<std::string, int> ends;
    std::map<std::string, int> peaks;
    std::map<std::string, clock_type::time_point> restart_due;
    const auto begun = clock_type::now();
    auto next_request = begun;
    auto next_line = begun;
    int sent = 0;
    while (clock_type::now() < begun + milliseconds{60'000}) {
        const auto now = clock_type::now();
        if (!in_trouble && disrupted() && now > begun + milliseconds{5000}) {
            in_trouble = true;
            record.line("the model runners get into trouble");
        }
        const bool sends = now >= next_request;
        next_request = sends ? next_request + between_requests : next_request;
        for (auto &it : all) {
            if (!it->running()) {
                if (!restart_due.contains(it->name())) {
                    restart_due[it->name()] = now + restart_delay;
                    record.line(it->name() + " has ended by itself");
                    ++ends[it->name()];
                } else if (now >= restart_due[it->name()]) {
                    restart_due.erase(it->name());
                    record.line(it->name() + (it->start() ? " was started again" : " did not come up"));
                }
                continue;
            }
            const int used = it->memory_mb();
            peaks[it->name()] = std::max(peaks[it->name()], used);
            if (used > memory_limit_mb) {
                it->kill();
                ++ends[it->name()];
                restart_due[it->name()] = clock_type::now() + restart_delay;
                record.line("the platform kills " + it->name() + ", which uses " + std::to_string(used) +
                            " MB of its " + std::to_string(memory_limit_mb));
                continue;
            }
            if (sends) {
                ++sent;
                ++waiting;
                const bool booking = sent % streams_for_a_booking == 0;
                const auto id = std::to_string(sent);
                auto text =
                    booking
                        ? request_text("POST", "/book/x", "b" + id, 1500, "", "engagement")
                        : request_text("POST", "/draft/x", "d" + id, 5000,
                                       "Model: m\r\nToken-Usage: 300,11\r\nPrompt-Prefix: 5c:100," + id + ":200\r\n",
                                       "prompt");
                std::thread{[&, booking, text = std::move(text), address = it->callers()] {
                    const auto got = send_request(address, text, milliseconds{booking ? 1500 : 5000});
                    const std::scoped_lock lock{statuses_mutex};
                    ++statuses[{booking, got.complete ? got.status : 0}];
                    --waiting;
                }}.detach();
            }
        }
        if (now >= next_line) {
            next_line += milliseconds{1000};
            std::string text = "requests sent " + std::to_string(sent) + ", open " + std::to_string(waiting);
            for (auto &it : all) {
                text += ", " + it->name() + " " + std::to_string(it->running() ? it->memory_mb() : 0) + " MB";
            }
            const std::scoped_lock lock{statuses_mutex};
            for (const auto &[kind, n] : statuses) {
                text += std::string{kind.first ? ", bookings " : ", streams "} +
                        (kind.second == 0 ? "cut or unanswered" : "with status " + std::to_string(kind.second)) + ": " +
                        std::to_string(n);
            }
            record.line(text);
        }
        pause_for(milliseconds{5});
        const bool over = std::ranges::count_if(ends, [](const auto &it) { return it.second >= ends_that_break; }) >=
                          static_cast<std::ptrdiff_t>(gateways);
        if (over) {
            finish(record, exit_broken, "both gateways ended three times, over their limit of memory");
        }
    }
    std::string text;
    for (const auto &[name, peak] : peaks) {
        text +=
            name + " used " + std::to_string(peak) + " MB at most and ended " + std::to_string(ends[name]) + " times; ";
    }
    finish(record, exit_held, text);
}
