#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/site-3/site.hpp"

/** Case: a crowd sends bodies of legal size slowly, without a pause, while ordinary callers come. */

namespace {

using namespace review;

constexpr int gateway_count = 2;
constexpr int crowd_at_each = 1700;
constexpr std::size_t body_bytes = 4'000'000;
constexpr std::size_t piece_bytes = 4200;
constexpr milliseconds between_pieces{600};
constexpr milliseconds round{10};
constexpr milliseconds before_callers{5000};
constexpr milliseconds length{40000};
constexpr int callers_at_each = 4;

/** Clients that keep a request of legal size open; those whose connection ends come again. */
class crowd {
public:
    explicit crowd(std::vector<std::string> hosts) : hosts_{std::move(hosts)} {
        clients_.resize(hosts_.size() * crowd_at_each);
        thread_ = std::thread{[this] { run(); }};
    }
    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;
    crowd(crowd &&) = delete;
    crowd &operator=(crowd &&) = delete;
    ~crowd() {
        stop_ = true;
        thread_.join();
        for (const auto &it : clients_) {
            if (it.fd >= 0) {
                ::close(it.fd);
            }
        }
    }

    [[nodiscard]] std::size_t opened() const noexcept { return opened_; }
    [[nodiscard]] std::size_t sent() const noexcept { return sent_; }

private:
    struct client {
        int fd{-1};
        std::string head;
        std::size_t body{0};
        steady::time_point due{}; /**< Of the next piece. */
    };

    void open(client &it, std::size_t n) {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(callers_port);
        ::inet_pton(AF_INET, hosts_[n % hosts_.size()].c_str(), &to.sin_addr);
        it.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (it.fd < 0) {
            throw std::runtime_error{"too few descriptors for the crowd"};
        }
        (void)::connect(it.fd, reinterpret_cast<const sockaddr *>(&to), sizeof to);
        auto fields = request_fields("crowd-" + std::to_string(n) + "-" + std::to_string(opened_), 1000);
        fields.push_back({"Content-Length", std::to_string(body_bytes)});
        it.head = render("POST /pule252/crowd HTTP/1.1", fields, "");
        it.body = 0;
        ++opened_;
    }

    void step(client &it, std::size_t n) {
        static const std::string piece(piece_bytes, 'x');
        if (it.fd < 0) {
            open(it, n);
        }
        const auto now = steady::now();
        if (now < it.due) {
            return;
        }
        const auto left = std::min(piece_bytes, body_bytes - 1 - it.body);
        const std::string_view next = it.head.empty() ? std::string_view{piece}.substr(0, left) : it.head;
        const auto written = ::send(it.fd, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written > 0 && it.head.empty()) {
            it.body += static_cast<std::size_t>(written);
            it.due = now + between_pieces;
        } else if (written > 0) {
            it.head.erase(0, static_cast<std::size_t>(written));
        } else if (written < 0 && errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN) {
            ::close(std::exchange(it.fd, -1));
        }
        sent_ += written > 0 ? static_cast<std::size_t>(written) : 0;
    }

    void run() {
        while (!stop_) {
            const auto begun = steady::now();
            for (std::size_t n = 0; n < clients_.size(); ++n) {
                step(clients_[n], n);
            }
            std::this_thread::sleep_until(begun + round);
        }
    }

