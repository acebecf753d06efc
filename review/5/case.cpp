// Two model runners crash, one after the other, while they answer one stream that has neither length nor chunks.

#include "../standin/site.hpp"

using namespace review;

namespace {

constexpr int runners = 12;
constexpr std::uint64_t events = 11;
constexpr std::uint64_t events_before_crash = 3;
constexpr int streams = 3;
constexpr milliseconds between_events{60};
constexpr milliseconds first_event{400};

std::string event_text(const std::string &id, std::uint64_t n) {
    return "id: " + std::to_string(n) + "\ndata: " + id + "-" + std::to_string(n) + "\n\n";
}

std::string whole_stream(const std::string &id) {
    std::string out;
    for (std::uint64_t n = 1; n <= events; ++n) {
        out += event_text(id, n);
    }
    return out;
}

/** A model runner in a process of its own. Tells the test by its standard output what it does. */
int run_runner(const std::string &name) {
    http_server server{[&name](const request &it, connection &peer) {
        const auto id = it.field("attempt-id");
        if (id.empty()) {
            return peer.send(answer_text(it.path() == "/report" ? 200 : 400, "{}", "Not-Executed: 1\r\n"));
        }
        const std::string echo = "Attempt-Id: " + id + "\r\nInstance-Load: 1,0,12\r\n";
        if (it.field("expect-instance") != name) {
            return peer.send(answer_text(421, "", echo + "Instance-Id: " + name + "\r\n"));
        }
        const auto last = it.field("last-event-id");
        const std::uint64_t begin = last.empty() ? 0 : std::stoull(last);
        // The answer ends with its connection.
        if (!peer.send(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nResponse-Signature: " +
                name + "\r\n" + echo + "\r\n")) {
            return false;
        }
        std::cout << "head " << id << " " << begin << std::endl;
        pause_for(first_event);
        for (std::uint64_t n = begin + 1; n <= events; ++n) {
            const auto text = event_text(id, n);
            const auto half = text.size() / 2;
            if (!peer.send(text.substr(0, half))) {
                return false;
            }
            std::cout << "half " << id << " " << n << std::endl;
            pause_for(between_events);
            if (!peer.send(text.substr(half))) {
                return false;
            }
        }
        std::cout << "done " << id << " " << events << std::endl;
        return false;
    }};
    std::cout << "listening " << server.address() << std::endl;
    ::pause();
    return 0;
}

struct runner_process {
    std::string name;
    std::string address;
    pid_t pid{0};
};

/** What the runners tell: runner, step, request and event. */
struct told {
    std::string runner;
    std::string step;
    std::string id;
    std::uint64_t event{0};
};

class runner_fleet {
public:
    explicit runner_fleet(const char *program) {
        for (int n = 1; n <= runners; ++n) {
            start(program, "model-" + std::to_string(n));
        }
    }

    [[nodiscard]] const std::vector<runner_process> &all() const { return all_; }

    void kill(const std::string &name) const {
        for (const auto &it : all_) {
            if (it.name == name) {
                ::kill(it.pid, SIGKILL);
            }
        }
    }

    /** @return The first of these steps for this request, or nothing within two seconds. */
    std::optional<told> wait_for(const std::string &step, const std::string &id, std::uint64_t event,
                                 const std::string &not_at = "") {
        std::unique_lock lock{mutex_};
        std::optional<told> out;
        heard_.wait_for(lock, milliseconds{2000}, [&] {
            for (const auto &it : told_) {
                if (it.step == step && it.id == id && it.event == event && it.runner != not_at) {
                    out = it;
                }
            }
            return out.has_value();
        });
        return out;
    }

private:
    void start(const char *program, const std::string &name) {
        int ends[2];
        if (::pipe2(ends, O_CLOEXEC) != 0) {
            std::_Exit(exit_not_run);
        }
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(ends[1], STDOUT_FILENO);
            ::execl(program, program, "runner", name.c_str(), static_cast<char *>(nullptr));
            std::_Exit(exit_not_run);
        }
        ::close(ends[1]);
        auto in = std::make_shared<FILE *>(::fdopen(ends[0], "r"));
        end_steps().emplace_back([pid] {
            ::kill(pid, SIGKILL);
            ::waitpid(pid, nullptr, 0);
        });
        char line[256];
        std::string address;
        if (std::fgets(line, sizeof line, *in) != nullptr) {
            std::istringstream{line} >> address >> address;
        }
        all_.push_back({name, address, pid});
        std::thread{[this, name, in] {
            char text[256];
            while (std::fgets(text, sizeof text, *in) != nullptr) {
                told it{.runner = name, .step = {}, .id = {}};
                std::istringstream{text} >> it.step >> it.id >> it.event;
                const std::scoped_lock lock{mutex_};
                told_.push_back(it);
                heard_.notify_all();
            }
        }}.detach();
    }

    std::vector<runner_process> all_;
    std::mutex mutex_;
    std::condition_variable heard_;
    std::vector<told> told_;
};

} // namespace

int main(int argc, char **argv) {
    if (argc > 2 && std::string{argv[1]} == "runner") {
        return run_runner(argv[2]);
    }
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const auto folder = temporary_folder();
    platform_store store;
    runner_fleet fleet{"/proc/self/exe"};
    store.put("config", "main", site_config(1).dump());
    for (const auto &it : fleet.all()) {
        store.put("servers", it.name, server_entry("model", it.address, "rajkot", 12, "ready", "decode").dump());
    }
    gateway_process front{"front-1", store.address(), folder};
    if (!front.start() || !front.wait_ready(milliseconds{10'000})) {
        finish(record, exit_not_run, "the gateway did not become ready");
    }
    pause_for(milliseconds{3000});
    const auto draft = [&](const std::string &id) {
        return send_request(front.callers(),
                            request_text("POST", "/draft/x", id, 5000,
                                         "Model: m\r\nToken-Usage: 300,11\r\nPrompt-Prefix: 5c:100,9a:200\r\n",
                                         "prompt"),
                            milliseconds{6000});
    };
    for (int n = 0; n < streams; ++n) {
        const auto id = "quiet" + std::to_string(n);
        if (const auto got = draft(id); !got.complete || got.body != whole_stream(id)) {
            finish(record, exit_not_run, "the quiet site did not serve " + id);
        }
    }
    answer got;
    std::thread client{[&] { got = draft("d1"); }};
    if (disrupted()) {
        if (const auto first = fleet.wait_for("half", "d1", events_before_crash + 1)) {
            record.line(first->runner + " has sent " + std::to_string(events_before_crash) +
                        " events of d1 and half of the next, and crashes");
            fleet.kill(first->runner);
            store.erase("servers", first->runner);
            if (const auto second = fleet.wait_for("head", "d1", events_before_crash, first->runner)) {
                record.line(second->runner + " has accepted the rest of d1 and sent the head, and crashes");
                pause_for(milliseconds{100});
                fleet.kill(second->runner);
                store.erase("servers", second->runner);
            }
        }
    }
    client.join();
    const bool whole = got.body == whole_stream("d1");
    record.line("client: status " + std::to_string(got.status) + ", " +
                (got.complete ? "ended as complete" : "broken off") + ", " + (whole ? "all events" : "not all events") +
                ":\n" + got.body);
    if (got.status == 200 && got.complete && !whole) {
        finish(record, exit_broken, "a stream of 11 events ended as complete after its first events");
    }
    finish(record, exit_held, "no incomplete stream looked complete");
}
