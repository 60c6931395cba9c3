// The network between the machines of a site on loopback: links of the processes (by the shim) are passed on
// by way of it, and can be cut, one way or both, and reset. A cut is silent: what is sent waits, and a
// connection on which something has waited for too long ends, as the kernel would have it; a new one is taken
// and told nothing. Machines go by the last byte of their address.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace granitereel::standins {

class Switchboard {
public:
    // For machines of a /24 network, each with its links' port. `loop` is run by another thread; all calls
    // but those of the constructor and cut() are to be made there.
    Switchboard(boost::asio::io_context& loop, const std::string& network, int linkPort)
        : loop_(loop), site_(network), linkPort_(linkPort) {}

    // Listens for what goes to this machine.
    void serve(int machine);
    // From any thread.
    void cut(int from, int to, bool isCut) { cuts_[at(from, to)] = isCut; }
    void clear();
    // Resets the connections of this machine.
    void reset(int machine);
    // Words of the environment that a process on the machine needs.
    std::vector<std::string> environmentOf(int machine) const;

private:
    using Tcp = boost::asio::ip::tcp;
    static constexpr std::size_t machinesMost = 256;
    static std::size_t at(int from, int to) {
        return static_cast<std::size_t>(from) * machinesMost + static_cast<std::size_t>(to);
    }
    struct Passage;
    void accept(int machine, const std::shared_ptr<Tcp::acceptor>& acceptor);
    void pump(const std::shared_ptr<Passage>& passage, bool back);
    void pass(const std::shared_ptr<Passage>& passage, bool back, int waited_ms);
    void end(const std::shared_ptr<Passage>& passage);
    std::string addressOf(const char* network, int machine) const;

    boost::asio::io_context& loop_;
    const std::string site_;  // the third byte of all its addresses
    const int linkPort_;
    std::array<std::atomic<bool>, machinesMost * machinesMost> cuts_{};
    std::vector<std::shared_ptr<Tcp::acceptor>> acceptors_;
    std::list<std::weak_ptr<Passage>> passages_;
};

}  // namespace granitereel::standins
