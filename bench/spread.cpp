// Compares three ways to bring configuration versions to all processes: polling through relays (src/spread), push-pull
// gossip, and a tree with standby parents. Processes are plain objects, messages are events with delays from a table.
// Prints the tables of docs/modules/spread.md. Usage: bench_spread [largest size]

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "spread/poll_server.hpp"
#include "spread/poller.hpp"
#include "spread/topology.hpp"
#include "spread/withdrawal_log.hpp"

namespace {

using namespace std::chrono_literals;
using namespace dotterelstack;
using base::duration;
using base::instant;

constexpr std::size_t domains = 5;
constexpr std::size_t full_size = 7940;
constexpr std::size_t full_entries = 340;
constexpr double changes_per_second = 34'000.0 / 86'400;

// Bytes on the wire of one message: HTTP/2 frames with indexed headers, TCP and IP headers, one acknowledgement.
constexpr std::size_t request_bytes = 130;
constexpr std::size_t reply_bytes = 190;
constexpr std::size_t heartbeat_bytes = 100;
constexpr std::size_t change_bytes = 400;
/** TCP handshake and close, HTTP/2 preface and settings; paid where the peer is another one each time. */
constexpr std::size_t connect_bytes = 450;
constexpr double retransmitted = 0.001;
constexpr duration retransmit_delay = 200ms;

struct node_facts {
    bool entry{false};
    std::size_t domain{0};
    bool dead{false};
    std::uint64_t version{0};
    instant adopted{};
    std::uint64_t bytes{0};
};

struct event {
    instant at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const event &other) const { return std::pair{at, order} > std::pair{other.at, other.order}; }
};

/** @brief Clock, network and store that all three ways share. */
class world {
public:
    world(std::size_t size, std::uint64_t seed) : random{seed}, nodes(size) {
        const auto entries = std::max<std::size_t>(6, (size * full_entries + full_size / 2) / full_size);
        for (std::size_t n = 0; n < size; ++n) {
            nodes[n].entry = n < entries;
            nodes[n].domain = n % domains;
        }
    }

    void at(instant when, std::function<void()> run) { events_.push({when, order_++, std::move(run)}); }
    void after(duration delay, std::function<void()> run) { at(clock.now() + delay, std::move(run)); }

    /** @brief A message of one process to another; lost without notice if the receiver is dead or cut off. */
    void send(std::size_t from, std::size_t to, std::size_t bytes, std::function<void()> run) {
        nodes[from].bytes += bytes;
        auto delay = delay_of(nodes[from].domain, nodes[to].domain);
        if (std::bernoulli_distribution{retransmitted}(random)) {
            delay += retransmit_delay;
        }
        after(delay, [this, from, to, bytes, run = std::move(run)] {
            if (!nodes[to].dead && !nodes[from].dead && !is_cut(nodes[from].domain, nodes[to].domain)) {
                nodes[to].bytes += bytes;
                run();
            }
        });
    }

    /** @brief A watch of the store, held for up to a second; the reply is missing while the process is cut off. */
    void watch(std::size_t node, std::uint64_t since, const std::function<void(std::uint64_t)> &reply) {
        ++store_calls;
        nodes[node].bytes += request_bytes;
        const auto deliver = [this, node, reply] {
            if (!nodes[node].dead && !store_cut(node)) {
                nodes[node].bytes += reply_bytes + change_bytes;
                reply(committed);
            }
        };
        if (committed > since) {
            after(2ms, deliver);
            return;
        }
        watchers_.push_back({node, clock.now() + 1s, deliver});
        after(1s, [this, node] { end_watch(node); });
    }

    void commit() {
        ++committed;
        committed_at = clock.now();
        for (auto &it : std::exchange(watchers_, {})) {
            after(2ms, it.deliver);
        }
    }

    void run_until(instant end) {
        while (!events_.empty() && events_.top().at <= end) {
            auto next = std::move(const_cast<event &>(events_.top()));
            events_.pop();
            clock.advance(next.at - clock.now());
            next.run();
        }
        clock.advance(end - clock.now());
    }

    void adopt(std::size_t node, std::uint64_t version) {
        auto &it = nodes[node];
        if (version > it.version) {
            it.version = version;
            it.adopted = clock.now();
        }
    }

    [[nodiscard]] bool store_cut(std::size_t node) const { return cut && nodes[node].domain == 0; }
    [[nodiscard]] std::size_t pick(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
    }

