// TLS on a connection that is open. The library reads and writes the socket itself, so that an idle
// connection holds no buffers of ours; Asio only waits.
#pragma once

#include <openssl/ssl.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "trust_store.hpp"

namespace granitereel::tls {

namespace asio = boost::asio;
using asio::ip::tcp;

class TlsStream {
public:
    // What a finished handshake has shown; `fault` is empty where the peer is who it should be.
    struct HandshakeResult {
        bool resumed = false;
        bool untrusted = false;  // it is up, but not who it should be, or we are not who it wants
        std::string error, certificate;
    };
    using SessionCallback =
        std::function<void(SSL_SESSION*)>;  // takes over one reference to a session to be used again

    // `socket` outlives it. `name` is what the peer's certificate has to bear; `session`, where given, is
    // taken up again. Throws Untrusted.
    TlsStream(std::shared_ptr<const TrustStore> trustStore, tcp::socket& socket, const std::string& name,
              bool direct, SSL_SESSION* session, SessionCallback onSession);
    ~TlsStream();
    TlsStream(const TlsStream&) = delete;
    TlsStream& operator=(const TlsStream&) = delete;

    asio::awaitable<HandshakeResult> handshake();
    // At least one byte; an orderly end is asio::error::eof, one without the peer's good-bye is not.
    asio::awaitable<std::pair<boost::system::error_code, std::size_t>> read(std::span<char> buffer);
    // All bytes; an error means that the last of them has not gone out whole.
    asio::awaitable<boost::system::error_code> write(std::string bytes);
    // Nothing is there to be read and the peer has not ended: takes in what concerns TLS alone.
    bool isIdle();
    // Time of the processor spent in the handshake.
    std::int64_t handshakeCpuTime() const { return handshakeCpuTime_; }

private:
    template <class Operation>
    asio::awaitable<std::pair<boost::system::error_code, int>> retryUntilDone(Operation operation);
    static int newSessionCallback(SSL* ssl, SSL_SESSION* session);
    static int verifyCallback(int preverified, X509_STORE_CTX* storeContext);
    struct Free {
        void operator()(SSL* ssl) const { SSL_free(ssl); }
    };

    std::shared_ptr<const TrustStore> trustStore_;
    tcp::socket& socket_;
    bool direct_, handshakeDone_ = false, failed_ = false;
    SessionCallback onSession_;
    std::unique_ptr<SSL, Free> ssl_;
    std::int64_t handshakeCpuTime_ = 0;
    std::string refusedCertificate_;  // a certificate that was refused
};

}  // namespace granitereel::tls
