#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "agent/agent_daemon.hpp"
#include "agent/order_dispatcher.hpp"
#include "base/clock.hpp"
#include "base/descriptors.hpp"
#include "base/heap.hpp"
#include "base/id.hpp"
#include "cli/run.hpp"
#include "entry/entry_daemon.hpp"
#include "gateway/gateway_daemon.hpp"
#include "http/client.hpp"
#include "log/background_writer.hpp"
#include "log/event.hpp"
#include "log/failure_report.hpp"
#include "net/listener.hpp"
#include "platform/http_duties.hpp"
#include "platform/http_protocol.hpp"
#include "platform/object_codec.hpp"
#include "platform/object_store.hpp"
#include "settings/agent_settings.hpp"
#include "settings/entry_settings.hpp"
#include "settings/gateway_settings.hpp"
#include "store/http_store.hpp"
#include "transport/event_loop.hpp"
#include "transport/h2_client.hpp"

using namespace dotterelstack;

namespace {

constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

[[gnu::no_sanitize_address, gnu::no_sanitize_thread]] sigset_t handled_signals() {
    sigset_t out;
    sigemptyset(&out);
    sigaddset(&out, SIGTERM);
    sigaddset(&out, SIGINT);
    sigaddset(&out, SIGHUP);
    return out;
}

/** Signal mask that the process was started with. */
sigset_t initial_mask;

/** Blocks the handled signals in this thread and those it starts later, so that `wait_for_stop` receives them. */
[[gnu::no_sanitize_address, gnu::no_sanitize_thread]] void block_handled_signals(int /*argc*/, char ** /*argv*/,
                                                                                 char ** /*environment*/) {
    const auto signals = handled_signals();
    sigprocmask(SIG_BLOCK, &signals, &initial_mask);
}

// Runs before the constructors of the libraries, in which a signal would end the process, and before sanitizers are
// ready. What comes earlier, while the libraries are loaded, can be blocked only by who starts the process.
[[gnu::section(".preinit_array"), gnu::used]] void (*const block_early)(int, char **, char **) = &block_handled_signals;

/**
 * Blocks until SIGTERM or SIGINT.
 * @param reload Called for each SIGHUP.
 */
template<typename Function>
void wait_for_stop(Function reload) {
    const auto signals = handled_signals();
    int received = 0;
    while (sigwait(&signals, &received) != 0 || received == SIGHUP) {
        reload();
    }
}

/** Entries and agents read their settings only at start-up. */
void ignore_reload() {}

int report_error(const base::error &ec) {
    std::cerr << ec.code << ": " << ec.message << std::endl;
    return ec.kind == base::error_kind::invalid_argument ? exit_usage : exit_failure;
}

/** @return Exit code of a process that could not start; a stop that was asked for in the meantime is no failure. */
int report_failed_start(const base::error &ec) {
    if (net::stop_pending()) {
        log::write("process_stopped", {{"reason", ec.code}});
        return exit_success;
    }
    return report_error(ec);
}

int run_entry(const std::string &file, const std::vector<std::string> &overrides) {
    const auto values = settings::load_entry_settings(file, overrides);
    if (!values) {
        return report_error(values.error());
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
        return report_failed_start(addresses.error());
    }
    std::cout << "listening callers " << addresses.value().callers << "\nlistening peers " << addresses.value().peers
              << std::endl;
    log::write("process_started", {{"role", "entry"}, {"name", values.value().name}});
    wait_for_stop(&ignore_reload);
    log::write("process_stopping", {{"role", "entry"}});
    daemon.drain_and_stop();
    log::write("process_stopped", {{"role", "entry"}});
    return exit_success;
}

int run_gateway(const std::string &file, const std::vector<std::string> &overrides) {
    const auto values = settings::load_gateway_settings(file, overrides);
    if (!values) {
        log::write("settings_invalid", {{"file", file}, {"reason", values.error().message}});
        return report_error(values.error());
    }
    const auto &process_settings = values.value();
    base::boottime_clock clock;
    base::id_source ids;
    http::curl_client client;
    platform::object_store store{
        client,
        process_settings.store,
        {process_settings.timings.store_connect_timeout, process_settings.timings.store_timeout}};
    const platform::http_protocol protocol;
    const platform::object_codec codec;
    platform::http_duties duties{client, process_settings.duties, process_settings.name,
                                 process_settings.timings.store_timeout};
    gateway::gateway_daemon daemon{
        process_settings,
        {clock, ids, client, store, protocol, codec, process_settings.duties.empty() ? nullptr : &duties}};
    const auto addresses = daemon.start();
    if (!addresses) {
        return report_failed_start(addresses.error());
    }
    std::cout << "listening callers " << addresses.value().callers << "\nlistening readiness "
              << addresses.value().readiness << "\nlistening peers " << addresses.value().peers
              << "\nlistening metrics " << addresses.value().metrics << std::endl;
    log::write("process_started", {{"role", "gateway"}, {"name", process_settings.name}});
    wait_for_stop([&] {
        const auto changed = settings::load_gateway_settings(file, overrides);
        if (changed) {
            daemon.reload(changed.value());
        } else {
            log::write("settings_reload_failed", {{"file", file}, {"reason", changed.error().message}});
        }
    });
    log::write("process_stopping", {{"role", "gateway"}});
    daemon.drain_and_stop();
    log::write("process_stopped", {{"role", "gateway"}});
    return exit_success;
}

agent::agent_options to_options(const settings::agent_settings &values) {
    agent::agent_options out;
    out.host = values.host;
    out.failure_domain = values.failure_domain;
    out.listen = values.listen;
    // A predecessor that is stopping has its address until then.
    constexpr auto predecessor_margin = std::chrono::seconds{1};
    out.drain_deadline = values.timings.drain_deadline;
    out.address_wait = out.drain_deadline + predecessor_margin;
    out.load_poll_interval = values.timings.load_interval;
    out.request_retention = values.timings.cancel_memory;
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
        return report_error(values.error());
    }
    base::boottime_clock clock;
    base::id_source ids;
    http::curl_client client;
    store::http_store_options store_options;
    store_options.timeout = values.value().timings.store_timeout;
    store::http_store store{client, values.value().store, store_options};
    const auto options = to_options(values.value());
    agent::order_dispatcher orders{options, clock, store, client};
    agent::agent_daemon daemon{options, clock, ids.next(), client, orders};
    const auto address = daemon.start();
    if (!address) {
        return report_failed_start(address.error());
    }
    std::cout << "listening agent " << address.value() << std::endl;
    log::write("process_started", {{"role", "agent"}, {"host", values.value().host}});
    wait_for_stop(&ignore_reload);
    log::write("process_stopping", {{"role", "agent"}});
    daemon.drain_and_stop();
    log::write("process_stopped", {{"role", "agent"}});
    return exit_success;
}