    base::manual_clock clock;
    std::mt19937_64 random;
    std::vector<node_facts> nodes;
    std::uint64_t committed{1};
    instant committed_at{};
    std::uint64_t store_calls{0};
    bool cut{false}; /**< Failure domain 0 is cut off from the others and from the store. */

private:
    struct watcher {
        std::size_t node;
        instant until;
        std::function<void()> deliver;
    };

    [[nodiscard]] bool is_cut(std::size_t left, std::size_t right) const { return cut && (left == 0) != (right == 0); }
    void end_watch(std::size_t node) {
        const auto it = std::ranges::find_if(
            watchers_, [&](const auto &one) { return one.node == node && one.until <= clock.now(); });
        if (it != watchers_.end()) {
            after(2ms, it->deliver);
            watchers_.erase(it);
        }
    }
    /** Domains 0 to 2 and 3 to 4 form the two regions. */
    [[nodiscard]] duration delay_of(std::size_t left, std::size_t right) {
        const auto base = left == right ? 250us : (left < 3) == (right < 3) ? 1000us : 30000us;
        return base + std::chrono::microseconds{pick(200)};
    }

    std::priority_queue<event> events_;
    std::uint64_t order_{0};
    std::vector<watcher> watchers_;
};

/** @brief One of the three ways. */
class scheme {
public:
    scheme() = default;
    scheme(const scheme &) = delete;
    scheme &operator=(const scheme &) = delete;
    scheme(scheme &&) = delete;
    scheme &operator=(scheme &&) = delete;
    virtual ~scheme() = default;
    virtual void start() = 0;
    /** @brief The process starts again with nothing in memory. */
    virtual void restart(std::size_t node) = 0;
};

std::string name_of(std::size_t n) {
    return std::to_string(n);
}

std::vector<spread::process> entries_of(const world &net) {
    std::vector<spread::process> out;
    for (std::size_t n = 0; n < net.nodes.size() && net.nodes[n].entry; ++n) {
        out.push_back({name_of(n), name_of(net.nodes[n].domain)});
    }
    return out;
}

std::vector<std::size_t> relays_of(const world &net) {
    std::vector<std::size_t> out;
    for (const auto &it : spread::choose_relays(entries_of(net))) {
        out.push_back(std::stoul(it.address));
    }
    return out;
}

/** @brief Repeats the watch of one relay; a missing reply is noticed after 1.5 s. */
class store_watch : public std::enable_shared_from_this<store_watch> {
public:
    store_watch(world &net, std::size_t node, std::function<void(std::uint64_t, instant)> heard)
        : net_{net}, node_{node}, heard_{std::move(heard)} {}

    void ask() {
        const auto turn = ++turn_;
        const auto started = net_.clock.now();
        auto self = shared_from_this();
        net_.watch(node_, net_.nodes[node_].version, [self, turn, started](std::uint64_t version) {
            if (turn == self->turn_) {
                self->heard_(version, started);
                self->ask();
            }
        });
        net_.after(1500ms, [self, turn] {
            if (turn == self->turn_ && !self->net_.nodes[self->node_].dead) {
                self->ask();
            }
        });
    }

private:
    world &net_;
    std::size_t node_;
    std::function<void(std::uint64_t, instant)> heard_;
    std::uint64_t turn_{0};
};

class polling final : public scheme {
public:
    explicit polling(world &net) : net_{net}, entries_{entries_of(net)} {}

    void start() override {
        peers_.resize(net_.nodes.size());
        for (std::size_t n = 0; n < peers_.size(); ++n) {
            peers_[n] = std::make_unique<peer>(net_.clock, net_.random);
        }
        for (const auto n : relays_of(net_)) {
            peers_[n]->relay = true;
            std::make_shared<store_watch>(net_, n, [this, n](std::uint64_t version, instant started) {
                net_.adopt(n, version);
                replies(n, peers_[n]->server.on_version(version, started));
            })->ask();
        }
        for (std::size_t n = 0; n < peers_.size(); ++n) {
            net_.after(std::chrono::microseconds{net_.pick(2'000'000)}, [this, n] { begin(n); });
        }
    }

    void restart(std::size_t node) override {
        auto fresh = std::make_unique<peer>(net_.clock, net_.random);
        fresh->relay = peers_[node]->relay;
        retired_.push_back(std::exchange(peers_[node], std::move(fresh)));
        begin(node);
    }

private:
    struct peer {
        peer(const base::clock &time, std::mt19937_64 &random)
            : log{random()}, server{time, log}, client{time, [&random] { return random(); }} {}
        spread::withdrawal_log log;
        spread::poll_server server;
        spread::poller client;
        bool relay{false};
        instant armed{instant::max()};
    };

