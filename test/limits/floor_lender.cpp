#include "limits/floor_lender.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "limits/share_holder.hpp"

using namespace std::chrono_literals;
using dotterelstack::base::manual_clock;
using namespace dotterelstack::limits;

namespace {

constexpr row_key row{"large", "drafting"};

/** @brief An entry without floors that borrows from the simulated lender. */
struct borrower {
    borrower(const manual_clock &clock, const std::string &name, std::uint64_t limit) : holder{clock, name} {
        holder.set_limit(row, {limit});
        holder.set_epoch({floor_loan_epoch, {}, {}});
    }
    share_holder holder;
};

/** @brief A lender with a fixed concurrency floor, its borrowers, and a network that delays and repeats messages. */
class loan_simulation {
public:
    static constexpr std::size_t borrowers = 3;

    explicit loan_simulation(std::uint64_t floor) : floor_{floor}, allowance_{floor}, lender_{clock_} {
        for (std::size_t n = 0; n < borrowers; ++n) {
            borrowers_[n].emplace(clock_, std::to_string(n), floor * 2);
        }
    }

    struct step {
        int kind;
        int entry;
        int value;
    };

    void run(const step &it) {
        const auto entry = static_cast<std::size_t>(it.entry) % borrowers;
        const auto amount = static_cast<std::uint64_t>(it.value) % (floor_ + 2);
        switch (it.kind) {
        case 0:
            clock_.advance(1ms * it.value);
            break;
        case 1:
            ask(entry, amount);
            break;
        case 2:
            deliver(it);
            break;
        case 3:
            apply();
            break;
        case 4:
            running_ = std::max(running_, std::min(amount, allowance_));
            break;
        case 5:
            running_ = std::min(running_, amount);
            break;
        default:
            lender_.set_lending_enabled(it.value % 2 == 0);
        }
        check();
    }

    void ask(std::size_t entry, std::uint64_t wanted) {
        if (const auto demand = borrowers_[entry]->holder.demand(row, {wanted}, {})) {
            network_.push_back(message{entry, *demand});
        }
    }

    void deliver_all() {
        while (!network_.empty()) {
            deliver({2, 1, 0});
        }
    }

    /** @brief Acts as the dispatcher's thread: reduces the allowance first, then offers the reserved amount. */
    void apply() {
        const auto reserved = lender_.reserve(row, {floor_});
        allowance_ = floor_ - std::min(floor_, reserved[0]);
        lender_.offer(row, {floor_}, {running_});
    }

    [[nodiscard]] std::uint64_t borrowed(std::size_t entry) const {
        return borrowers_[entry]->holder.allowance(row)[0];
    }
    [[nodiscard]] std::uint64_t allowance() const noexcept { return allowance_; }
    [[nodiscard]] std::uint64_t lent() const noexcept { return lent_; }
    [[nodiscard]] manual_clock &clock() noexcept { return clock_; }
    [[nodiscard]] floor_lender &lender() noexcept { return lender_; }
    void set_running(std::uint64_t n) noexcept { running_ = n; }

private:
    struct message {
        std::size_t borrower;
        std::variant<share_demand, share_grant> content;
    };

    void deliver(const step &it) {
        if (network_.empty()) {
            return;
        }
        const auto at = static_cast<std::size_t>(it.value) % network_.size();
        const auto content = network_[at];
        // Some messages stay in the network and are delivered again.
        if (it.entry % 4 != 0) {
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
        }
        if (const auto *demand = std::get_if<share_demand>(&content.content)) {
            if (const auto grant = lender_.answer(row, *demand)) {
                network_.push_back(message{content.borrower, *grant});
            }
        } else {
            (void)borrowers_[content.borrower]->holder.apply(row, std::get<share_grant>(content.content));
        }
    }

    void check() {
        std::uint64_t sum = std::max(allowance_, running_);
        for (std::size_t n = 0; n < borrowers; ++n) {
            sum += borrowed(n);
            lent_ += borrowed(n);
        }
        RC_ASSERT(sum <= floor_);
    }

    const std::uint64_t floor_;
    std::uint64_t allowance_;
    std::uint64_t running_{0};
    manual_clock clock_;
    floor_lender lender_;
    std::array<std::optional<borrower>, borrowers> borrowers_;
    std::vector<message> network_;
    std::uint64_t lent_{0};
};

} // namespace

// Guards against a loan granted before the lender has reduced its allowance, and against one of over half a floor.
TEST_CASE("at most half of a floor is lent, and only once it is reserved") {
    loan_simulation it{10};
    it.set_running(7);
    it.ask(0, 20);
    it.deliver_all();
    CHECK(it.borrowed(0) == 0);
    it.apply();
    CHECK(it.allowance() == 5);
    it.ask(0, 20);
    it.deliver_all();
    CHECK(it.borrowed(0) == 3);
    it.set_running(5);
    it.apply();
    it.ask(0, 20);
    it.deliver_all();
    CHECK(it.borrowed(0) == 5);
    it.ask(0, 2);
    it.deliver_all();
    CHECK(it.borrowed(0) == 2);
    it.apply();
    CHECK(it.allowance() == 8);
    it.clock().advance(grant_lifetime);
    CHECK(it.borrowed(0) == 0);
    it.clock().advance(clock_margin);
    CHECK(it.lender().idle());
    it.apply();
    CHECK(it.allowance() == 10);
}

// Guards against loans that continue while the lender waits to apply a smaller floor.
TEST_CASE("a lender with lending disabled grants no further loans") {
    loan_simulation it{10};
    for (int n = 0; n < 2; ++n) {
        it.ask(0, 4);
        it.deliver_all();
        it.apply();
    }
    it.ask(0, 4);
    it.deliver_all();
    CHECK(it.borrowed(0) == 4);
    it.lender().set_lending_enabled(false);
    it.ask(0, 4);
    it.deliver_all();
    it.clock().advance(grant_lifetime + clock_margin);
    CHECK(it.lender().idle());
    CHECK(it.borrowed(0) == 0);
}

// Guards against any history of lost, late and repeated messages after which lender and borrowers together may use more
// than the lender's floor.
TEST_CASE("a lender and its borrowers never use more than its floor") {
    std::uint64_t lent = 0;
    const bool holds = rc::check("sum within the floor", [&lent] {
        const auto floor = *rc::gen::element<std::uint64_t>(1, 2, 3, 7, 100);
        const auto any_step = rc::gen::apply(
            [](int kind, int entry, int value) {
                return loan_simulation::step{kind, entry, value};
            },
            rc::gen::weightedElement<int>({{3, 0}, {8, 1}, {12, 2}, {6, 3}, {4, 4}, {4, 5}, {1, 6}}),
            rc::gen::inRange(0, 16), rc::gen::inRange(0, 1500));
        const auto history = *rc::gen::scale(4.0, rc::gen::container<std::vector<loan_simulation::step>>(any_step));
        loan_simulation world{floor};
        for (const auto &it : history) {
            world.run(it);
        }
        lent += world.lent();
    });
    CHECK(holds);
    // At least one history must have reached a state in which something is lent.
    CHECK(lent > 0);
}
