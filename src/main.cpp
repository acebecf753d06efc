#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agent/agent_daemon.hpp"
#include "agent/order_desk.hpp"
#include "base/clock.hpp"
#include "base/id.hpp"
#include "cli/run.hpp"
#include "entry/entry_daemon.hpp"
#include "http/client.hpp"
#include "log/background_writer.hpp"
#include "log/event.hpp"
#include "settings/agent_settings.hpp"
#include "settings/entry_settings.hpp"
#include "store/http_store.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_client.hpp"

using namespace dotterelstack;

namespace {

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

/** Blocks the stop signals in all threads, so that `wait_for_stop` receives them. */
void block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void wait_for_stop() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

int report(const base::error &ec) {
    std::cerr << ec.code << ": " << ec.message << std::endl;
    return ec.kind == base::error_kind::invalid_argument ? exit_usage : exit_failure;
}

int run_entry(const std::string &file, const std::vector<std::string> &overrides) {
    const auto values = settings::load_entry_settings(file, overrides);
    if (!values) {
        return report(values.error());
    }
    base::boottime_clock clock;
    base::id_source ids;
    http::curl_client client;
    store::http_store_options options;
    options.timeout = values.value().timings.store_timeout;
    store::http_store store{client, values.value().store, options};
    dotterelstack::entry::entry_daemon daemon{values.value(), clock, ids, client, store};
    const auto addresses = daemon.start();
    if (!addresses) {
        return report(addresses.error());
    }
    std::cout << "listening callers " << addresses.value().callers << "\nlistening peers " << addresses.value().peers
              << std::endl;
    log::write("process_started", {{"role", "entry"}, {"name", values.value().name}});
    wait_for_stop();
    log::write("process_stopping", {{"role", "entry"}});
    daemon.drain_and_stop();
    log::write("process_stopped", {{"role", "entry"}});
    return exit_success;
}

agent::agent_options to_options(const settings::agent_settings &values) {
    agent::agent_options out;
    out.host = values.host;
    out.failure_domain = values.failure_domain;
    out.listen = values.listen;
    out.load_poll = values.timings.load_interval;
    out.request_memory = values.timings.cancel_memory;
    out.engine_idle_timeout = values.timings.backend_idle;
    for (const auto &it : values.backends) {
        const auto kind =
            it.kind == settings::backend_kind::model ? agent::backend_kind::model : agent::backend_kind::plain;
        out.backends.push_back({it.name, it.service, kind, it.address, it.models, it.honours_fence});
    }
    return out;
}

int run_agent(const std::string &file, const std::vector<std::string> &overrides) {
    const auto values = settings::load_agent_settings(file, overrides);
    if (!values) {
        return report(values.error());
    }
    base::boottime_clock clock;
    base::id_source ids;
    http::curl_client client;
    store::http_store_options limits;
    limits.timeout = values.value().timings.store_timeout;
    store::http_store store{client, values.value().store, limits};
    const auto options = to_options(values.value());
    agent::order_desk orders{options, clock, store, client};
    agent::agent_daemon daemon{options, clock, ids.next(), client, orders};
    const auto address = daemon.start();
    if (!address) {
        return report(address.error());
    }
    std::cout << "listening agent " << address.value() << std::endl;
    log::write("process_started", {{"role", "agent"}, {"host", values.value().host}});
    wait_for_stop();
    log::write("process_stopping", {{"role", "agent"}});
    daemon.drain_and_stop();
    log::write("process_stopped", {{"role", "agent"}});
    return exit_success;
}

int run_role(const std::string &role, int argc, char **argv) {
    cxxopts::Options options{"dotterelstack " + role, "Runs one " + role + " process"};
    auto add = options.add_options();
    add("settings", "settings file, JSON with comments", cxxopts::value<std::string>());
    add("set", "overrides one field, name=value; repeatable",
        cxxopts::value<std::vector<std::string>>()->default_value({}));
    add("help", "shows this text");
    const auto args = options.parse(argc, argv);
    if (args.count("help") != 0) {
        std::cout << options.help() << std::endl;
        return exit_success;
    }
    if (args.count("settings") == 0) {
        std::cerr << "name the settings file with --settings FILE\n" << options.help() << std::endl;
        return exit_usage;
    }
    const auto overrides =
        args.count("set") == 0 ? std::vector<std::string>{} : args["set"].as<std::vector<std::string>>();
    const auto file = args["settings"].as<std::string>();
    return role == "entry" ? run_entry(file, overrides) : run_agent(file, overrides);
}

/** Reads the status of entries over their peers listener. */
class h2_status_source final : public cli::entry_status_source {
public:
    [[nodiscard]] base::result<std::string> read(std::string_view address) override {
        constexpr auto status_timeout = std::chrono::seconds{2};
        BOOST_OUTCOME_TRY(answer, client_.call(address, {"GET", "/status", {}, ""}, status_timeout));
        return std::move(answer.body);
    }

private:
    base::boottime_clock clock_;
    transport::event_loop loop_;
    transport::h2_client client_{loop_, clock_};
};

int run_operator_command(std::span<const std::string_view> arguments) {
    http::curl_client client;
    // Commands that need no store never call it, so an address that was not given is no error here.
    store::http_store objects{client, cli::find_addresses(arguments).store.value_or("")};
    h2_status_source statuses;
    return cli::run(arguments, objects, client, statuses, std::cout, std::cerr);
}

bool is_operator_command(std::string_view name) {
    return std::ranges::find(cli::command_names(), name) != cli::command_names().end();
}

void print_usage(std::ostream &out) {
    out << "usage: dotterelstack COMMAND [OPTIONS]\n\n"
           "  entry --settings FILE    runs an entry\n"
           "  agent --settings FILE    runs the agent of a backend server host\n"
           "operator commands, each with --help:\n ";
    for (const auto it : cli::command_names()) {
        out << ' ' << it;
    }
    out << "\n\nexit codes: 0 success, 1 failure, 2 usage or settings error, 3 conflict or refused risk\n";
}

} // namespace

int main(int argc, char **argv) {
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "--version") {
        std::cout << "dotterelstack " << DOTTERELSTACK_VERSION << std::endl;
        return exit_success;
    }
    if (command == "--help") {
        print_usage(std::cout);
        return exit_success;
    }
    try {
        if (command == "entry" || command == "agent") {
            log::start(argv[0]);
            block_stop_signals();
            const log::background_writer writer;
            return run_role(std::string{command}, argc - 1, argv + 1);
        }
        if (is_operator_command(command)) {
            const std::vector<std::string_view> arguments{argv + 1, argv + argc};
            return run_operator_command(arguments);
        }
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << ex.what() << std::endl;
        return exit_usage;
    } catch (const std::exception &ex) {
        std::cerr << "internal: " << ex.what() << std::endl;
        return exit_failure;
    }
    print_usage(std::cerr);
    return exit_usage;
}
