#pragma once

namespace dotterelstack::admission {

class fair_shares;

} // namespace dotterelstack::admission
