#include "limits/admission.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using dotterelstack::base::instant;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

namespace {

constexpr std::size_t row_count = 4;
constexpr std::array<row_key, row_count> keys{row_key{"a", "s"}, {"b", "s"}, {"c", "s"}, {"a", "t"}};

struct operation {
    int kind;
    std::size_t row;
    int value;
};

/** @brief Reference model: the same rules by linear search over all requests, without indexes, timers or estimates. */
class reference_admission {
public:
    struct item {
        std::string id;
        std::size_t row;
        double prompt;
        int priority;
        bool running;
    };
    struct row_model {
        row_limits limits;
        double requests_level{0}, prompt_level{0}, virtual_time{0};
        bool ready{false};
    };

    explicit reference_admission(const std::array<row_limits, row_count> &limits) {
        for (std::size_t n = 0; n < row_count; ++n) {
            rows[n] = {limits[n], limits[n].requests_per_second, limits[n].prompt_tokens_per_second};
        }
    }

    void advance(double seconds) {
        for (auto &it : rows) {
            it.requests_level =
                std::min(it.limits.requests_per_second, it.requests_level + seconds * it.limits.requests_per_second);
            it.prompt_level = std::min(it.limits.prompt_tokens_per_second,
                                       it.prompt_level + seconds * it.limits.prompt_tokens_per_second);
        }
    }

    [[nodiscard]] int running(std::size_t row) const {
        return static_cast<int>(
            std::count_if(items.begin(), items.end(), [row](auto &it) { return it.running && it.row == row; }));
    }

    [[nodiscard]] int service_running(std::string_view service) const {
        int sum = 0;
        for (std::size_t n = 0; n < row_count; ++n) {
            sum += keys[n].service == service ? running(n) : 0;
        }
        return sum;
    }

    [[nodiscard]] item *head(std::size_t row) {
        item *first = nullptr;
        for (auto &it : items) {
            if (it.row == row && !it.running && (first == nullptr || it.priority > first->priority)) {
                first = &it;
            }
        }
        return first;
    }

    [[nodiscard]] bool allowed(const item &it) const {
        const auto &row = rows[it.row];
        const auto fits = [](double rate, double level, double cost) {
            return rate == 0 || std::min(cost, rate) - level <= 1e-6;
        };
        return (row.limits.max_concurrency == 0 || running(it.row) < static_cast<int>(row.limits.max_concurrency)) &&
               fits(row.limits.requests_per_second, row.requests_level, 1) &&
               fits(row.limits.prompt_tokens_per_second, row.prompt_level, it.prompt);
    }

    void refresh(std::size_t row) {
        auto *first = head(row);
        const bool ready = first != nullptr && allowed(*first);
        if (ready && !rows[row].ready) {
            rows[row].virtual_time = std::max(rows[row].virtual_time, virtual_time[keys[row].service == "t"]);
        }
        rows[row].ready = ready;
    }

    void start(item &it) {
        auto &row = rows[it.row];
        auto &now = virtual_time[keys[it.row].service == "t"];
        row.virtual_time = row.ready ? row.virtual_time : std::max(row.virtual_time, now);
        now = std::max(now, row.virtual_time);
        it.running = true;
        row.requests_level -= 1;
        row.prompt_level -= it.prompt;
        row.virtual_time += it.prompt / row.limits.weight;
        const auto at = it.row;
        refresh(at);
    }

    bool submit(const item &added) {
        items.push_back(added);
        const auto service = keys[added.row].service;
        bool free = service_running(service) < slots[service == "t"] && head(added.row) == &items.back();
        for (std::size_t n = 0; n < row_count; ++n) {
            free = free && !(keys[n].service == service && rows[n].ready);
            for (const auto &it : items) {
                free = free && !(it.row == added.row && !it.running && it.id != added.id);
            }
        }
        if (free && allowed(items.back())) {
            start(items.back());
            return true;
        }
        refresh(added.row);
        return false;
    }

