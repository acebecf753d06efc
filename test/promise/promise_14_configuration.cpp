// Promise 14: an accepted configuration takes effect everywhere within seconds and never reverts.
#include <doctest/doctest.h>
#include <random>

#include "config/config_tracker.hpp"
#include "config/fake_store.hpp"
#include "config/merge.hpp"
#include "config/repository.hpp"
#include "config/sample.hpp"

using namespace dotterelstack;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t operators = 3;
constexpr std::size_t processes = 5;
constexpr std::size_t rows = 4;

enum class action {
    export_files,
    apply_files,
    send_read,
    deliver_read,
    ask_peer,
    restart,
    stale_read
};

/** One event of a history; the same history drives the naive way and this module. */
struct step {
    action kind;
    std::size_t who;   /**< Operator or process. */
    std::size_t other; /**< Row of an edit, peer of a question, or age of a stale read. */
    std::uint64_t value;
};

std::vector<step> make_history(unsigned int seed, bool with_stale_reads) {
    std::mt19937 random{seed};
    const auto pick = [&random](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    std::vector<step> out;
    for (std::size_t it = 0; it < 250; ++it) {
        const auto kind = static_cast<action>(pick(with_stale_reads ? 7 : 6));
        const bool by_operator = kind == action::export_files || kind == action::apply_files;
        out.push_back({kind, pick(by_operator ? operators : processes), pick(processes), 100 + it});
    }
    return out;
}

config::row_name row_of(std::size_t n) {
    return {n % 2 == 0 ? "north" : "south", n / 2 % 2 == 0 ? "drafting" : "booking"};
}

/** What went wrong in one run. */
struct faults {
    int lost_edits{0};  /**< Accepted edits that are not in force at the end. */
    int reverts{0};     /**< Times that a process went back to an older configuration. */
    int wrong_ages{0};  /**< Times that a configuration was older than its reported age. */
    int differences{0}; /**< Processes that differ from the store at the end. */
};

/** Rows as last accepted. */
using accepted_rows = std::map<config::row_name, std::uint64_t>;

int count_lost(const accepted_rows &accepted, const config::declarations &final) {
    int out = 0;
    for (const auto &[name, value] : accepted) {
        out += final.rows.at(name).concurrency == value ? 0 : 1;
    }
    return out;
}

/** Operators write all files over whatever is there; processes adopt whatever they read last. */
faults run_naive(const std::vector<step> &history) {
    faults out;
    std::vector<config::declarations> versions{test::sample_declarations()};
    std::vector<config::declarations> files(operators, versions.front());
    std::vector<std::size_t> in_force(processes, 0);
    std::vector<std::optional<std::size_t>> on_the_way(processes);
    accepted_rows accepted;
    const auto adopt = [&](std::size_t who, std::size_t version) {
        out.reverts += version < in_force[who] ? 1 : 0;
        in_force[who] = version;
    };
    for (const auto &it : history) {
        switch (it.kind) {
        case action::export_files:
            files[it.who] = versions.back();
            break;
        case action::apply_files:
            files[it.who].rows[row_of(it.other)].concurrency = it.value;
            versions.push_back(files[it.who]);
            accepted[row_of(it.other)] = it.value;
            break;
        case action::send_read:
            on_the_way[it.who] = versions.size() - 1;
            break;
        case action::deliver_read:
            if (const auto version = std::exchange(on_the_way[it.who], std::nullopt)) {
                adopt(it.who, *version);
            }
            break;
        case action::ask_peer:
            adopt(it.who, in_force[it.other]);
            break;
        case action::restart:
            in_force[it.who] = 0;
            break;
        case action::stale_read:
            adopt(it.who, versions.size() - 1 - std::min(it.other, versions.size() - 1));
            break;
        }
    }
    out.lost_edits = count_lost(accepted, versions.back());
    return out;
}

/** A process that adopts through the tracker, and the read that is on its way to it. */
struct process {
    explicit process(const base::clock &clock) : tracker{std::make_unique<config::config_tracker>(clock)} {}

    std::unique_ptr<config::config_tracker> tracker;
    std::optional<std::pair<std::string, base::instant>> on_the_way;
    std::uint64_t highest{0};
};

/** The module under the same history; time passes by 100 ms per step. */
class module_run {
public:
    module_run() : files_(operators) {
        for (std::size_t it = 0; it < processes; ++it) {
            processes_.emplace_back(clock_);
        }
        const auto first = repository().commit("start", [](const config::config_state &current) {
            return base::result<std::vector<config::item_change>>{
                test::make_change(0, current.values(), test::sample_declarations()).items};
        });
        REQUIRE(first);
        committed_.emplace_back(clock_.now(), first.value().state->version());
        for (std::size_t it = 0; it < operators; ++it) {
            export_files(it);
        }
    }

    faults run(const std::vector<step> &history, bool check_ages) {
        for (const auto &it : history) {
            clock_.advance(100ms);
            play(it);
            check(check_ages);
        }
        // The faults end here: one undisturbed read is all that a process needs.
        for (auto &it : processes_) {
            read(it, head(), clock_.now());
            out_.differences += it.tracker->current()->values() == present()->values() ? 0 : 1;
        }
        out_.lost_edits = count_lost(accepted_, present()->values());
        return out_;
    }

    int conflicts{0};

private:
    struct operator_files {
        config::declarations values;
        config::merge_base base;
    };

    config::repository repository() {
        return {store_, ids_, {.sleep = [](base::duration) {}, .time = [] { return std::string{"12:00"}; }}};
    }

    config::state_ptr present() { return repository().read().value(); }

    std::string head(std::size_t age = 0) {
        const auto all = store_.history(config::head_key);
        return all[all.size() - 1 - std::min(age, all.size() - 1)].value;
    }

    void export_files(std::size_t who) {
        const auto state = present();
        files_[who] = {state->values(), config::make_base(*state)};
    }

    void apply_files(const step &it) {
        auto &mine = files_[it.who];
        mine.values.rows[row_of(it.other)].concurrency = it.value;
        store_.lose_put_answers = it.value % 3 == 0 ? 1 : 0;
        store_.stale_gets = it.value % 5 == 0 ? 1 : 0;
        const auto done = repository().commit(
            "operator", [&mine](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
                auto merged = config::merge(mine.values, mine.base, current);
                if (!merged.conflicts.empty()) {
                    return boost::outcome_v2::failure(config::describe(merged.conflicts));
                }
                return std::move(merged.changes);
            });
        store_.lose_put_answers = 0;
        store_.stale_gets = 0;
        if (done) {
            accepted_[row_of(it.other)] = it.value;
            committed_.emplace_back(clock_.now(), done.value().state->version());
            mine.base = config::advance_base(mine.base, mine.values, *done.value().state);
        } else {
            CHECK(done.error().kind == base::error_kind::conflict);
            ++conflicts;
            export_files(it.who);
        }
    }

    void read(process &it, const std::string &text, base::instant started) {
        for (const auto &made : it.tracker->on_head(text, started)) {
            if (const auto *wanted = std::get_if<config::fetch_snapshot>(&made)) {
                std::vector<std::string> parts;
                for (std::uint64_t n = 0; n < wanted->parts; ++n) {
                    parts.push_back(store_.get(config::snapshot_key(wanted->version, n)).value()->value);
                }
                (void)it.tracker->on_snapshot(wanted->version, parts);
            }
        }
    }

    void play(const step &it) {
        auto &process = processes_[it.who];
        switch (it.kind) {
        case action::export_files:
            export_files(it.who);
            break;
        case action::apply_files:
            apply_files(it);
            break;
        case action::send_read:
            process.on_the_way.emplace(head(), clock_.now());
            break;
        case action::deliver_read:
            if (const auto answer = std::exchange(process.on_the_way, std::nullopt)) {
                read(process, answer->first, answer->second);
            }
            break;
        case action::ask_peer: {
            const auto &mine = process.tracker->current();
            const auto since = mine ? std::optional{mine->version()} : std::nullopt;
            (void)process.tracker->on_peer(processes_[it.other].tracker->answer_peer(since), clock_.now());
            break;
        }
        case action::restart:
            process = ::process{clock_};
            break;
        case action::stale_read:
            read(process, head(it.other), clock_.now());
            break;
        }
    }

    void check(bool check_ages) {
        for (auto &it : processes_) {
            if (!it.tracker->current()) {
                continue;
            }
            const auto version = it.tracker->current()->version();
            out_.reverts += version < it.highest ? 1 : 0;
            it.highest = version;
            if (const auto age = it.tracker->age(); age && check_ages) {
                for (const auto &[when, committed] : committed_) {
                    out_.wrong_ages += when < clock_.now() - *age && committed > version ? 1 : 0;
                }
            }
        }
    }

    base::manual_clock clock_;
    base::id_source ids_{3};
    test::fake_store store_;
    std::vector<operator_files> files_;
    std::vector<process> processes_;
    std::vector<std::pair<base::instant, std::uint64_t>> committed_;
    accepted_rows accepted_;
    faults out_;
};

constexpr unsigned int seeds = 25;

} // namespace

