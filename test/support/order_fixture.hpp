#pragma once

#include <memory>
#include <optional>
#include <string>

#include "base/clock.hpp"
#include "lease/lease_state_machine.hpp"
#include "order/order_executor.hpp"
#include "order/order_journal.hpp"
#include "store/memory_store.hpp"
#include "support/fake_engine.hpp"
#include "support/fake_wire.hpp"

namespace dotterelstack::testing {

/** @brief One planner process with its lease and the journal of one receiver. */
struct planner_process {
    lease::lease_state_machine lease_state;
    order::order_journal journal;

    planner_process(const base::clock &clock, const std::string &name, const std::string &key)
        : lease_state{clock, {.name = "planner", .holder = name}}, journal{clock, key} {}
};

/** @brief A store, an engine "e" behind its agent, and planners that compete for the lease. */
struct order_fixture {
    base::manual_clock clock;
    base::id_source ids{7};
    store::memory_store store;
    fake_wire wire;
    fake_engine engine;
    std::unique_ptr<order::order_executor> executor;
    order::agent_order_sender sender{wire, "agent", std::chrono::seconds{1}};

    order_fixture() {
        wire.handlers["engine"] = [this](const http::request &it) { return engine(it); };
        wire.handlers["agent"] = [this](const http::request &it) {
            return order::execute_order(*executor, clock, store, wire, "engine", it);
        };
        restart_agent();
        clock.advance(std::chrono::seconds{5});
    }

    void restart_agent() {
        executor = std::make_unique<order::order_executor>(clock, order::executor_settings{.backend = "e"});
    }

    std::unique_ptr<planner_process> start(const std::string &name, const std::string &key = "order/e") {
        return std::make_unique<planner_process>(clock, name, key);
    }

    /** @brief Keeps the lease until it is held. */
    void acquire(planner_process &it) {
        for (int n = 0; n < 200 && !it.lease_state.held(); ++n) {
            lease::drive_lease(it.lease_state, store, ids);
            clock.advance(std::chrono::milliseconds{100});
        }
    }

    /** @brief Runs lease and journal for a while, or until the journal has written or sent `steps` times. */
    void drive(planner_process &it, int rounds, order::order_sender &to) {
        for (int n = 0; n < rounds; ++n) {
            lease::drive_lease(it.lease_state, store, ids);
            order::drive_journal(it.journal, store, ids, to, it.lease_state.authority());
            clock.advance(std::chrono::milliseconds{100});
        }
    }

    void drive(planner_process &it, int rounds) { drive(it, rounds, sender); }

    static order::order make(const std::string &id, const std::string &role, const std::string &origin = "automatic") {
        return {id, "e", "set_role", role, origin};
    }
};

} // namespace dotterelstack::testing