struct process_role {
    std::string_view name;
    int (*run)(const std::string &file, const std::vector<std::string> &overrides);
    log::destination logs;
};

constexpr auto roles = std::to_array<process_role>({
    {"entry", &run_entry, log::destination::standard_error},
    {"agent", &run_agent, log::destination::standard_error},
    {"gateway", &run_gateway, log::destination::standard_output},
});

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
    const char *variable = std::getenv("DOTTERELSTACK_SETTINGS");
    if (args.count("settings") == 0 && variable == nullptr) {
        std::cerr << "name the settings file with --settings FILE or DOTTERELSTACK_SETTINGS\n"
                  << options.help() << std::endl;
        return exit_usage;
    }
    const auto overrides =
        args.count("set") == 0 ? std::vector<std::string>{} : args["set"].as<std::vector<std::string>>();
    const auto file = args.count("settings") == 0 ? std::string{variable} : args["settings"].as<std::string>();
    for (const auto &it : roles) {
        if (it.name == role) {
            return it.run(file, overrides);
        }
    }
    return exit_usage;
}

/** Reads the status of entries over HTTP/2 from their peers listener. */
class h2_status_source final : public cli::entry_status_source {
public:
    [[nodiscard]] base::result<std::string> read(std::string_view address) override {
        constexpr auto status_timeout = std::chrono::seconds{2};
        BOOST_OUTCOME_TRY(response, client_.call(address, {"GET", "/status", {}, ""}, status_timeout));
        return std::move(response.body);
    }

private:
    base::boottime_clock clock_;
    transport::event_loop loop_;
    transport::h2_client client_{loop_, clock_};
};

int run_operator_command(std::span<const std::string_view> arguments) {
    http::curl_client client;
    // A missing address is not an error here: commands that need a store check it, the others never call the store.
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
           "  gateway --settings FILE  forwards opaque requests straight to backend servers\n"
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
        const auto role = std::ranges::find(roles, command, &process_role::name);
        if (role != roles.end()) {
            base::return_large_buffers();
            base::raise_descriptor_limit();
            std::signal(SIGPIPE, SIG_IGN);
            log::start(argv[0], role->logs);
            log::report_failures();
            const log::background_writer writer;
            return run_role(std::string{command}, argc - 1, argv + 1);
        }
        if (is_operator_command(command)) {
            sigprocmask(SIG_SETMASK, &initial_mask, nullptr);
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
