#include "limits/quota_bank.hpp"
#include "limits/quota_ledger.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "limits/token_bucket.hpp"

using namespace std::chrono_literals;
using dotterelstack::base::duration;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

namespace {

const std::string org = "large";
constexpr auto step = 10ms;
/** @brief Window and tolerance of the sum that must not be exceeded. */
constexpr auto window = 8s;
constexpr double tolerance = 1.1;

/** @brief A gateway of the simulation: ledger, bank, and the driver's rules for reports and for changes of the bank. */
struct node {
    node(const manual_clock &time, std::string host, std::size_t n, const quota &limit)
        : name{std::move(host)}, ledger{time}, bank{time} {
        ledger.set_quotas({{org, limit}});
        ledger.set_gateways(n);
        bank.set_quotas({{org, limit}});
        bank.set_gateways(n);
    }
    std::string name;
    std::string incarnation{"1"};
    quota_ledger ledger;
    quota_bank bank;
    std::size_t uses{0}; /**< The bank that it reports to. */
    unsigned int missed{0};
    instant due{};
    instant probe_due{};
    bool cut{false};
    bool frozen{false};
};

/** @brief Gateways that share one quota, over a network that loses messages. */
class simulation {
public:
    simulation(std::size_t gateways, const quota &limit, unsigned int seed = 1)
        : limit_{limit}, random_{seed}, ideal_{} {
        for (std::size_t n = 0; n < gateways; ++n) {
            nodes_.push_back(std::make_unique<node>(clock_, "gateway-" + std::to_string(n), gateways, limit));
            nodes_.back()->due = clock_.now() + 7ms * static_cast<int>(n);
        }
        ideal_.limit(limit.rate, limit.burst, clock_.now());
    }

    /** @return True if the request is admitted. */
    bool send(std::size_t at, std::int64_t cost) {
        auto &it = *nodes_[at];
        if (it.frozen) {
            return false;
        }
        const bool owed = ideal_.level_at(clock_.now()) >= static_cast<double>(cost);
        auto decision = it.ledger.admit(org, static_cast<std::uint64_t>(cost));
        if (decision.verdict == quota_verdict::ask) {
            exchange(it);
            decision = it.ledger.admit(org, static_cast<std::uint64_t>(cost), false);
        }
        const bool granted = decision.verdict == quota_verdict::granted;
        if (owed) {
            ideal_.take(static_cast<double>(cost), clock_.now());
            owed_ += cost;
            served_ += granted ? cost : 0;
        }
        if (granted) {
            admitted_.emplace_back(clock_.now(), cost);
            in_window_ += cost;
            while (admitted_.front().first + window <= clock_.now()) {
                in_window_ -= admitted_.front().second;
                admitted_.pop_front();
            }
            most_ = std::max(most_, in_window_);
            total_ += cost;
        }
        return granted;
    }

    void advance(duration by) {
        for (const auto end = clock_.now() + by; clock_.now() < end; clock_.advance(step)) {
            for (auto &it : nodes_) {
                if (!it->frozen && clock_.now() >= it->due) {
                    exchange(*it);
                }
            }
        }
    }

    void restart(std::size_t at) {
        const auto n = nodes_.size();
        auto next = std::make_unique<node>(clock_, nodes_[at]->name, n, limit_);
        next->incarnation = nodes_[at]->incarnation + "1";
        next->due = clock_.now();
        nodes_[at] = std::move(next);
    }

    void lose(double part) { loss_ = part; }
    node &at(std::size_t n) { return *nodes_[n]; }
    [[nodiscard]] std::int64_t most_in_window() const { return most_; }
    [[nodiscard]] std::int64_t total() const { return total_; }
    /** Part of what an exact bucket would admit that was admitted. */
    [[nodiscard]] double served() const {
        return owed_ == 0 ? 1 : static_cast<double>(served_) / static_cast<double>(owed_);
    }
    [[nodiscard]] double bound(std::int64_t largest) const {
        const double seconds = std::chrono::duration<double>(window).count();
        return (limit_.rate * seconds + limit_.burst) * tolerance +
               static_cast<double>(largest) * static_cast<double>(nodes_.size());
    }
    [[nodiscard]] std::mt19937 &random() { return random_; }
    [[nodiscard]] const manual_clock &clock() const { return clock_; }

private:
    bool lost() { return std::uniform_real_distribution<double>{0, 1}(random_) < loss_; }

