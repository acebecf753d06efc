#pragma once

namespace dotterelstack::limits {

class token_bucket;
class admission;
struct row_key;
struct row_limits;
struct row_share;
struct row_status;
struct submission;
struct decision;

} // namespace dotterelstack::limits
