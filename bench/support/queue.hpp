#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <memory>

#include "bench/support/workload.hpp"

namespace dotterelstack::bench {

/** @brief Order in which an entry hands over waiting requests. To be replaced by `limits/admission.hpp`. */
class request_queue {
public:
    request_queue() = default;
    request_queue(const request_queue &) = delete;
    request_queue &operator=(const request_queue &) = delete;
    request_queue(request_queue &&) = delete;
    request_queue &operator=(request_queue &&) = delete;
    virtual ~request_queue() = default;

    virtual void push(std::uint64_t id, int organisation) = 0;
    [[nodiscard]] virtual bool empty() const = 0;
    /** @return The next request; the queue must not be empty. */
    [[nodiscard]] virtual std::uint64_t front() = 0;
    virtual void pop() = 0;
    /** @brief Charges tokens of service to an organisation. */
    virtual void charge(int organisation, double tokens) = 0;
};

/** @brief First come, first served. */
class fifo_queue final : public request_queue {
public:
    void push(std::uint64_t id, int) override { items_.push_back(id); }
    [[nodiscard]] bool empty() const override { return items_.empty(); }
    [[nodiscard]] std::uint64_t front() override { return items_.front(); }
    void pop() override { items_.pop_front(); }
    void charge(int, double) override {}

private:
    std::deque<std::uint64_t> items_;
};

/** @brief The organisation with the fewest tokens of service goes first; one that returns does not catch up. */
class fair_queue final : public request_queue {
public:
    void push(std::uint64_t id, int organisation) override {
        if (items_[organisation].empty()) {
            served_[organisation] = std::max(served_[organisation], floor());
        }
        items_[organisation].push_back(id);
        ++size_;
    }

    [[nodiscard]] bool empty() const override { return size_ == 0; }
    [[nodiscard]] std::uint64_t front() override { return items_[next()].front(); }

    void pop() override {
        items_[next()].pop_front();
        --size_;
    }

    void charge(int organisation, double tokens) override { served_[organisation] += tokens; }

private:
    [[nodiscard]] int next() const {
        int best = -1;
        for (int who = 0; who < organisation_count; ++who) {
            if (!items_[who].empty() && (best < 0 || served_[who] < served_[best])) {
                best = who;
            }
        }
        return best;
    }

    [[nodiscard]] double floor() const {
        const auto who = next();
        return who < 0 ? 0 : served_[who];
    }

    std::array<std::deque<std::uint64_t>, organisation_count> items_;
    std::array<double, organisation_count> served_{};
    std::size_t size_{0};
};

} // namespace dotterelstack::bench