    void exchange(node &it) {
        it.due = clock_.now() + quota_interval;
        if (it.uses != 0 && clock_.now() >= it.probe_due) {
            it.probe_due = clock_.now() + 5s;
            if (reaches(it, *nodes_.front())) {
                it.uses = 0;
                it.due = clock_.now() + quota_member_lifetime;
                return;
            }
        }
        auto report = it.ledger.report();
        report.gateway = it.name;
        report.incarnation = it.incarnation;
        auto &bank = *nodes_[it.uses];
        std::optional<quota_answer> answer;
        if (reaches(it, bank)) {
            answer = bank.bank.answer(report);
            if (!reaches(bank, it)) {
                answer.reset();
            }
        }
        if (answer) {
            it.missed = 0;
            it.ledger.on_answer(*answer);
        } else if (++it.missed >= 2) {
            it.ledger.on_bank_lost(false);
            it.missed = 0;
            it.uses = (it.uses + 1) % nodes_.size();
            it.probe_due = clock_.now() + 5s;
            it.due = it.uses == 0 ? it.due : clock_.now() + step;
        }
    }

    bool reaches(const node &from, const node &to) {
        return &from == &to || (from.cut == to.cut && !to.frozen && !lost());
    }

    const quota limit_;
    manual_clock clock_;
    std::mt19937 random_;
    std::vector<std::unique_ptr<node>> nodes_;
    token_bucket ideal_;
    std::deque<std::pair<instant, std::int64_t>> admitted_;
    std::int64_t in_window_{0};
    std::int64_t most_{0};
    std::int64_t total_{0};
    std::int64_t owed_{0};
    std::int64_t served_{0};
    double loss_{0};
};

constexpr std::int64_t draft = 17'000;
constexpr quota tokens{.rate = 150'000, .burst = 150'000, .unit = quota_unit::tokens};

/** @brief Requests at random times at a part of the rate. @param choose Gateway of a request. */
template<typename Choose>
void play(simulation &it, duration length, double load, std::int64_t cost, Choose choose) {
    const double mean = static_cast<double>(cost) / (load * tokens.rate);
    std::exponential_distribution<double> pause{1 / mean};
    double wait = 0;
    for (const auto end = it.clock().now() + length; it.clock().now() < end; it.advance(step)) {
        wait -= std::chrono::duration<double>(step).count();
        for (; wait <= 0; wait += pause(it.random())) {
            it.send(choose(), cost);
        }
    }
}

} // namespace

// Guards against a quota that refuses what it allows because of where the callers are.
TEST_CASE("an organisation below its quota is served wherever its callers are") {
    for (const bool large : {true, false}) {
        for (const std::size_t spread : {std::size_t{1}, std::size_t{4}, std::size_t{20}}) {
            CAPTURE(large);
            CAPTURE(spread);
            simulation it{20, tokens};
            it.advance(3s);
            play(it, 60s, 0.55, large ? draft : 400, [&] { return it.random()() % spread; });
            CHECK(it.served() >= 0.98);
        }
    }
}

// Guards against amounts that stay where the callers were.
TEST_CASE("an organisation below its quota is served while its callers move") {
    simulation it{20, tokens};
    it.advance(3s);
    for (std::size_t n = 0; n < 30; ++n) {
        play(it, 2s, 0.6, 2000, [&] { return n % 20; });
    }
    CHECK(it.served() >= 0.98);
}

