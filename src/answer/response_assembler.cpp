#include "answer/response_assembler.hpp"

namespace dotterelstack::answer {

assembler_action response_assembler::accept(const chunk &it) noexcept {
    if (complete_ || it.request != request_ || it.attempt != attempt_ || it.offset < next_offset_) {
        return assembler_action::ignore;
    }
    if (it.offset > next_offset_) {
        return assembler_action::resume;
    }
    ++next_offset_;
    return assembler_action::deliver;
}

assembler_action response_assembler::accept(const chunk_end &it) noexcept {
    if (complete_ || it.request != request_ || it.attempt != attempt_) {
        return assembler_action::ignore;
    }
    if (it.total != next_offset_) {
        return assembler_action::resume;
    }
    complete_ = true;
    return assembler_action::complete;
}

} // namespace dotterelstack::answer
