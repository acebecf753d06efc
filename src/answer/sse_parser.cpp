#include "answer/sse_parser.hpp"

namespace dotterelstack::answer {

bool sse_parser::feed(std::string_view part) {
    buffer_.append(part);
    std::size_t begin = 0;
    for (auto end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', begin)) {
        std::string_view line{buffer_.data() + begin, end - begin};
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        begin = end + 1;
        if (!process_line(line)) {
            buffer_.erase(0, begin);
            return false;
        }
    }
    buffer_.erase(0, begin);
    return true;
}

bool sse_parser::process_line(std::string_view line) {
    if (line.empty()) {
        if (!has_data_) {
            return true;
        }
        has_data_ = false;
        const std::string data = std::move(data_);
        data_.clear();
        return on_event_(data);
    }
    if (line.starts_with("data:")) {
        line.remove_prefix(5);
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (has_data_) {
            data_.push_back('\n');
        }
        data_.append(line);
        has_data_ = true;
    }
    return true;
}

} // namespace dotterelstack::answer
