#include "crowd/process_room.hpp"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

namespace dotterelstack::test {

namespace internal {

constexpr auto look_pause = std::chrono::milliseconds{50};

std::string process_folder(pid_t pid) {
    return "/proc/" + std::to_string(pid) + "/";
}

} // namespace internal

process_room::process_room(pid_t pid) : pid_{pid}, thread_{[this] { run(); }} {}

process_room::~process_room() {
    stop_ = true;
    thread_.join();
}

double process_room::peak_memory_mb() const {
    std::ifstream file{internal::process_folder(pid_) + "status"};
    for (std::string line; std::getline(file, line);) {
        std::istringstream words{line};
        std::string name;
        double kibibytes = 0;
        if (words >> name >> kibibytes && name == "VmHWM:") {
            return kibibytes / 1024;
        }
    }
    return 0;
}

void process_room::run() {
    while (!stop_) {
        std::error_code ec;
        const std::filesystem::directory_iterator all{internal::process_folder(pid_) + "fd", ec};
        const auto n = ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
        peak_descriptors_ = std::max<std::size_t>(peak_descriptors_, n);
        std::this_thread::sleep_for(internal::look_pause);
    }
}

} // namespace dotterelstack::test
