// TLS on an open connection. OpenSSL reads and writes the socket itself, so that an idle connection holds no
// buffers of ours; Asio only waits for readiness.
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
    // How a handshake ended; `error` is empty where the peer has been verified. `certificate` describes the
    // peer's certificate.
    struct HandshakeResult {
        bool resumed = false;
        bool untrusted = false;  // the store answers, but one side rejects the other's certificate or TLS
        std::string error, certificate;
    };
    // Takes over one reference to a resumable session.
    using SessionCallback = std::function<void(SSL_SESSION*)>;

    // `socket` must outlive the stream. `name`: the DNS name or IP address that the peer's certificate must
    // be valid for. `direct`: TLS from the first byte, negotiated by ALPN. `session`, if not null, is
    // resumed. Throws CertificateError.
    TlsStream(std::shared_ptr<const TrustStore> trustStore, tcp::socket& socket, const std::string& name,
              bool direct, SSL_SESSION* session, SessionCallback onSession);
    ~TlsStream();
    TlsStream(const TlsStream&) = delete;
    TlsStream& operator=(const TlsStream&) = delete;

    asio::awaitable<HandshakeResult> handshake();
    // Reads at least one byte. The error is asio::error::eof after a close_notify of the peer, and another
    // one after an end without it.
    asio::awaitable<std::pair<boost::system::error_code, std::size_t>> read(std::span<char> buffer);
    // Writes all bytes; after an error the last record has not been sent completely.
    asio::awaitable<boost::system::error_code> write(std::string bytes);
    // Whether there is nothing to read and the peer has not closed the connection. Processes pending TLS
    // messages, such as session tickets.
    bool isIdle();
    // CPU time spent in the handshake, in nanoseconds.
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
    std::string refusedCertificate_;  // described for the log; empty if none was refused
};

}  // namespace granitereel::tls
