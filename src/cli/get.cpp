#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/command.hpp"
#include "cli/print.hpp"
#include "config/item.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_get(cxxopts::Options &options) {
    options.add_options()("history", "show the changes that the log still lists, of the item if one is named")(
        "object", "show a stored object by its key", cxxopts::value<std::string>());
}

base::result<exit_code> show_object(command_context &context, const std::string &key) {
    BOOST_OUTCOME_TRY(object, context.env.objects.get(key));
    if (!object) {
        return base::fail(base::error_kind::not_found, "no_object", key + " does not exist; check the key");
    }
    context.env.out << "version " << object->version << '\n' << object->value << '\n';
    return exit_code::success;
}

base::result<exit_code> show_history(command_context &context, const std::vector<std::string> &names) {
    BOOST_OUTCOME_TRY(changes, context.declarations.history());
    for (const auto &it : changes) {
        std::vector<config::item_change> items;
        std::copy_if(it.items.begin(), it.items.end(), std::back_inserter(items), [&names](const auto &item) {
            return names.empty() || std::find(names.begin(), names.end(), item.item) != names.end();
        });
        if (!items.empty()) {
            context.env.out << "version " << it.version << " change " << it.id << " by " << it.author << " at "
                            << it.time << '\n';
            print_changes(context.env.out, items);
        }
    }
    return exit_code::success;
}

base::result<exit_code> show_item(command_context &context, const config::config_state &current,
                                  const std::string &name) {
    const auto value = config::find_item(current.values(), name);
    const auto *origin = current.origin_of(name);
    if (value.is_null()) {
        return base::fail(base::error_kind::not_found, "no_item",
                          name + " is not declared" +
                              (origin == nullptr ? std::string{}
                                                 : "; removed by " + origin->author + " in version " +
                                                       std::to_string(origin->version)) +
                              "; `get` without a name lists the items");
    }
    context.env.out << value.dump(2) << '\n';
    if (origin != nullptr) {
        context.env.out << "last changed by " << origin->author << " at " << origin->time << " in version "
                        << origin->version << '\n';
    }
    return exit_code::success;
}

base::result<exit_code> run_get(command_context &context) {
    if (const auto key = value_of(context, "object"); !key.empty()) {
        return show_object(context, key);
    }
    const auto names = positional(context);
    if (context.options.count("history") > 0) {
        return show_history(context, names);
    }
    BOOST_OUTCOME_TRY(current, context.declarations.read());
    if (names.empty()) {
        for (const auto &it : config::to_items(current->values())) {
            context.env.out << it.first << '\n';
        }
        context.env.out << "version " << current->version() << '\n';
    }
    for (const auto &it : names) {
        BOOST_OUTCOME_TRYV(show_item(context, *current, it));
    }
    return exit_code::success;
}

} // namespace

const command get_command{
    "get", "show declared items, their history or a stored object", "[ITEM...]", true, &declare_get, &run_get};

} // namespace dotterelstack::cli::internal
