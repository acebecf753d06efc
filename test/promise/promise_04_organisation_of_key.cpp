// Promise 4: except on public routes, a request runs only on behalf of the organisation whose key it carries.
#include <doctest/doctest.h>
#include <random>

#include "config/config_tracker.hpp"
#include "config/fake_store.hpp"
#include "config/repository.hpp"
#include "config/sample.hpp"

using namespace dotterelstack;

namespace {

constexpr std::size_t organisations = 4;
constexpr std::size_t key_texts = 12;

enum class wish {
    create,
    withdraw,
    reactivate,
    move,
    remove
};

/** What an operator wishes for the key with one id. */
struct step {
    wish kind;
    std::string id;
    std::string organisation;
    std::string text;
};

std::string organisation_name(std::size_t n) {
    return "org" + std::to_string(n);
}

std::vector<step> make_history(unsigned int seed) {
    std::mt19937 random{seed};
    const auto pick = [&random](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    std::vector<step> out;
    for (int it = 0; it < 60; ++it) {
        // Half of the wishes are creations, some of them with the text of an existing key.
        const auto kind = pick(2) == 0 ? wish::create : static_cast<wish>(1 + pick(4));
        out.push_back({kind, "key" + std::to_string(pick(10)), organisation_name(pick(organisations)),
                       "dsk_" + std::to_string(pick(key_texts))});
    }
    return out;
}

/** The reference: a list of all keys ever created, searched from the start. */
class reference {
public:
    /** @return False if the wish must be refused. */
    bool play(const step &it) {
        auto *known = find_id(it.id);
        if (it.kind == wish::create) {
            if (known != nullptr || find_text(it.text) != nullptr) {
                return false;
            }
            keys_.push_back({it.id, it.organisation, it.text, false});
            return true;
        }
        if (known == nullptr) {
            return false;
        }
        if (it.kind == wish::withdraw) {
            known->withdrawn = true;
            return true;
        }
        // Putting a valid key to the same organisation or state changes nothing and is allowed.
        return (it.kind == wish::reactivate && !known->withdrawn) ||
               (it.kind == wish::move && known->organisation == it.organisation);
    }

    std::optional<std::string> organisation_of(const std::string &text) {
        const auto *it = find_text(text);
        return it == nullptr || it->withdrawn ? std::nullopt : std::optional{it->organisation};
    }

private:
    struct entry {
        std::string id;
        std::string organisation;
        std::string text;
        bool withdrawn;
    };

    entry *find_id(const std::string &id) {
        const auto it = std::find_if(keys_.begin(), keys_.end(), [&id](const auto &key) { return key.id == id; });
        return it == keys_.end() ? nullptr : &*it;
    }

    entry *find_text(const std::string &text) {
        const auto it = std::find_if(keys_.begin(), keys_.end(), [&text](const auto &key) { return key.text == text; });
        return it == keys_.end() ? nullptr : &*it;
    }

    std::vector<entry> keys_;
};

/** The naive table: every wish is written over what is there. */
class naive_table {
public:
    void play(const step &it) {
        if (it.kind == wish::create || it.kind == wish::move) {
            auto &text = texts_[it.id];
            text = it.kind == wish::create ? it.text : text;
            table_[text] = it.organisation;
        } else if (it.kind == wish::reactivate) {
            table_[texts_[it.id]] = it.organisation;
        } else {
            table_.erase(texts_[it.id]);
        }
    }

    [[nodiscard]] std::optional<std::string> organisation_of(const std::string &text) const {
        const auto it = table_.find(text);
        return it == table_.end() ? std::nullopt : std::optional{it->second};
    }

private:
    std::map<std::string, std::string> texts_;
    std::map<std::string, std::string> table_;
};

/** The declarations that the wish asks for. */
config::declarations wanted(const config::declarations &current, const step &it) {
    auto out = current;
    const auto known = out.keys.find(it.id);
    if (it.kind == wish::create) {
        out.keys[it.id] = {it.id, it.organisation, base::sha256_hex(it.text), false};
    } else if (known != out.keys.end() && it.kind == wish::remove) {
        out.keys.erase(known);
    } else if (known != out.keys.end() && it.kind == wish::move) {
        known->second.organisation = it.organisation;
    } else if (known != out.keys.end()) {
        known->second.withdrawn = it.kind == wish::withdraw;
    }
    return out;
}

std::optional<std::string> organisation_of(const config::config_state &state, const std::string &text) {
    const auto *it = state.find_active_key(base::sha256_hex(text));
    return it == nullptr ? std::nullopt : std::optional{it->organisation};
}

/** Commits wishes and follows the store as a process does. */
struct module_table {
    test::fake_store store;
    base::id_source ids{5};
    base::manual_clock clock;
    config::repository repository{
        store, ids, {.sleep = [](base::duration) {}, .time = [] { return std::string{"12:00"}; }}};
    config::config_tracker tracker{clock};
    config::config_tracker follower{clock}; /**< Knows only what `tracker` answers as a peer. */

    module_table() {
        REQUIRE(repository.commit("start", [](const config::config_state &current) {
            config::declarations first;
            for (std::size_t it = 0; it < organisations; ++it) {
                first.organisations[organisation_name(it)] = {organisation_name(it), ""};
            }
            return base::result<std::vector<config::item_change>>{test::make_change(0, current.values(), first).items};
        }));
    }

    bool play(const step &it) {
        const auto done = repository.commit(
            "operator", [&it](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
                const bool exists = current.values().keys.contains(it.id);
                if (exists == (it.kind == wish::create)) {
                    return base::fail(base::error_kind::invalid_argument, "refused", "the id is taken or unknown");
                }
                return test::make_change(0, current.values(), wanted(current.values(), it)).items;
            });
        const auto head = store.get(config::head_key);
        (void)tracker.on_head(head.value()->value, clock.now());
        const auto since = follower.current() ? std::optional{follower.current()->version()} : std::nullopt;
        (void)follower.on_peer(tracker.answer_peer(since), clock.now());
        return done.has_value();
    }
};

constexpr unsigned int seeds = 40;

} // namespace

// Guards against histories that are too tame: the naive table must give a key to the wrong organisation under them.
TEST_CASE("a table that writes over what is there confuses organisations") {
    int wrong = 0;
    for (unsigned int seed = 1; seed <= seeds; ++seed) {
        reference expected;
        naive_table naive;
        for (const auto &it : make_history(seed)) {
            (void)expected.play(it);
            naive.play(it);
            for (std::size_t n = 0; n < key_texts; ++n) {
                const auto text = "dsk_" + std::to_string(n);
                const auto got = naive.organisation_of(text);
                wrong += got && got != expected.organisation_of(text) ? 1 : 0;
            }
        }
    }
    MESSAGE("naive: lookups of a wrong or withdrawn organisation ", wrong);
    CHECK(wrong > 0);
}

// Guards against a key that runs requests for another organisation, or that works after its withdrawal.
TEST_CASE("every lookup agrees with the reference after every step") {
    for (unsigned int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        reference expected;
        module_table module;
        for (const auto &it : make_history(seed)) {
            CHECK(module.play(it) == expected.play(it));
            for (std::size_t n = 0; n < key_texts; ++n) {
                const auto text = "dsk_" + std::to_string(n);
                CHECK(organisation_of(*module.tracker.current(), text) == expected.organisation_of(text));
                CHECK(organisation_of(*module.follower.current(), text) == expected.organisation_of(text));
                CHECK(module.tracker.current()->find_active_key(text) == nullptr);
            }
        }
    }
}
