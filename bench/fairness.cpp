// Service of the worst organisation when one floods with long prompts while seven send short questions.
// A manual clock and fixed seeds make every run print the same table.
#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "limits/admission.hpp"

using namespace std::chrono_literals;
using dotterelstack::base::duration;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

namespace {

constexpr std::size_t organisations = 8;
constexpr std::array<std::string_view, organisations> names{"0", "1", "2", "3", "4", "5", "6", "7"};
constexpr std::uint32_t slots = 24;
constexpr double prefill_tokens_per_second = 4000;
constexpr double seconds_per_generated_token = 0.02;
constexpr duration patience = 10s;
constexpr duration length = 600s;
constexpr int seeds = 5;

struct job {
    std::size_t organisation{0};
    std::uint64_t prompt{0};
    std::uint64_t generated{0};
    instant arrived{};
    bool waiting{true};
};

struct load {
    const char *name;
    double large_rate; /**< Requests per second. */
    std::uint64_t large_prompt;
    std::uint64_t large_generated;
    double small_rate; /**< Requests per second of each of the seven. */
    std::uint64_t small_prompt;
    std::uint64_t small_generated;
};

/** @brief Chooses the next waiting request for a free slot. */
class scheduler {
public:
    scheduler() = default;
    scheduler(const scheduler &) = delete;
    scheduler &operator=(const scheduler &) = delete;
    scheduler(scheduler &&) = delete;
    scheduler &operator=(scheduler &&) = delete;
    virtual ~scheduler() = default;
    virtual void arrive(std::size_t id, const job &it) = 0;
    /** @return Requests to start, given the number of free slots. */
    virtual std::vector<std::size_t> start(std::size_t free) = 0;
    /** @return Requests that have been refused or dropped since the last call. */
    std::vector<std::size_t> refused() { return std::exchange(refused_, {}); }
    virtual void prefilled(std::size_t, const job &) {}
    virtual void finish(std::size_t, const job &) {}
    /** @return When to call `start` although nothing has arrived or finished. */
    [[nodiscard]] virtual instant wakeup() const { return instant::max(); }

protected:
    std::vector<std::size_t> refused_;
};

class first_come final : public scheduler {
public:
    first_come(const manual_clock &clock, std::vector<job> &jobs) : clock_{clock}, jobs_{jobs} {}
    void arrive(std::size_t id, const job &) override { queue_.push_back(id); }
    std::vector<std::size_t> start(std::size_t free) override {
        std::vector<std::size_t> out;
        while (out.size() < free && !queue_.empty()) {
            if (jobs_[queue_.front()].arrived + patience > clock_.now()) {
                out.push_back(queue_.front());
            } else {
                refused_.push_back(queue_.front());
            }
            queue_.pop_front();
        }
        return out;
    }

private:
    const manual_clock &clock_;
    std::vector<job> &jobs_;
    std::deque<std::size_t> queue_;
};

class round_robin final : public scheduler {
public:
    round_robin(const manual_clock &clock, std::vector<job> &jobs) : clock_{clock}, jobs_{jobs} {}
    void arrive(std::size_t id, const job &it) override { queues_[it.organisation].push_back(id); }
    std::vector<std::size_t> start(std::size_t free) override {
        std::vector<std::size_t> out;
        for (std::size_t empty = 0; out.size() < free && empty < organisations;) {
            auto &queue = queues_[turn_++ % organisations];
            while (!queue.empty() && jobs_[queue.front()].arrived + patience <= clock_.now()) {
                refused_.push_back(queue.front());
                queue.pop_front();
            }
            if (queue.empty()) {
                ++empty;
                continue;
            }
            out.push_back(queue.front());
            queue.pop_front();
            empty = 0;
        }
        return out;
    }

private:
    const manual_clock &clock_;
    std::vector<job> &jobs_;
    std::array<std::deque<std::size_t>, organisations> queues_;
    std::size_t turn_{0};
};

class by_admission final : public scheduler {
public:
    /** @param bound Whether requests state their largest response, from which the expected cost is charged. */
    by_admission(const manual_clock &clock, bool bound) : subject_{clock}, bound_{bound} {
        for (const auto name : names) {
            subject_.set_row({name, "drafting"}, {.max_queue = 100'000});
        }
        subject_.set_capacity("drafting", slots);
    }
    void arrive(std::size_t id, const job &it) override {
        const auto answer = subject_.submit({std::to_string(id),
                                             {names[it.organisation], "drafting"},
                                             it.prompt,
                                             bound_ ? 4096U : 0U,
                                             0,
                                             it.arrived + patience});
        if (answer.outcome == verdict::admitted) {
            admitted_.push_back(id);
        } else if (answer.outcome == verdict::refused) {
            refused_.push_back(id);
        }
    }
    std::vector<std::size_t> start(std::size_t) override {
        auto out = std::exchange(admitted_, {});
        for (const auto &it : subject_.poll()) {
            if (it.outcome == verdict::admitted) {
                out.push_back(std::stoul(it.request));
            } else {
                refused_.push_back(std::stoul(it.request));
            }
        }
        return out;
    }
    void prefilled(std::size_t id, const job &it) override {
        subject_.add_served_tokens(std::to_string(id), it.prompt, 0);
    }
    void finish(std::size_t id, const job &it) override {
        subject_.add_served_tokens(std::to_string(id), 0, it.generated);
        (void)subject_.finish(std::to_string(id));
    }
    [[nodiscard]] instant wakeup() const override { return subject_.next_wakeup().value_or(instant::max()); }

private:
    admission subject_;
    bool bound_;
    std::vector<std::size_t> admitted_;
};

struct result {
    double worst{1e9}; /**< Smallest served / fair share of any organisation. */
    double worst_small{1e9};
    double large_share{0};   /**< Part of all served tokens. */
    double wait_p95{0};      /**< Seconds, short questions that were served. */
    double refused_after{0}; /**< Mean seconds until a request that is not served is refused, at most `patience`. */
    double busy{0};          /**< Part of the slots' time. */
};

/** @brief Max-min fair division of the served tokens over the offered ones. */
std::array<double, organisations> fair_shares(const std::array<double, organisations> &offered, double total) {
    auto order = offered;
    std::sort(order.begin(), order.end());
    double level = 0;
    double rest = total;
    for (std::size_t n = 0; n < organisations; ++n) {
        level = std::min(order[n], rest / static_cast<double>(organisations - n));
        rest -= level;
    }
    std::array<double, organisations> out{};
    std::transform(offered.begin(), offered.end(), out.begin(), [&](double it) { return std::min(it, level); });
    return out;
}

using factory = std::function<std::unique_ptr<scheduler>(const manual_clock &, std::vector<job> &)>;

result simulate(const load &with, const factory &make, unsigned seed) {
    enum class kind : std::uint8_t {
        arrival,
        prefilled,
        finished,
        wakeup
    };
    struct event {
        instant at;
        std::size_t order;
        kind what;
        std::size_t id;
        bool operator<(const event &other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    std::mt19937_64 random{seed};
    manual_clock clock;
    std::vector<job> jobs;
    std::priority_queue<event> events;
    std::size_t order = 0;
    const auto after = [](double seconds) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    };
    std::exponential_distribution<double> gap{1.0};
    std::uniform_real_distribution<double> spread{0.5, 1.5};
    for (std::size_t n = 0; n < organisations; ++n) {
        const double rate = n == 0 ? with.large_rate : with.small_rate;
        for (auto at = instant{} + after(gap(random) / rate); at < instant{} + length;
             at += after(gap(random) / rate)) {
            const auto tokens = [&](std::uint64_t mean) {
                return static_cast<std::uint64_t>(static_cast<double>(mean) * spread(random));
            };
            jobs.push_back({n, tokens(n == 0 ? with.large_prompt : with.small_prompt),
                            tokens(n == 0 ? with.large_generated : with.small_generated), at, true});
            events.push({at, order++, kind::arrival, jobs.size() - 1});
        }
    }
    const auto subject = make(clock, jobs);
    std::array<double, organisations> offered{};
    std::array<double, organisations> served{};
    std::vector<double> waits;
    std::size_t running = 0;
    double refusal_time = 0;
    std::size_t refusals = 0;
    double busy = 0;
    instant wakeup = instant::max();
    for (const auto &it : jobs) {
        offered[it.organisation] += static_cast<double>(it.prompt + it.generated);
    }
    while (!events.empty() && events.top().at < instant{} + length) {
        const auto now = events.top();
        events.pop();
        clock.advance(now.at - clock.now());
        if (now.what == kind::arrival) {
            subject->arrive(now.id, jobs[now.id]);
        } else if (now.what == kind::prefilled) {
            subject->prefilled(now.id, jobs[now.id]);
        } else if (now.what == kind::finished) {
            subject->finish(now.id, jobs[now.id]);
            --running;
        } else {
            wakeup = instant::max();
        }
        for (const auto id : subject->start(slots - running)) {
            const auto &it = jobs[id];
            const auto prefill = after(static_cast<double>(it.prompt) / prefill_tokens_per_second);
            const auto total = prefill + after(static_cast<double>(it.generated) * seconds_per_generated_token);
            ++running;
            busy += std::chrono::duration<double>(std::min(total, instant{} + length - clock.now())).count();
            served[it.organisation] += static_cast<double>(it.prompt + it.generated);
            if (it.organisation != 0) {
                waits.push_back(std::chrono::duration<double>(clock.now() - it.arrived).count());
            }
            events.push({clock.now() + prefill, order++, kind::prefilled, id});
            events.push({clock.now() + total, order++, kind::finished, id});
        }
        for (const auto id : subject->refused()) {
            refusal_time += std::chrono::duration<double>(std::min(clock.now() - jobs[id].arrived, patience)).count();
            ++refusals;
        }
        if (running > slots) {
            std::fprintf(stderr, "more requests than slots\n");
            std::exit(1);
        }
        const auto next = subject->wakeup();
        if (next < wakeup && next > clock.now()) {
            wakeup = next;
            events.push({next, order++, kind::wakeup, 0});
        }
    }
    result out;
    double total = 0;
    for (const double it : served) {
        total += it;
    }
    const auto fair = fair_shares(offered, total);
    for (std::size_t n = 0; n < organisations; ++n) {
        out.worst = std::min(out.worst, served[n] / fair[n]);
        out.worst_small = n == 0 ? out.worst_small : std::min(out.worst_small, served[n] / fair[n]);
    }
    std::sort(waits.begin(), waits.end());
    out.large_share = served[0] / total;
    out.wait_p95 = waits.empty() ? 0 : waits[waits.size() * 95 / 100];
    out.refused_after = refusals == 0 ? 0 : refusal_time / static_cast<double>(refusals);
    out.busy = busy / (slots * std::chrono::duration<double>(length).count());
    return out;
}

} // namespace

int main() {
    const std::array<load, 3> loads{{{"short questions below their share", 6, 16'000, 200, 0.5, 300, 100},
                                     {"short questions above their share", 6, 16'000, 200, 6, 300, 100},
                                     {"long responses instead of prompts", 3, 100, 2'000, 6, 300, 100}}};
    const std::array<std::pair<const char *, factory>, 4> schedulers{
        {{"first come, first served",
          [](const manual_clock &clock, std::vector<job> &jobs) { return std::make_unique<first_come>(clock, jobs); }},
         {"round robin by organisation",
          [](const manual_clock &clock, std::vector<job> &jobs) { return std::make_unique<round_robin>(clock, jobs); }},
         {"admission",
          [](const manual_clock &clock, std::vector<job> &) { return std::make_unique<by_admission>(clock, true); }},
         {"admission, no expected charge",
          [](const manual_clock &clock, std::vector<job> &) { return std::make_unique<by_admission>(clock, false); }}}};
    std::printf("%u slots, %d seeds, %lld s each; worst: served tokens / max-min fair share, smallest of all seeds\n",
                slots, seeds, static_cast<long long>(std::chrono::duration_cast<std::chrono::seconds>(length).count()));
    for (const auto &with : loads) {
        std::printf("\n%-34s %8s %11s %12s %9s %9s %6s\n", with.name, "worst", "worst small", "large share", "p95 wait",
                    "refused", "busy");
        for (const auto &[name, make] : schedulers) {
            result sum;
            for (int seed = 1; seed <= seeds; ++seed) {
                const auto one = simulate(with, make, static_cast<unsigned>(seed));
                sum.worst = std::min(sum.worst, one.worst);
                sum.worst_small = std::min(sum.worst_small, one.worst_small);
                sum.large_share += one.large_share / seeds;
                sum.wait_p95 += one.wait_p95 / seeds;
                sum.refused_after += one.refused_after / seeds;
                sum.busy += one.busy / seeds;
            }
            std::printf("%-34s %8.3f %11.3f %12.3f %7.2f s %7.2f s %6.3f\n", name, sum.worst, sum.worst_small,
                        sum.large_share, sum.wait_p95, sum.refused_after, sum.busy);
        }
    }
    return 0;
}
