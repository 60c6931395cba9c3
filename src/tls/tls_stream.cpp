#include "tls_stream.hpp"

#include <openssl/err.h>
#include <openssl/x509v3.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

namespace granitereel::tls {

namespace {

constexpr auto asTupleAwaitable = asio::as_tuple(asio::use_awaitable);

// OpenSSL's ex_data index under which an SSL object points to its TlsStream, for callbacks.
int ownerIndex() {
    static const int index = SSL_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
    return index;
}

std::int64_t threadCpuTime() {
    timespec cpuTime{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpuTime);
    return cpuTime.tv_sec * 1'000'000'000ll + cpuTime.tv_nsec;
}

bool isAddress(const std::string& name) {
    boost::system::error_code error;
    asio::ip::make_address(name, error);
    return !error;
}

}  // namespace

TlsStream::TlsStream(std::shared_ptr<const TrustStore> trustStore, tcp::socket& socket,
                     const std::string& name, bool direct, SSL_SESSION* session, SessionCallback onSession)
    : trustStore_(std::move(trustStore)),
      socket_(socket),
      direct_(direct),
      onSession_(std::move(onSession)),
      ssl_(SSL_new(trustStore_->context())) {
    ERR_clear_error();
    if (!ssl_) throw CertificateError("TLS: " + popOpenSslError());
    SSL_CTX_sess_set_new_cb(trustStore_->context(), &TlsStream::newSessionCallback);
    SSL_CTX_set_session_cache_mode(trustStore_->context(),
                                   SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
    SSL_set_ex_data(ssl_.get(), ownerIndex(), this);
    SSL_set_verify(ssl_.get(), SSL_VERIFY_PEER, &TlsStream::verifyCallback);
    X509_VERIFY_PARAM* const verifyParam = SSL_get0_param(ssl_.get());
    bool nameSet;
    if (isAddress(name)) {
        nameSet = X509_VERIFY_PARAM_set1_ip_asc(verifyParam, name.c_str()) == 1;
    } else {
        // Only subject alternative names count: the common name was never meant to hold a host name.
        X509_VERIFY_PARAM_set_hostflags(
            verifyParam, X509_CHECK_FLAG_NEVER_CHECK_SUBJECT | X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
        nameSet = !name.empty() && X509_VERIFY_PARAM_set1_host(verifyParam, name.data(), name.size()) == 1 &&
                  SSL_set_tlsext_host_name(ssl_.get(), name.c_str()) == 1;
    }
    if (!nameSet) throw CertificateError("no valid host name to verify: '" + name + "'");
    if (direct) {
        static const unsigned char protocol[] = "\x0apostgresql";
        SSL_set_alpn_protos(ssl_.get(), protocol, sizeof protocol - 1);
    }
    if (session) SSL_set_session(ssl_.get(), session);
    SSL_set_fd(ssl_.get(), socket_.native_handle());
    SSL_set_connect_state(ssl_.get());
}

TlsStream::~TlsStream() {
    // Sends close_notify on a healthy connection, so that the peer sees an orderly end; best effort.
    if (handshakeDone_ && !failed_ && socket_.is_open()) SSL_shutdown(ssl_.get());
    ERR_clear_error();
}

// Doesn't change the verdict. It records the refused certificate, because OpenSSL drops it.
int TlsStream::verifyCallback(int preverified, X509_STORE_CTX* storeContext) {
    const void* const ssl = X509_STORE_CTX_get_ex_data(storeContext, SSL_get_ex_data_X509_STORE_CTX_idx());
    auto* const owner = static_cast<TlsStream*>(SSL_get_ex_data(static_cast<const SSL*>(ssl), ownerIndex()));
    if (!preverified && owner)
        owner->refusedCertificate_ = describeCertificate(X509_STORE_CTX_get0_cert(storeContext));
    return preverified;
}

int TlsStream::newSessionCallback(SSL* ssl, SSL_SESSION* session) {
    auto* const owner = static_cast<TlsStream*>(SSL_get_ex_data(ssl, ownerIndex()));
    // A copy: OpenSSL invalidates its own session when the connection breaks, though the ticket stays valid.
    if (owner && owner->onSession_ && SSL_SESSION_is_resumable(session))
        owner->onSession_(SSL_SESSION_dup(session));
    return 0;
}

// Repeats an OpenSSL call, waiting for the socket in between, until it succeeds or fails.
template <class Operation>
asio::awaitable<std::pair<boost::system::error_code, int>> TlsStream::retryUntilDone(Operation operation) {
    for (;;) {
        if (!socket_.is_open()) co_return std::pair(make_error_code(asio::error::operation_aborted), 0);
        ERR_clear_error();
        errno = 0;
        const int count = operation();
        if (count > 0) co_return std::pair(boost::system::error_code(), count);
        const int sslError = SSL_get_error(ssl_.get(), count);
        if (sslError == SSL_ERROR_WANT_READ || sslError == SSL_ERROR_WANT_WRITE) {
            const auto waitType =
                sslError == SSL_ERROR_WANT_READ ? tcp::socket::wait_read : tcp::socket::wait_write;
            const auto [error] = co_await socket_.async_wait(waitType, asTupleAwaitable);
            if (error) co_return std::pair(error, 0);
            continue;
        }
        if (sslError == SSL_ERROR_ZERO_RETURN) co_return std::pair(make_error_code(asio::error::eof), 0);
        failed_ = true;
        co_return std::pair(make_error_code(asio::error::connection_reset), 0);
    }
}

asio::awaitable<TlsStream::HandshakeResult> TlsStream::handshake() {
    HandshakeResult result;
    const auto [error, count] = co_await retryUntilDone([this] {
        const std::int64_t before = threadCpuTime();
        const int status = SSL_do_handshake(ssl_.get());
        handshakeCpuTime_ += threadCpuTime() - before;
        return status;
    });
    X509* const peerCertificate = SSL_get0_peer_certificate(ssl_.get());
    result.certificate =
        refusedCertificate_.empty() ? describeCertificate(peerCertificate) : refusedCertificate_;
    if (error) {
        const long verifyResult = SSL_get_verify_result(ssl_.get());
        const unsigned long errorCode = ERR_peek_last_error();
        // Either we refused the peer's certificate, or the TLS protocol failed, as by an alert from the peer.
        if (verifyResult != X509_V_OK) {
            result.untrusted = true;
            result.error = X509_verify_cert_error_string(verifyResult);
        } else if (errorCode != 0) {
            // A connection that ends during the handshake says nothing about trust.
            result.untrusted = ERR_GET_REASON(errorCode) != SSL_R_UNEXPECTED_EOF_WHILE_READING &&
                               ERR_GET_LIB(errorCode) == ERR_LIB_SSL;
            result.error = popOpenSslError();
        } else {
            result.error = error == asio::error::operation_aborted ? "handshake timed out" : error.message();
        }
        ERR_clear_error();
        co_return result;
    }
    result.resumed = SSL_session_reused(ssl_.get()) == 1;
    if (direct_) {
        const unsigned char* protocol = nullptr;
        unsigned protocolLength = 0;
        SSL_get0_alpn_selected(ssl_.get(), &protocol, &protocolLength);
        if (std::string_view(reinterpret_cast<const char*>(protocol), protocolLength) != "postgresql") {
            result.untrusted = true;
            result.error = "does not speak postgresql by ALPN";
            co_return result;
        }
    }
    // OpenSSL doesn't verify a resumed session again. Without this check a session could be resumed although
    // it was never verified or its certificate has expired since.
    if (!peerCertificate || SSL_get_verify_result(ssl_.get()) != X509_V_OK ||
        expiryOf(peerCertificate) <= std::time(nullptr)) {
        result.untrusted = true;
        result.error =
            !peerCertificate ? "no certificate" : "certificate has expired since the session began";
        co_return result;
    }
    handshakeDone_ = true;
    co_return result;
}

asio::awaitable<std::pair<boost::system::error_code, std::size_t>> TlsStream::read(std::span<char> buffer) {
    const auto [error, bytesRead] = co_await retryUntilDone(
        [this, buffer] { return SSL_read(ssl_.get(), buffer.data(), static_cast<int>(buffer.size())); });
    co_return std::pair(error, static_cast<std::size_t>(bytesRead));
}

asio::awaitable<boost::system::error_code> TlsStream::write(std::string bytes) {
    for (std::size_t written = 0; written < bytes.size();) {
        const auto [error, count] = co_await retryUntilDone([&] {
            return SSL_write(ssl_.get(), bytes.data() + written, static_cast<int>(bytes.size() - written));
        });
        if (error) co_return error;
        written += static_cast<std::size_t>(count);
    }
    co_return boost::system::error_code();
}

bool TlsStream::isIdle() {
    if (failed_ || !socket_.is_open()) return false;
    ERR_clear_error();
    char byte;
    const int bytesRead = SSL_peek(ssl_.get(), &byte, 1);
    if (bytesRead <= 0 && SSL_get_error(ssl_.get(), bytesRead) == SSL_ERROR_WANT_READ) return true;
    failed_ = true;
    ERR_clear_error();
    return false;
}

}  // namespace granitereel::tls
