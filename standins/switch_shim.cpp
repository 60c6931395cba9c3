// Loaded before a process of a site: its connections to other machines of the site go by the site's
// switchboard, and to nowhere while the way there or back is cut; and each machine has a loopback of its own
// for its agent. Nothing else is changed.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <cstring>

#include "standins/switch_table.hpp"

namespace {
using granitereel::standins::SwitchTable;

std::string wordOf(const char* name) {
    const char* word = std::getenv(name);
    return word ? word : "";
}

// What this process is told of the switchboard.
struct Place {
    in_addr self{}, hub{}, nowhere{};
    std::uint16_t linkPort = 0;
    SwitchTable table{wordOf("SWITCH_TABLE"), false};

    Place() {
        ::inet_pton(AF_INET, wordOf("SWITCH_SELF").c_str(), &self);
        ::inet_pton(AF_INET, wordOf("SWITCH_HUB").c_str(), &hub);
        ::inet_pton(AF_INET, wordOf("SWITCH_NOWHERE").c_str(), &nowhere);
        linkPort = htons(static_cast<std::uint16_t>(std::atoi(wordOf("SWITCH_PORT").c_str())));
    }
    static int machineOf(const in_addr& address) { return static_cast<int>(ntohl(address.s_addr) & 0xff); }
    bool through(const sockaddr_in& to) const {
        constexpr std::uint32_t ofSite = 0xffffff00;
        return to.sin_port == linkPort &&
               (ntohl(to.sin_addr.s_addr) & ofSite) == (ntohl(self.s_addr) & ofSite);
    }
    // What a process and its neighbour say to each other on 127.0.0.1 stays on their machine.
    sockaddr_in ofOwnMachine(sockaddr_in address) const {
        const bool ofAgent = ntohs(address.sin_port) == ntohs(linkPort) + 1;
        if (ofAgent && address.sin_addr.s_addr == htonl(INADDR_LOOPBACK)) address.sin_addr = self;
        return address;
    }
    // The switchboard's address for a machine of the site.
    sockaddr_in instead(sockaddr_in to) const {
        const int other = machineOf(to.sin_addr), own = machineOf(self);
        if (table.cut(own, other) || table.cut(other, own))
            to.sin_addr = nowhere;
        else
            to.sin_addr.s_addr = htonl((ntohl(hub.s_addr) & 0xffffff00) | static_cast<std::uint32_t>(other));
        return to;
    }
};
}  // namespace

namespace {
const Place& place() {
    static const Place only;
    return only;
}

using AddressCall = int (*)(int, const sockaddr*, socklen_t);

AddressCall realOf(const char* name) {
    return reinterpret_cast<AddressCall>(::dlsym(RTLD_NEXT, name));
}
}  // namespace

extern "C" int bind(int socket, const sockaddr* address, socklen_t length) {
    static const AddressCall real = realOf("bind");
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in)) return real(socket, address, length);
    sockaddr_in at;
    std::memcpy(&at, address, sizeof at);
    at = place().ofOwnMachine(at);
    return real(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at);
}

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
    static const AddressCall real = realOf("connect");
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in)) return real(socket, address, length);
    sockaddr_in to;
    std::memcpy(&to, address, sizeof to);
    if (place().through(to)) {
        // The switchboard knows by the address who calls.
        sockaddr_in from{};
        from.sin_family = AF_INET;
        from.sin_addr = place().self;
        ::bind(socket, reinterpret_cast<sockaddr*>(&from), sizeof from);
        to = place().instead(to);
    }
    to = place().ofOwnMachine(to);
    return real(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to);
}