    std::vector<std::string> poll() {
        std::vector<std::string> out;
        for (std::size_t n = 0; n < row_count; ++n) {
            refresh(n);
        }
        for (const std::string_view service : {"s", "t"}) {
            while (service_running(service) < slots[service == "t"]) {
                item *best = nullptr;
                for (std::size_t n = 0; n < row_count; ++n) {
                    if (keys[n].service == service && rows[n].ready &&
                        (best == nullptr || rows[n].virtual_time < rows[best->row].virtual_time)) {
                        best = head(n);
                    }
                }
                if (best == nullptr) {
                    break;
                }
                out.push_back(best->id);
                start(*best);
            }
        }
        return out;
    }

    void end(const std::string &id) {
        const auto it = std::find_if(items.begin(), items.end(), [&](auto &one) { return one.id == id; });
        const auto row = it->row;
        items.erase(it);
        refresh(row);
    }

    std::vector<item> items;
    std::array<row_model, row_count> rows;
    std::array<int, 2> slots{2, 1};
    std::array<double, 2> virtual_time{0, 0};
};

rc::Gen<operation> any_operation() {
    return rc::gen::apply(
        [](int kind, std::size_t row, int value) {
            return operation{kind, row, value};
        },
        rc::gen::weightedElement<int>({{6, 0}, {3, 1}, {4, 2}, {1, 3}}), rc::gen::inRange<std::size_t>(0, row_count),
        rc::gen::inRange(0, 1000));
}

rc::Gen<row_limits> any_limits() {
    return rc::gen::apply([](double weight, std::uint32_t concurrency, double requests,
                             double prompt) { return row_limits{weight, concurrency, requests, prompt, 0, 10'000}; },
                          rc::gen::element(1.0, 2.0, 4.0), rc::gen::element(0U, 1U, 2U),
                          rc::gen::element(0.0, 0.5, 4.0), rc::gen::element(0.0, 128.0, 1024.0));
}

} // namespace

// Guards against an index, timer or virtual time that is not kept up to date: the same history must give the same
// admissions in the same order as the reference model, and leave no slot free that a waiting request may use.
TEST_CASE("admission agrees with the reference model on random histories") {
    const bool holds = rc::check("same admissions", [] {
        std::array<row_limits, row_count> limits;
        for (auto &it : limits) {
            it = *any_limits();
        }
        const auto history = *rc::gen::container<std::vector<operation>>(any_operation());
        manual_clock clock;
        admission subject{clock};
        reference_admission model{limits};
        subject.set_capacity("s", 2);
        subject.set_capacity("t", 1);
        for (std::size_t n = 0; n < row_count; ++n) {
            subject.set_row(keys[n], limits[n]);
        }
        int number = 0;
        for (const auto &step : history) {
            if (step.kind == 0) {
                const auto id = std::to_string(number++);
                const int priority = step.value % 3;
                const auto answer = subject.submit(
                    {id, keys[step.row], static_cast<std::uint64_t>(step.value), 0, priority, instant::max()});
                const bool now = model.submit({id, step.row, static_cast<double>(step.value), priority, false});
                RC_ASSERT((answer.outcome == verdict::admitted) == now);
            } else if (step.kind == 1) {
                // Multiples of 1/8 s are exact in binary, so the bucket levels of both are equal.
                clock.advance(125ms * (step.value % 16));
                model.advance(0.125 * (step.value % 16));
            } else if (!model.items.empty()) {
                const auto one = model.items[static_cast<std::size_t>(step.value) % model.items.size()];
                if (step.kind == 2 && one.running) {
                    subject.add_served_tokens(one.id, static_cast<std::uint64_t>(one.prompt), 0);
                    RC_ASSERT(subject.finish(one.id));
                    model.end(one.id);
                } else if (step.kind == 3 && !one.running) {
                    RC_ASSERT(subject.cancel(one.id));
                    model.end(one.id);
                }
            }
            std::vector<std::string> got;
            for (const auto &it : subject.poll()) {
                RC_ASSERT(it.outcome == verdict::admitted);
                got.push_back(it.request);
            }
            RC_ASSERT(got == model.poll());
            for (std::size_t n = 0; n < row_count; ++n) {
                RC_ASSERT(subject.status(keys[n]).running == static_cast<std::uint32_t>(model.running(n)));
            }
        }
    });
    CHECK(holds);
}

// Guards against a rate that is exceeded over time: admissions in any interval stay within rate times interval plus one
// burst, and a wake-up time is returned while requests wait.
TEST_CASE("rates hold over every interval") {
    const bool holds = rc::check("rate bound", [] {
        const double rate = *rc::gen::element(0.5, 2.0, 8.0);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2000));
        manual_clock clock;
        admission subject{clock};
        subject.set_capacity("s", 1000);
        subject.set_row(keys[0], {.requests_per_second = rate, .max_queue = 10'000});
        std::vector<double> times;
        int number = 0;
        for (const int step : steps) {
            const auto id = std::to_string(number++);
            if (subject.submit({id, keys[0], 1, 1, 0, instant::max()}).outcome == verdict::admitted) {
                times.push_back(std::chrono::duration<double>(clock.now().time_since_epoch()).count());
            }
            clock.advance(step * 1ms);
            for (const auto &it : subject.poll()) {
                RC_ASSERT(it.outcome == verdict::admitted);
                times.push_back(std::chrono::duration<double>(clock.now().time_since_epoch()).count());
            }
            RC_ASSERT(subject.status(keys[0]).waiting == 0 || subject.next_wakeup().has_value());
        }
        for (std::size_t from = 0; from < times.size(); ++from) {
            for (std::size_t to = from; to < times.size(); ++to) {
                const double allowed = rate * (times[to] - times[from]) + std::max(1.0, rate);
                RC_ASSERT(static_cast<double>(to - from + 1) <= allowed + 1e-3);
            }
        }
    });
    CHECK(holds);
}

// Guards against a request that is decided after its deadline, or never, when the owner polls at each wake-up time.
TEST_CASE("every request is answered before its deadline passes") {
    const bool holds = rc::check("answered in time", [] {
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
        manual_clock clock;
        admission subject{clock};
        subject.set_capacity("s", 2);
        subject.set_row(keys[0], {.requests_per_second = 2, .max_queue = 10'000});
        subject.set_row(keys[1], {.max_concurrency = 1, .max_queue = 10'000});
        std::map<std::string, instant> waiting;
        std::vector<std::string> running;
        int number = 0;
        const auto collect = [&](const decision &it) {
            if (it.outcome == verdict::admitted) {
                RC_ASSERT(!waiting.contains(it.request) || clock.now() < waiting[it.request]);
                running.push_back(it.request);
            } else {
                RC_ASSERT(it.retry_after > 0ns);
                RC_ASSERT(!waiting.contains(it.request) || clock.now() <= waiting[it.request]);
            }
            waiting.erase(it.request);
        };
        for (const int step : steps) {
            const auto id = std::to_string(number++);
            const auto deadline = clock.now() + 1ms * (step + 1);
            const auto answer = subject.submit({id, keys[static_cast<std::size_t>(step) % 2], 10, 0, 0, deadline});
            if (answer.outcome == verdict::queued) {
                waiting[id] = deadline;
            } else {
                collect(answer);
            }
            if (step % 3 == 0 && !running.empty()) {
                RC_ASSERT(subject.finish(running.back()));
                running.pop_back();
            }
            const auto until = clock.now() + 1ms * (step / 4);
            while (clock.now() < until) {
                const auto at = std::min(until, subject.next_wakeup().value_or(until));
                clock.advance(std::max(1ns, at - clock.now()));
                for (const auto &it : subject.poll()) {
                    collect(it);
                }
            }
        }
        RC_ASSERT(subject.status(keys[0]).waiting + subject.status(keys[1]).waiting == waiting.size());
    });
    CHECK(holds);
}