    const std::vector<std::string> hosts_;
    std::vector<client> clients_;
    std::atomic<std::size_t> opened_{0};
    std::atomic<std::size_t> sent_{0};
    std::atomic<bool> stop_{false};
    std::thread thread_;
};

/** Serves bookings at once. */
class desk {
public:
    desk(int n, store &platform, record &out)
        : id_{"i-" + std::to_string(100000 + n)}, out_{out}, server_{host(10 + n), runner_port,
                                                                     [this](const message &in, connection &link) {
                                                                         return handle(in, link);
                                                                     }} {
        platform.put("servers", id_,
                     {{"Service", plain_service},
                      {"Address", server_.address()},
                      {"Zone", "parana"},
                      {"Version", "v1"},
                      {"Slots", 6},
                      {"State", "ready"},
                      {"ColdRemainingMs", 0},
                      {"Sequence", 1},
                      {"born", 1'790'000'000'000 + n}});
    }

private:
    bool handle(const message &in, connection &link) {
        const auto id = in.get("Attempt-Id");
        std::vector<field> fields{{"Attempt-Id", id}, {"Instance-Load", "1,0,6"}};
        if (in.get("Expect-Instance") != id_) {
            fields.push_back({"Content-Length", "0"});
            return link.write(render("HTTP/1.1 421 it", fields, ""));
        }
        out_.line("run " + id + " by " + id_);
        std::this_thread::sleep_for(milliseconds{15});
        fields.push_back({"Response-Signature", "3e1b.07.5a2." + id_});
        fields.push_back({"Content-Length", "800"});
        return link.write(render("HTTP/1.1 200 OK", fields, std::string(800, 'x')));
    }

    const std::string id_;
    record &out_;
    server server_;
};

int play(const std::string &file, bool trouble, const std::string &folder) {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    record out{file};
    store platform;
    cloud reports;
    platform.put("config", "main", configuration(7));
    std::vector<std::unique_ptr<desk>> desks;
    desks.reserve(3);
    for (int n = 0; n < 3; ++n) {
        desks.push_back(std::make_unique<desk>(n, platform, out));
    }
    std::vector<std::unique_ptr<gateway>> gateways;
    std::vector<std::string> hosts;
    gateways.reserve(gateway_count);
    hosts.reserve(gateway_count);
    for (int n = 1; n <= gateway_count; ++n) {
        gateways.push_back(std::make_unique<gateway>(n, folder, platform.address(), reports.address()));
        hosts.push_back(host(n));
    }
    wait_until_ready(gateways);
    std::unique_ptr<crowd> many;
    if (trouble) {
        many = std::make_unique<crowd>(hosts);
        out.line("the crowd comes");
    }
    std::this_thread::sleep_for(before_callers);
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> callers;
    callers.reserve(std::size_t{callers_at_each} * gateway_count);
    for (int n = 0; n < callers_at_each * gateway_count; ++n) {
        callers.emplace_back([&, n] {
            const auto &to = *gateways[static_cast<std::size_t>(n % gateway_count)];
            for (int k = 0; !stop; ++k) {
                const auto id = "c" + std::to_string(n) + "-" + std::to_string(k);
                const auto answer = call(to.callers(), "GET /puxa403/" + id + " HTTP/1.1", request_fields(id, 1000), "",
                                         milliseconds{1500});
                const int status = answer.whole ? answer.status : 0;
                out.line("sent " + id + ", answered " + std::to_string(status));
                const std::scoped_lock lock{mutex};
                ++statuses[status];
                std::this_thread::sleep_for(milliseconds{100});
            }
        });
    }
    std::this_thread::sleep_for(length);
    stop = true;
    for (auto &it : callers) {
        it.join();
    }
    std::string ready;
    bool ended = false;
    for (const auto &it : gateways) {
        ready += it->ready() ? " yes" : " no";
        ended = ended || !it->runs();
    }
    auto summary = "connections of the crowd " + std::to_string(many ? many->opened() : 0) + ", bytes " +
                   std::to_string(many ? many->sent() : 0) + "; gateways ready:" + ready +
                   (ended ? ", one ended" : "") + "; ordinary requests by status (0 for none):";
    int all = 0;
    for (const auto &[status, n] : statuses) {
        summary += " " + std::to_string(status) + " " + std::to_string(n);
        all += n;
    }
    out.line(summary);
    std::cout << summary << std::endl;
    if (all < 20 || (ended && !trouble)) {
        return 2;
    }
    return ended || statuses[200] == 0 ? 1 : 0;
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
