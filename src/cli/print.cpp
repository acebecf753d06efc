#include "cli/print.hpp"

#include <nlohmann/json.hpp>
#include <ostream>

namespace dotterelstack::cli::internal {

void print_changes(std::ostream &out, const std::vector<config::item_change> &changes) {
    for (const auto &it : changes) {
        if (it.before.is_null()) {
            out << "+ " << it.item << ' ' << it.after.dump() << '\n';
        } else if (it.after.is_null()) {
            out << "- " << it.item << ' ' << it.before.dump() << '\n';
        } else {
            out << "~ " << it.item;
            for (const auto &[name, value] : it.after.items()) {
                if (const auto &old = it.before.at(name); old != value) {
                    out << ' ' << name << ": " << old.dump() << " -> " << value.dump();
                }
            }
            out << '\n';
        }
    }
}

void print_risks(std::ostream &out, const std::vector<config::risk> &risks) {
    for (const auto &it : risks) {
        out << "! " << it.name << ": " << it.subject << ": " << it.detail << "; " << it.remedy << '\n';
    }
}

} // namespace dotterelstack::cli::internal
