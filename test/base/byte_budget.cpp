#include "base/byte_budget.hpp"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace dotterelstack;

// Guards against memory that grows with the number of messages which are each within their own limit.
TEST_CASE("all bytes of messages are counted, and only large ones are refused") {
    constexpr std::size_t granted = base::byte_holding::granted_bytes;
    base::byte_budget budget{3 * granted};
    base::byte_holding first{&budget};
    base::byte_holding second{&budget};
    CHECK(first.resize(granted));
    CHECK(budget.used() == granted);
    CHECK(first.resize(granted + 600));
    CHECK_FALSE(second.resize(2 * granted));
    CHECK(budget.used() == granted + 600);
    CHECK(second.resize(2 * granted - 600));
    CHECK_FALSE(first.resize(granted + 601));
    CHECK(first.resize(granted + 300));
    CHECK(budget.used() == 3 * granted - 300);
    base::byte_holding small{&budget};
    CHECK_FALSE(small.try_resize(301));
    CHECK(small.resize(granted));
    CHECK(budget.used() == 4 * granted - 300);
    CHECK_FALSE(budget.take(1));
    first.reset();
    small.hold(2 * granted);
    CHECK(small.taken() == 2 * granted);
    CHECK(budget.used() == 4 * granted - 600);
    small.reset();
    CHECK(budget.used() == 2 * granted - 600);
    base::byte_holding without;
    CHECK(without.resize(std::size_t{1} << 40U));
}

// Guards against bytes that are counted twice or lost when threads take and give back at once.
TEST_CASE("a budget is exact when threads use it at the same time") {
    base::byte_budget budget{100};
    std::vector<std::thread> all;
    all.reserve(4);
    for (int n = 0; n < 4; ++n) {
        all.emplace_back([&budget] {
            for (int k = 0; k < 20'000; ++k) {
                if (budget.take(40)) {
                    CHECK(budget.used() <= 100);
                    budget.give_back(40);
                }
            }
        });
    }
    for (auto &it : all) {
        it.join();
    }
    CHECK(budget.used() == 0);
}
