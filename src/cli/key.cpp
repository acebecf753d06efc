#include <array>
#include <openssl/rand.h>
#include <ostream>

#include "cli/command.hpp"
#include "cli/fleet.hpp"
#include "config/item.hpp"
#include "config/key_text.hpp"

namespace dotterelstack::cli::internal {

namespace {

constexpr int default_wait_seconds = 10;
constexpr auto poll_interval = std::chrono::milliseconds{200};

void declare_key(cxxopts::Options &options) {
    declare_author(options);
    declare_entries(options);
    options.add_options()("id", "id of the new key (default: random)", cxxopts::value<std::string>())(
        "wait", "seconds to wait until all entries confirm a withdrawal",
        cxxopts::value<int>()->default_value(std::to_string(default_wait_seconds)))(
        "no-confirm", "withdraw without asking the entries");
}

base::result<std::string> random_secret() {
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, 32> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return base::fail(base::error_kind::internal, "no_randomness",
                          "the random number generator of the system failed; nothing was changed, try again");
    }
    std::string out;
    for (const auto it : bytes) {
        out.push_back(digits[it >> 4U]);
        out.push_back(digits[it & 15U]);
    }
    return out;
}

/** @return Builder of the change that adds or replaces one key; the change is empty if the key is already as given. */
config::change_builder build_key_change(const config::key &value) {
    return [value](const config::config_state &current) -> base::result<std::vector<config::item_change>> {
        const auto item = config::item_name(value);
        auto before = config::find_item(current.values(), item);
        nlohmann::json after = value;
        if (before == after) {
            return std::vector<config::item_change>{};
        }
        return std::vector<config::item_change>{{item, std::move(before), std::move(after)}};
    };
}

base::result<exit_code> create(command_context &context, const std::string &organisation) {
    BOOST_OUTCOME_TRY(author, author_of(context));
    BOOST_OUTCOME_TRY(secret, random_secret());
    const auto text = std::string{config::key_prefix} + secret;
    const auto hash = base::sha256_hex(text);
    auto id = value_of(context, "id");
    if (id.empty()) {
        id = organisation + "-" + hash.substr(0, 8);
    }
    BOOST_OUTCOME_TRY(current, context.declarations.read());
    if (!current->values().organisations.contains(organisation)) {
        return base::fail(base::error_kind::invalid_argument, "no_organisation",
                          "organisation " + organisation + " is not declared; nothing was changed, declare it first");
    }
    const auto build = [&](const config::config_state &state) -> base::result<std::vector<config::item_change>> {
        if (const auto it = state.values().keys.find(id); it != state.values().keys.end()) {
            return base::fail(base::error_kind::conflict, "key_exists",
                              "key " + id + " exists already; nothing was changed, choose another id");
        }
        return build_key_change({id, organisation, hash, false})(state);
    };
    BOOST_OUTCOME_TRY(committed, context.declarations.commit(author, build));
    context.env.out << "key id:  " << id << "\nsha256:  " << hash << "\nkey:     " << text
                    << "\nThe key is shown only now. It is in force with configuration version "
                    << committed.state->version() << ".\n";
    return exit_code::success;
}

bool has_confirmed(const entry_view &it, const std::string &id, std::uint64_t version) {
    return it.status && (it.status.value().config_version >= version || it.status.value().withdrawn_keys.contains(id));
}

/** Polls all entries until each has confirmed the withdrawal or `--wait` has passed; prints the result. */
exit_code await_confirmation(command_context &context, const std::string &id, std::uint64_t version) {
    const auto deadline = context.env.clock.now() + std::chrono::seconds{context.options["wait"].as<int>()};
    for (;;) {
        const auto fleet = read_fleet(context);
        std::vector<const entry_view *> unconfirmed;
        for (const auto &it : fleet.entries) {
            if (!has_confirmed(it, id, version)) {
                unconfirmed.push_back(&it);
            }
        }
        if (unconfirmed.empty() && !fleet.host_list_error && !fleet.entries.empty()) {
            context.env.out << "in force at all " << fleet.entries.size() << " entries\n";
            return exit_code::success;
        }
        if (context.env.clock.now() < deadline) {
            context.env.sleep(poll_interval);
            continue;
        }
        for (const auto *it : unconfirmed) {
            context.env.out << "not confirmed: " << it->name << " (" << it->address << "): "
                            << (it->status ? "has version " + std::to_string(it->status.value().config_version)
                                           : it->status.error().message)
                            << '\n';
        }
        if (fleet.host_list_error) {
            context.env.out << "the list of entries may be incomplete: " << fleet.host_list_error->message << '\n';
        } else if (fleet.entries.empty()) {
            context.env.out << "the host list names no entry; check the platform address\n";
        }
        context.env.out
            << "An entry that cannot be reached refuses requests 5 s after its isolation; ask again with `key "
               "withdraw "
            << id << "`.\n";
        return exit_code::failure;
    }
}

base::result<exit_code> withdraw(command_context &context, const std::string &id) {
    BOOST_OUTCOME_TRY(author, author_of(context));
    const bool wait_for_entries = context.options.count("no-confirm") == 0;
    if (wait_for_entries && !context.endpoints.platform && values_of(context, "entries").empty()) {
        return boost::outcome_v2::failure(
            usage_error("name the platform with --platform so that entries can confirm, or pass --no-confirm"));
    }
    const auto build = [&id](const config::config_state &state) -> base::result<std::vector<config::item_change>> {
        const auto it = state.values().keys.find(id);
        if (it == state.values().keys.end()) {
            return base::fail(base::error_kind::invalid_argument, "no_key",
                              "key " + id + " does not exist; `get` lists the keys");
        }
        auto value = it->second;
        value.withdrawn = true;
        return build_key_change(value)(state);
    };
    BOOST_OUTCOME_TRY(committed, context.declarations.commit(author, build));
    const auto *origin = committed.state->origin_of("key/" + id);
    const auto version = origin == nullptr ? committed.state->version() : origin->version;
    context.env.out << "key " << id << " is withdrawn with configuration version " << version << '\n';
    return wait_for_entries ? await_confirmation(context, id, version) : exit_code::success;
}

base::result<exit_code> run_key(command_context &context) {
    const auto arguments = positional(context);
    if (arguments.size() == 2 && arguments[0] == "create") {
        return create(context, arguments[1]);
    }
    if (arguments.size() == 2 && arguments[0] == "withdraw") {
        return withdraw(context, arguments[1]);
    }
    return boost::outcome_v2::failure(usage_error("expected `key create ORGANISATION` or `key withdraw ID`"));
}

} // namespace

const command key_command{"key",   "create or withdraw a key", "create ORGANISATION | withdraw ID", true, &declare_key,
                          &run_key};

} // namespace dotterelstack::cli::internal