// Guards against gateways that each admit the whole quota.
TEST_CASE("a flood of one organisation is held to its quota and uses all of it") {
    for (const std::size_t spread : {std::size_t{1}, std::size_t{20}}) {
        for (const std::int64_t cost : {std::int64_t{400}, draft}) {
            CAPTURE(spread);
            CAPTURE(cost);
            simulation it{20, tokens};
            it.advance(3s);
            play(it, 40s, 8, cost, [&] { return it.random()() % spread; });
            CHECK(static_cast<double>(it.most_in_window()) <= it.bound(cost / 2));
            CHECK(static_cast<double>(it.total()) >= 0.95 * 40 * tokens.rate);
        }
    }
}

// Guards against a second burst for callers that come from gateway to gateway.
TEST_CASE("a flood that moves between the gateways is held to the quota") {
    simulation it{20, tokens};
    it.advance(3s);
    for (std::size_t n = 0; n < 40; ++n) {
        play(it, 500ms, 8, 2000, [&] { return n % 20; });
    }
    CHECK(static_cast<double>(it.most_in_window()) <= it.bound(1000));
}

// Guards against a quota that grows while gateways are out of touch, and one that is useless then.
TEST_CASE("gateways that are cut off spend their own part") {
    simulation it{20, tokens};
    it.advance(3s);
    for (std::size_t n = 0; n < 20; ++n) {
        it.at(n).cut = n % 2 == 1;
    }
    play(it, 60s, 6, 400, [&] { return it.random()() % 20; });
    CHECK(static_cast<double>(it.most_in_window()) <= it.bound(400));
    CHECK(static_cast<double>(it.total()) >= 0.9 * 60 * tokens.rate);
}

// Guards against any other series of faults in which the gateways together exceed a quota by more than the rule allows.
TEST_CASE("no series of cuts, freezes, restarts and lost messages exceeds the sum") {
    rc::check([] {
        constexpr std::size_t gateways = 6;
        const auto seed = *rc::gen::arbitrary<unsigned int>();
        const auto cost = *rc::gen::element<std::int64_t>(1, 400, draft);
        simulation it{gateways, tokens, seed};
        it.lose(*rc::gen::element(0.0, 0.01, 0.1));
        it.advance(2s);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, static_cast<int>(gateways))));
        for (const auto &[kind, n] : steps) {
            const auto target = static_cast<std::size_t>(n);
            switch (kind) {
            case 0:
                it.at(target).cut = !it.at(target).cut;
                break;
            case 1:
                it.at(target).frozen = !it.at(target).frozen;
                break;
            case 2:
                it.restart(target);
                break;
            default:
                break;
            }
            play(it, kind > 5 ? 3s : 700ms, 6, std::max<std::int64_t>(cost, 40),
                 [&, kind = kind] { return kind % 2 == 0 ? it.random()() % gateways : target; });
        }
        RC_ASSERT(static_cast<double>(it.most_in_window()) <= it.bound(cost));
    });
}

// Guards against credit for requests that have run, and against a charge for those that have not.
TEST_CASE("a refund is available again, here and elsewhere") {
    simulation it{2, {.rate = 1, .burst = 3}};
    it.advance(6s);
    CHECK(it.send(0, 1));
    CHECK(it.send(0, 1));
    CHECK(it.send(0, 1));
    it.advance(10ms);
    CHECK_FALSE(it.send(0, 1));
    it.at(0).ledger.refund(org, 1);
    CHECK(it.send(0, 1));
}

// Guards against a limit that is changed without effect.
TEST_CASE("a lowered quota binds within a second, and a raised one at once") {
    simulation it{4, {.rate = 1000, .burst = 1000}};
    const auto change = [&](double rate, double burst) {
        for (std::size_t n = 0; n < 4; ++n) {
            it.at(n).bank.set_quotas({{org, {.rate = rate, .burst = burst}}});
            it.at(n).ledger.set_quotas({{org, {.rate = rate, .burst = burst}}});
        }
    };
    const auto admitted = [&](int count) {
        int out = 0;
        for (int n = 0; n < count; ++n) {
            out += it.send(static_cast<std::size_t>(n) % 4, 1) ? 1 : 0;
        }
        return out;
    };
    it.advance(3s);
    change(10, 10);
    it.advance(1s);
    CHECK(admitted(100) <= 10 + 4);
    change(10, 200);
    CHECK(admitted(180) >= 150);
}