    void begin(std::size_t n) {
        if (!peers_[n]->relay) {
            const auto role = net_.nodes[n].entry ? spread::process_role::entry : spread::process_role::agent;
            act(n, peers_[n]->client.set_sources(
                       spread::order_sources({name_of(n), name_of(net_.nodes[n].domain)}, role, entries_)));
        }
    }

    void act(std::size_t n, const spread::poller_actions &actions) {
        for (const auto &it : actions) {
            if (const auto *poll = std::get_if<spread::start_poll>(&it)) {
                const auto to = std::stoul(poll->source);
                const auto key = (static_cast<std::uint64_t>(n) << 32U) | poll->id;
                net_.send(n, to, request_bytes, [this, to, key, body = poll->body] {
                    replies(to, peers_[to]->server.on_poll(key, body));
                    arm(to);
                });
            } else if (const auto *adopted = std::get_if<spread::adopt_version>(&it)) {
                net_.adopt(n, adopted->version);
            }
        }
        auto &self = *peers_[n];
        if (net_.nodes[n].entry) {
            replies(n, self.server.on_version(self.client.version(), self.client.confirmed()));
        }
        arm(n);
    }

    void replies(std::size_t n, const std::vector<spread::send_reply> &items) {
        for (const auto &it : items) {
            const auto to = static_cast<std::size_t>(it.poll >> 32U);
            const auto id = it.poll & 0xffffffffU;
            net_.send(n, to, reply_bytes + (it.full ? change_bytes : 0),
                      [this, to, id, body = it.body] { act(to, peers_[to]->client.on_reply(id, body)); });
        }
    }

    void arm(std::size_t n) {
        auto &it = *peers_[n];
        auto next = std::min(it.client.next_wakeup().value_or(instant::max()),
                             it.server.next_wakeup().value_or(instant::max()));
        if (next >= it.armed) {
            return;
        }
        it.armed = next;
        net_.at(std::max(next, net_.clock.now()), [this, n, next] {
            if (peers_[n]->armed != next || net_.nodes[n].dead) {
                return;
            }
            peers_[n]->armed = instant::max();
            replies(n, peers_[n]->server.on_time());
            act(n, peers_[n]->client.on_time());
        });
    }

    world &net_;
    std::vector<spread::process> entries_;
    std::vector<std::unique_ptr<peer>> peers_;
    std::vector<std::unique_ptr<peer>> retired_;
};

/** @brief Rumours to four random processes on receipt, and a push-pull exchange with a random one every second. */
class gossip final : public scheme {
public:
    explicit gossip(world &net) : net_{net} {}

    void start() override {
        for (const auto n : relays_of(net_)) {
            std::make_shared<store_watch>(net_, n, [this, n](std::uint64_t version, instant) {
                receive(n, version);
            })->ask();
        }
        for (std::size_t n = 0; n < net_.nodes.size(); ++n) {
            net_.after(std::chrono::microseconds{net_.pick(1'000'000)}, [this, n] { exchange(n); });
        }
    }

    void restart(std::size_t) override {}

private:
    static constexpr std::size_t fanout = 4;

    void receive(std::size_t n, std::uint64_t version) {
        if (version <= net_.nodes[n].version) {
            return;
        }
        net_.adopt(n, version);
        for (std::size_t k = 0; k < fanout; ++k) {
            const auto to = net_.pick(net_.nodes.size());
            net_.send(n, to, connect_bytes + request_bytes + change_bytes, [this, to, n, version] {
                receive(to, version);
                net_.send(to, n, reply_bytes, [] {});
            });
        }
    }

    void exchange(std::size_t n) {
        if (net_.nodes[n].dead) {
            return;
        }
        const auto to = net_.pick(net_.nodes.size());
        const auto mine = net_.nodes[n].version;
        net_.send(n, to, connect_bytes + request_bytes, [this, n, to, mine] {
            const auto theirs = net_.nodes[to].version;
            net_.send(to, n, reply_bytes + (theirs > mine ? change_bytes : 0), [this, n, to, theirs] {
                receive(n, theirs);
                if (const auto now = net_.nodes[n].version; now > theirs) {
                    net_.send(n, to, request_bytes + change_bytes, [this, to, now] { receive(to, now); });
                }
            });
        });
        net_.after(1s, [this, n] { exchange(n); });
    }

    world &net_;
};

