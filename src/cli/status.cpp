#include <ostream>

#include "cli/command.hpp"
#include "cli/fleet.hpp"
#include "config/item.hpp"

namespace dotterelstack::cli::internal {

namespace {

void declare_status(cxxopts::Options &options) {
    declare_entries(options);
}

void print_entry(std::ostream &out, const entry_view &it, std::uint64_t version) {
    out << "entry " << it.name << ' ' << it.address;
    if (!it.status) {
        out << " no answer: " << it.status.error().message << '\n';
        return;
    }
    const auto &status = it.status.value();
    out << ' ' << status.failure_domain << " version " << status.config_version;
    if (status.config_version < version) {
        out << " (behind " << version << ')';
    }
    out << " age " << (status.config_age_ms ? std::to_string(*status.config_age_ms) + " ms" : "unknown") << '\n';
}

void print_plan(std::ostream &out, const config::planned_change &it) {
    out << "planned " << it.id << ' ' << config::to_text(it.kind) << ' '
        << (it.host.empty() ? it.backend : "host " + it.host) << ' ' << it.failure_domain
        << (it.argument.empty() ? "" : " role " + it.argument) << ' ' << config::to_text(it.state) << " by "
        << it.requested_by << (it.progress.empty() ? "" : ": " + it.progress) << '\n';
}

void print_backend(std::ostream &out, const config::backend_snapshot &it) {
    out << "backend " << it.name << ' ' << it.service << ' ' << it.failure_domain;
    if (it.total_blocks > 0) {
        out << " blocks " << it.used_blocks << '/' << it.total_blocks;
    }
    out << (it.draining ? " draining" : "") << '\n';
}

base::result<exit_code> run_status(command_context &context) {
    auto &out = context.env.out;
    const auto current = context.declarations.read();
    const auto fleet = read_fleet(context);
    if (current) {
        out << "configuration version " << current.value()->version() << '\n';
    } else {
        out << "the store does not answer: " << current.error().message << '\n';
    }
    bool complete = current && !fleet.host_list_error;
    for (const auto &it : fleet.entries) {
        print_entry(out, it, current ? current.value()->version() : 0);
        complete = complete && it.status;
    }
    if (fleet.host_list_error) {
        out << "the list of entries may be incomplete: " << fleet.host_list_error->message << '\n';
    }
    if (const auto facts = fleet.facts()) {
        for (const auto &it : facts->backends) {
            print_backend(out, it);
        }
    }
    if (current) {
        for (const auto &it : current.value()->values().planned) {
            print_plan(out, it.second);
        }
    }
    return complete ? exit_code::success : exit_code::failure;
}

} // namespace

const command status_command{"status",   "show entries, backend servers and planned changes", "", true, &declare_status,
                             &run_status};

} // namespace dotterelstack::cli::internal
