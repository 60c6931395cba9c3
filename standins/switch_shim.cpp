// Linked into the system's program for tests of many machines on loopback: links to other machines of the
// site go by the site's switchboard, and each machine has a loopback of its own for its agent. Only connect()
// and bind() are replaced, and only where the environment names a switchboard.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <optional>
#include <string>

namespace {
std::string wordOf(const char* name) {
    const char* word = std::getenv(name);
    return word ? word : "";
}

// What this process is told of its machine and of the switchboard.
struct Place {
    in_addr self{}, hub{};
    std::uint16_t linkPort = 0;  // 0: there is no switchboard

    Place() {
        ::inet_pton(AF_INET, wordOf("SWITCH_SELF").c_str(), &self);
        ::inet_pton(AF_INET, wordOf("SWITCH_HUB").c_str(), &hub);
        linkPort = static_cast<std::uint16_t>(std::atoi(wordOf("SWITCH_PORT").c_str()));
    }
    bool toOtherMachine(const sockaddr_in& to) const {
        return linkPort != 0 && ntohs(to.sin_port) == linkPort && networkOf(to.sin_addr) == networkOf(self);
    }
    // The switchboard's address for a machine of the site.
    sockaddr_in bySwitchboard(sockaddr_in to) const {
        to.sin_addr.s_addr = htonl(networkOf(hub) | (ntohl(to.sin_addr.s_addr) & ~networkMask));
        return to;
    }
    // What a process and its neighbour say to each other on 127.0.0.1 stays on their machine.
    sockaddr_in onOwnMachine(sockaddr_in address) const {
        const bool ofAgent = linkPort != 0 && ntohs(address.sin_port) == linkPort + 1;
        if (ofAgent && address.sin_addr.s_addr == htonl(INADDR_LOOPBACK)) address.sin_addr = self;
        return address;
    }

private:
    static constexpr std::uint32_t networkMask = 0xffffff00;
    static std::uint32_t networkOf(const in_addr& address) { return ntohl(address.s_addr) & networkMask; }
};

const Place& place() {
    static const Place only;
    return only;
}

std::optional<sockaddr_in> ipv4(const sockaddr* address, socklen_t length) {
    if (address->sa_family != AF_INET || length < sizeof(sockaddr_in)) return std::nullopt;
    sockaddr_in copy;
    std::memcpy(&copy, address, sizeof copy);
    return copy;
}
}  // namespace

extern "C" int bind(int socket, const sockaddr* address, socklen_t length) noexcept {
    const auto given = ipv4(address, length);
    if (!given) return static_cast<int>(::syscall(SYS_bind, socket, address, length));
    const sockaddr_in at = place().onOwnMachine(*given);
    return static_cast<int>(::syscall(SYS_bind, socket, &at, sizeof at));
}

extern "C" int connect(int socket, const sockaddr* address, socklen_t length) {
    const auto given = ipv4(address, length);
    if (!given) return static_cast<int>(::syscall(SYS_connect, socket, address, length));
    sockaddr_in to = place().onOwnMachine(*given);
    if (place().toOtherMachine(to)) {
        // The switchboard knows by the address who calls.
        sockaddr_in from{};
        from.sin_family = AF_INET;
        from.sin_addr = place().self;
        ::syscall(SYS_bind, socket, &from, sizeof from);
        to = place().bySwitchboard(to);
    }
    return static_cast<int>(::syscall(SYS_connect, socket, &to, sizeof to));
}