/** @brief Relays, entries with 24 children each, agents as leaves; a standby parent in another failure domain. */
class tree final : public scheme {
public:
    explicit tree(world &net) : net_{net}, links_(net.nodes.size()) {}

    void start() override {
        const auto relays = relays_of(net_);
        for (const auto n : relays) {
            links_[n].root = true;
            std::make_shared<store_watch>(net_, n, [this, n](std::uint64_t version, instant) {
                receive(n, version);
            })->ask();
        }
        for (std::size_t n = 0; n < net_.nodes.size(); ++n) {
            links_[n].heard = net_.clock.now();
            if (!links_[n].root) {
                // The parents are spread evenly, as placement by capacity would; candidates alternate domains.
                const auto entries = entries_of(net_);
                const auto role = net_.nodes[n].entry ? spread::process_role::entry : spread::process_role::agent;
                for (const auto &it :
                     spread::order_sources({name_of(n), name_of(net_.nodes[n].domain)}, role, entries)) {
                    links_[n].parents.push_back(std::stoul(it));
                    if (links_[n].parents.size() == 8) {
                        break;
                    }
                }
                links_[links_[n].parents.front()].children.push_back(n);
            }
            net_.after(std::chrono::microseconds{net_.pick(1'000'000)}, [this, n] { beat(n); });
        }
    }

    void restart(std::size_t node) override { join(node); }

private:
    static constexpr duration silence = 2500ms;
    static constexpr duration join_timeout = 500ms;

    struct link {
        bool root{false};
        std::vector<std::size_t> parents;
        std::size_t current{0};
        std::vector<std::size_t> children;
        instant heard{};
        bool joining{false};
    };

    void receive(std::size_t n, std::uint64_t version) {
        if (version <= net_.nodes[n].version) {
            return;
        }
        net_.adopt(n, version);
        for (const auto to : links_[n].children) {
            push(n, to, change_bytes);
        }
    }

    void push(std::size_t n, std::size_t to, std::size_t extra) {
        const auto version = net_.nodes[n].version;
        net_.send(n, to, heartbeat_bytes + extra, [this, n, to, version] {
            auto &it = links_[to];
            if (it.root || it.parents[it.current] != n) {
                return;
            }
            it.heard = net_.clock.now();
            receive(to, version);
            net_.send(to, n, heartbeat_bytes / 2, [] {});
        });
    }

    void beat(std::size_t n) {
        if (net_.nodes[n].dead) {
            return;
        }
        for (const auto to : links_[n].children) {
            push(n, to, 0);
        }
        if (!links_[n].root && !links_[n].joining && net_.clock.now() - links_[n].heard > silence) {
            links_[n].current = (links_[n].current + 1) % links_[n].parents.size();
            join(n);
        }
        net_.after(1s, [this, n] { beat(n); });
    }

    void join(std::size_t n) {
        if (links_[n].root) {
            return;
        }
        const auto to = links_[n].parents[links_[n].current];
        links_[n].joining = true;
        net_.send(n, to, request_bytes, [this, n, to] {
            auto &children = links_[to].children;
            if (std::ranges::find(children, n) == children.end()) {
                children.push_back(n);
            }
            push(to, n, change_bytes);
        });
        net_.after(join_timeout, [this, n, asked = net_.clock.now()] {
            links_[n].joining = false;
            if (links_[n].heard < asked && !net_.nodes[n].dead) {
                links_[n].current = (links_[n].current + 1) % links_[n].parents.size();
                join(n);
            }
        });
    }

    world &net_;
    std::vector<link> links_;
};

using factory = std::function<std::unique_ptr<scheme>(world &)>;

double seconds(duration it) {
    return std::chrono::duration<double>(it).count();
}

/** @return Time from the commit until every live process has the version; a large number if some never got it. */
double time_to_all(const world &net) {
    duration worst{0};
    for (const auto &it : net.nodes) {
        if (!it.dead) {
            worst = std::max(worst, it.version < net.committed ? duration{999s} : it.adopted - net.committed_at);
        }
    }
    return seconds(worst);
}

/** @brief Part of the processes dies at the instant of the commit, unnoticed. @return Worst time of all trials. */
double dead_trial(const factory &make, std::size_t size, double dead, std::size_t trials) {
    double worst = 0;
    for (std::size_t n = 0; n < trials; ++n) {
        world net{size, 100 + n};
        const auto subject = make(net);
        subject->start();
        net.run_until(instant{5s} + std::chrono::milliseconds{net.pick(2000)});
        for (auto &it : net.nodes) {
            it.dead = std::bernoulli_distribution{dead}(net.random);
        }
        net.commit();
        net.run_until(net.clock.now() + 15s);
        worst = std::max(worst, time_to_all(net));
    }
    return worst;
}

