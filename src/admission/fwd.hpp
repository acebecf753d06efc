#pragma once

namespace dotterelstack::admission {

class fair_shares;
class recent_times;
struct urgent_work;
struct work_class;
struct urgent_work;
struct work_class;
class urgent_reserve;

} // namespace dotterelstack::admission