// Guards against a history that is too tame: the naive way must lose accepted edits and revert under it.
TEST_CASE("last writer wins and newest read wins break the promise") {
    faults sum;
    for (unsigned int seed = 1; seed <= seeds; ++seed) {
        const auto got = run_naive(make_history(seed, true));
        sum.lost_edits += got.lost_edits;
        sum.reverts += got.reverts;
    }
    MESSAGE("naive: lost edits ", sum.lost_edits, ", reverts ", sum.reverts);
    CHECK(sum.lost_edits > 0);
    CHECK(sum.reverts > 0);
}

// Guards against lost edits, reverts and processes that stay behind, with stale reads, restarts and lost responses.
TEST_CASE("accepted changes stay, reach every process and never revert") {
    int conflicts = 0;
    for (unsigned int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        module_run run;
        const auto got = run.run(make_history(seed, true), false);
        CHECK(got.lost_edits == 0);
        CHECK(got.reverts == 0);
        CHECK(got.differences == 0);
        conflicts += run.conflicts;
    }
    MESSAGE("module: conflicts reported ", conflicts);
    CHECK(conflicts > 0);
}

// Guards against an age that hides that a newer configuration was committed, with late reads, peers and restarts.
TEST_CASE("the reported age is never too low") {
    for (unsigned int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        module_run run;
        CHECK(run.run(make_history(seed, false), true).wrong_ages == 0);
    }
}