void change_at_intervals(world &net, instant until) {
    const auto next = net.clock.now() + duration{static_cast<duration::rep>(1e9 * std::exponential_distribution<double>{
                                                                                      changes_per_second}(net.random))};
    if (next < until) {
        net.at(next, [&net, until] {
            net.commit();
            change_at_intervals(net, until);
        });
    }
}

struct cut_result {
    double others{0}; /**< Time of a change during the cut, outside the failure domain. */
    double healed{0}; /**< From the healing until all have the newest version. */
    double restarted{0};
};

cut_result cut_trial(const factory &make, std::size_t size) {
    world net{size, 7};
    const auto subject = make(net);
    subject->start();
    net.run_until(instant{5s});
    net.cut = true;
    net.run_until(instant{6s});
    net.commit();
    net.run_until(instant{65s});
    cut_result out;
    for (const auto &it : net.nodes) {
        if (it.domain != 0) {
            out.others =
                std::max(out.others, it.version < net.committed ? 999 : seconds(it.adopted - net.committed_at));
        }
    }
    net.cut = false;
    const auto healed = net.clock.now();
    net.run_until(healed + 30s);
    for (const auto &it : net.nodes) {
        out.healed = std::max(out.healed, it.version < net.committed ? 999 : seconds(it.adopted - healed));
    }
    // One in a hundred processes starts again with nothing.
    const auto again = net.clock.now();
    std::vector<std::size_t> restarted;
    for (std::size_t n = 0; n < size; n += 100) {
        restarted.push_back(n + 50 < size ? n + 50 : n);
        net.nodes[restarted.back()].version = 0;
        subject->restart(restarted.back());
    }
    net.run_until(again + 15s);
    for (const auto n : restarted) {
        const auto &it = net.nodes[n];
        out.restarted = std::max(out.restarted, it.version < net.committed ? 999 : seconds(it.adopted - again));
    }
    return out;
}

struct traffic {
    double entry_worst{0};
    double agent_worst{0};
    double mean{0};
    double store{0};
};

traffic traffic_trial(const factory &make, std::size_t size) {
    constexpr double span = 60;
    world net{size, 11};
    const auto subject = make(net);
    subject->start();
    net.run_until(instant{5s});
    for (auto &it : net.nodes) {
        it.bytes = 0;
    }
    net.store_calls = 0;
    change_at_intervals(net, instant{65s});
    net.run_until(instant{65s});
    traffic out;
    for (const auto &it : net.nodes) {
        const auto rate = static_cast<double>(it.bytes) / span;
        auto &worst = it.entry ? out.entry_worst : out.agent_worst;
        worst = std::max(worst, rate);
        out.mean += rate / static_cast<double>(size);
    }
    out.store = static_cast<double>(net.store_calls) / span;
    return out;
}

} // namespace

int main(int argc, char **argv) {
    const std::size_t largest = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : full_size;
    const std::array<std::pair<const char *, factory>, 3> ways{{
        {"polling", [](world &net) { return std::make_unique<polling>(net); }},
        {"gossip", [](world &net) { return std::make_unique<gossip>(net); }},
        {"tree", [](world &net) { return std::make_unique<tree>(net); }},
    }};
    std::puts(
        "seconds until all live processes have a version (worst of the trials); bytes/s sent and received\n"
        "| way | processes | 0% dead | 1% dead | 10% dead | cut: others | after healing | restarted | entry worst "
        "B/s | agent worst B/s | mean B/s | store calls/s |\n|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (const auto size : {std::size_t{50}, std::size_t{500}, std::size_t{5000}, full_size}) {
        if (size > largest) {
            continue;
        }
        const std::size_t trials = size <= 500 ? 20 : 3;
        for (const auto &[name, make] : ways) {
            const auto none = dead_trial(make, size, 0, trials);
            const auto few = dead_trial(make, size, 0.01, trials);
            const auto many = dead_trial(make, size, 0.1, trials);
            const auto cut = cut_trial(make, size);
            const auto load = traffic_trial(make, size);
            std::printf("| %s | %zu | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %.0f | %.0f | %.1f |\n", name,
                        size, none, few, many, cut.others, cut.healed, cut.restarted, load.entry_worst,
                        load.agent_worst, load.mean, load.store);
            std::fflush(stdout);
        }
    }
    return 0;
}
