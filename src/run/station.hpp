// Where a front stands: what it is told at its start, read from the file that the platform gives.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "charter.hpp"

namespace granitereel {

struct Station {
    std::string name;
    boost::asio::ip::tcp::endpoint listen, discovery;
    std::uint64_t seed = 0;
    std::size_t memory = 0, descriptors = 0;
    double cores = 1;
    Opening opening;
    std::string known;  // the list as last held, as JSON; empty if none was given
    // Where other fronts reach this one, and an address for each front in the order of their numbers; as given.
    std::string peerListen;
    std::vector<std::string> peers;
};

// What the command line or the environment says beside the file; empty: nothing.
struct Told {
    std::string config, name, listen, discovery;
    std::string fittings;  // the front's own settings file
};

// Throws Misread with one line on what is missing or wrong.
Station readStation(const Told& told);

}  // namespace granitereel
