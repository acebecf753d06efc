#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "http/client.hpp"

using namespace dotterelstack;

namespace {

using seconds = std::chrono::duration<double>;

/** Time from sending a streamed completion to its first event, in milliseconds; negative when it failed. */
double first_token_ms(http::client &client, const std::string &address, const std::string &key,
                      const std::string &model) {
    const http::request message{"POST",
                                "/v1/completions",
                                {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}},
                                R"({"model":")" + model + R"(","prompt":"a b c d e","max_tokens":2,"stream":true})"};
    const auto begin = std::chrono::steady_clock::now();
    double first = -1;
    const auto answer = client.stream(address, message, {}, [&](std::string_view /*part*/) {
        if (first < 0) {
            first = seconds{std::chrono::steady_clock::now() - begin}.count() * 1000;
        }
        return true;
    });
    if (answer && answer.value().status == 200 && first >= 0) {
        return first;
    }
    std::cerr << address << ": "
              << (answer ? std::to_string(answer.value().status) + " " + answer.value().body : answer.error().message)
              << std::endl;
    return -1;
}

double quantile(std::vector<double> values, double q) {
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void print_row(const char *name, const std::vector<double> &values) {
    std::printf("| %-16s | %6zu | %8.3f | %8.3f |\n", name, values.size(), quantile(values, 0.5),
                quantile(values, 0.95));
}

} // namespace

/** Compares the time to the first token through an entry and an agent with that of the engine alone. */
int main(int argc, char **argv) {
    cxxopts::Options options{"bench_overhead", "First-token time of the whole path against the engine alone"};
    auto add = options.add_options();
    add("engine", "address of the engine", cxxopts::value<std::string>());
    add("entry", "callers' address of an entry", cxxopts::value<std::string>());
    add("key", "caller's key", cxxopts::value<std::string>());
    add("model", "model", cxxopts::value<std::string>());
    add("requests", "requests each way", cxxopts::value<int>()->default_value("500"));
    const auto args = options.parse(argc, argv);
    http::curl_client client;
    const auto key = args["key"].as<std::string>();
    const auto model = args["model"].as<std::string>();
    std::vector<double> direct;
    std::vector<double> path;
    int failed = 0;
    // The two ways alternate, so that a change of the machine's load meets both.
    for (int n = 0; n < args["requests"].as<int>(); ++n) {
        const double a = first_token_ms(client, args["engine"].as<std::string>(), key, model);
        const double b = first_token_ms(client, args["entry"].as<std::string>(), key, model);
        if (a < 0 || b < 0) {
            ++failed;
            continue;
        }
        direct.push_back(a);
        path.push_back(b);
    }
    if (direct.empty()) {
        std::cerr << "no request succeeded" << std::endl;
        return 1;
    }
    std::printf("| first token (ms) | n      | p50      | p95      |\n|---|---|---|---|\n");
    print_row("engine alone", direct);
    print_row("entry and agent", path);
    std::printf("difference p50 %.3f ms, p95 %.3f ms; ratio p50 %.2f, p95 %.2f; failed %d\n",
                quantile(path, 0.5) - quantile(direct, 0.5), quantile(path, 0.95) - quantile(direct, 0.95),
                quantile(path, 0.5) / quantile(direct, 0.5), quantile(path, 0.95) / quantile(direct, 0.95), failed);
    return 0;
}
