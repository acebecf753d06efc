#include "base/byte_budget.hpp"

#include <doctest/doctest.h>
#include <thread>
#include <vector>

using namespace dotterelstack;

// Guards against memory that grows with the number of messages which are each within their own limit.
TEST_CASE("all messages together hold no more than the budget, and usual ones need none of it") {
    constexpr std::size_t free = base::byte_holding::free_bytes;
    base::byte_budget budget{1000};
    base::byte_holding first{&budget};
    base::byte_holding second{&budget};
    CHECK(first.resize(free));
    CHECK(budget.used() == 0);
    CHECK(first.resize(free + 600));
    CHECK_FALSE(second.resize(free + 401));
    CHECK(budget.used() == 600);
    CHECK(second.resize(free + 400));
    CHECK_FALSE(first.resize(free + 601));
    CHECK(first.resize(free + 300));
    CHECK(budget.used() == 700);
    CHECK(first.resize(free + 600));
    base::byte_holding small{&budget};
    CHECK(small.resize(free));
    first.reset();
    CHECK(budget.used() == 400);
    {
        base::byte_holding third{&budget};
        CHECK(third.resize(free + 600));
        CHECK_FALSE(budget.take(1));
    }
    CHECK(budget.used() == 400);
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
