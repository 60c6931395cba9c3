// What a front does together with the others of its tier, put together by its settings: the post, leases,
// seeking.
#pragma once

#include <memory>

#include "facade/async_router.hpp"
#include "fittings/fittings.hpp"
#include "owners/clerk.hpp"
#include "station.hpp"
#include "tier/post.hpp"

namespace granitereel {

// Addresses of `peers`. Throws Misread.
std::vector<asio::ip::udp::endpoint> peersOf(const Station& station);

// Null where the tier is off: by the front's own settings, or since the platform's allow no telling. Throws
// Misread where `peers` can't be used, std::runtime_error where the address can't be had.
std::unique_ptr<tier::Post> fleetOf(asio::any_io_executor on, const Clock& clock, const Station& station,
                                    const fittings::Fittings& fittings, AsyncRouter& desk);

}  // namespace granitereel
