#include "limits/share_epoch.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace dotterelstack::limits;

namespace {

const std::vector<std::string> none;

std::uint64_t divisor_of(const std::vector<share_member> &members, std::string_view entry) {
    const auto it = std::find_if(members.begin(), members.end(), [&](auto &one) { return one.entry == entry; });
    return it == members.end() ? 0 : it->divisor;
}

} // namespace

// Guards against floors that do not add up to half the limit when no earlier floors are outstanding.
TEST_CASE("the floors of an epoch divide half the limit evenly") {
    const std::vector<std::string> entries{"a", "b", "c"};
    const auto epoch = plan_epoch({}, entries, none, none);
    CHECK(epoch.number == 1);
    CHECK(epoch.outstanding.empty());
    for (const auto &it : epoch.members) {
        CHECK(it.divisor == 6);
    }
    CHECK(floor_of(100, 6) == 16);
    CHECK(floor_of(1, 6) == 0);
}

// Guards against lending a floor that is still used by an entry that has not received the new epoch.
TEST_CASE("a departed entry keeps its floor reserved until it has applied the change or ended") {
    const std::vector<std::string> both{"a", "b"};
    const std::vector<std::string> rest{"b"};
    const auto first = plan_epoch({}, both, none, none);
    const auto second = plan_epoch(first, rest, none, none);
    CHECK(divisor_of(second.outstanding, "a") == 4);
    CHECK(divisor_of(second.members, "b") == 4);
    const std::vector<std::string> ended{"a"};
    const auto third = plan_epoch(second, rest, none, ended);
    CHECK(divisor_of(third.outstanding, "a") == 0);
    CHECK(divisor_of(third.members, "b") == 2);
    const auto fourth = plan_epoch(second, rest, ended, none);
    CHECK(divisor_of(fourth.members, "b") == 2);
}

// Guards against a row without a coordinator, or a row that moves although its coordinator is still a member.
TEST_CASE("a row moves only when its coordinator leaves") {
    const std::vector<std::string> entries{"a", "b", "c", "d"};
    const auto before = plan_epoch({}, entries, none, none);
    const auto after = plan_epoch(before, std::span{entries}.first(3), none, none);
    std::map<std::string_view, int> rows;
    for (int n = 0; n < 1000; ++n) {
        const auto name = std::to_string(n);
        const row_key row{name, "drafting"};
        const auto old = coordinator_of(before, row);
        ++rows[old];
        CHECK((old == "d" || coordinator_of(after, row) == old));
    }
    CHECK(coordinator_of({}, {"x", "y"}).empty());
    for (const auto &entry : entries) {
        CHECK(rows[entry] > 200);
    }
}

// Guards against floors that add up to more than the limit after any sequence of membership changes.
TEST_CASE("floors that may be in use never add up to more than the limit") {
    const bool holds = rc::check("sum of floors", [] {
        const auto masks = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 15));
        share_epoch epoch;
        std::map<std::string, double> in_use;
        for (const int mask : masks) {
            std::vector<std::string> members;
            std::vector<std::string> applied;
            std::vector<std::string> ended;
            for (int n = 0; n < 5; ++n) {
                const std::string name{static_cast<char>('a' + n)};
                if ((mask & (1 << n)) != 0) {
                    members.push_back(name);
                }
                if ((mask & (1 << (n + 5))) != 0) {
                    applied.push_back(name);
                    const auto by = divisor_of(epoch.members, name);
                    in_use[name] = by == 0 ? 0 : 1.0 / static_cast<double>(by);
                } else if ((mask & (7 << (n + 5))) == 0) {
                    ended.push_back(name);
                    in_use[name] = 0;
                }
            }
            epoch = plan_epoch(epoch, members, applied, ended);
            double settled = 0;
            double sum = 0;
            for (const auto &it : epoch.members) {
                const double floor = it.divisor == 0 ? 0 : 1.0 / static_cast<double>(it.divisor);
                settled += floor;
                in_use[it.entry] = std::max(in_use[it.entry], floor);
            }
            for (const auto &[name, floor] : in_use) {
                sum += floor;
            }
            RC_ASSERT(settled <= 0.5 + 1e-9);
            RC_ASSERT(sum <= 1.0);
        }
    });
    CHECK(holds);
}
