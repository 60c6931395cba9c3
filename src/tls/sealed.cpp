#include "sealed.hpp"

#include <openssl/err.h>
#include <openssl/x509v3.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>

namespace granitereel::tls {

namespace {

constexpr auto quietly = asio::as_tuple(asio::use_awaitable);

// Where a connection finds its object again when the library calls back.
int placeOfOwner() {
    static const int place = SSL_get_ex_new_index(0, nullptr, nullptr, nullptr, nullptr);
    return place;
}

std::int64_t processorTime() {
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return spent.tv_sec * 1'000'000'000ll + spent.tv_nsec;
}

bool isAddress(const std::string& name) {
    boost::system::error_code fault;
    asio::ip::make_address(name, fault);
    return !fault;
}

}  // namespace

Sealed::Sealed(std::shared_ptr<const Trust> trust, tcp::socket& socket, const std::string& name, bool direct,
               SSL_SESSION* session, Keeps keeps)
    : trust_(std::move(trust)),
      socket_(socket),
      direct_(direct),
      keeps_(std::move(keeps)),
      ssl_(SSL_new(trust_->context())) {
    ERR_clear_error();
    if (!ssl_) throw Untrusted("TLS: " + lastFault());
    SSL_CTX_sess_set_new_cb(trust_->context(), &Sealed::kept);
    SSL_CTX_set_session_cache_mode(trust_->context(), SSL_SESS_CACHE_CLIENT | SSL_SESS_CACHE_NO_INTERNAL);
    SSL_set_ex_data(ssl_.get(), placeOfOwner(), this);
    SSL_set_verify(ssl_.get(), SSL_VERIFY_PEER, &Sealed::judged);
    X509_VERIFY_PARAM* const wanted = SSL_get0_param(ssl_.get());
    bool set;
    if (isAddress(name)) {
        set = X509_VERIFY_PARAM_set1_ip_asc(wanted, name.c_str()) == 1;
    } else {
        // Alternative names alone count: a common name was never meant for it.
        X509_VERIFY_PARAM_set_hostflags(
            wanted, X509_CHECK_FLAG_NEVER_CHECK_SUBJECT | X509_CHECK_FLAG_NO_PARTIAL_WILDCARDS);
        set = !name.empty() && X509_VERIFY_PARAM_set1_host(wanted, name.data(), name.size()) == 1 &&
              SSL_set_tlsext_host_name(ssl_.get(), name.c_str()) == 1;
    }
    if (!set) throw Untrusted("no name to be expected: '" + name + "'");
    if (direct) {
        static const unsigned char protocol[] = "\x0apostgresql";
        SSL_set_alpn_protos(ssl_.get(), protocol, sizeof protocol - 1);
    }
    if (session) SSL_set_session(ssl_.get(), session);
    SSL_set_fd(ssl_.get(), socket_.native_handle());
    SSL_set_connect_state(ssl_.get());
}

Sealed::~Sealed() {
    // A good-bye where the connection is sound, so that the peer can tell; whether it goes out matters not.
    if (shaken_ && !faulty_ && socket_.is_open()) SSL_shutdown(ssl_.get());
    ERR_clear_error();
}

// Judges nothing: it notes what was shown, as the library drops what it refuses.
int Sealed::judged(int sound, X509_STORE_CTX* chain) {
    const void* const ssl = X509_STORE_CTX_get_ex_data(chain, SSL_get_ex_data_X509_STORE_CTX_idx());
    auto* const owner = static_cast<Sealed*>(SSL_get_ex_data(static_cast<const SSL*>(ssl), placeOfOwner()));
    if (!sound && owner) owner->shown_ = describe(X509_STORE_CTX_get0_cert(chain));
    return sound;
}

int Sealed::kept(SSL* ssl, SSL_SESSION* session) {
    auto* const owner = static_cast<Sealed*>(SSL_get_ex_data(ssl, placeOfOwner()));
    // A copy: the library spoils its own when the connection breaks, though the ticket is as good as before.
    if (owner && owner->keeps_ && SSL_SESSION_is_resumable(session)) owner->keeps_(SSL_SESSION_dup(session));
    return 0;
}

// Calls until the library needs no more from the socket.
template <class Call>
asio::awaitable<std::pair<boost::system::error_code, int>> Sealed::persist(Call call) {
    for (;;) {
        if (!socket_.is_open()) co_return std::pair(make_error_code(asio::error::operation_aborted), 0);
        ERR_clear_error();
        errno = 0;
        const int done = call();
        if (done > 0) co_return std::pair(boost::system::error_code(), done);
        const int why = SSL_get_error(ssl_.get(), done);
        if (why == SSL_ERROR_WANT_READ || why == SSL_ERROR_WANT_WRITE) {
            const auto what = why == SSL_ERROR_WANT_READ ? tcp::socket::wait_read : tcp::socket::wait_write;
            const auto [fault] = co_await socket_.async_wait(what, quietly);
            if (fault) co_return std::pair(fault, 0);
            continue;
        }
        if (why == SSL_ERROR_ZERO_RETURN) co_return std::pair(make_error_code(asio::error::eof), 0);
        faulty_ = true;
        co_return std::pair(make_error_code(asio::error::connection_reset), 0);
    }
}

asio::awaitable<Sealed::Shaken> Sealed::shake() {
    Shaken shaken;
    const auto [fault, done] = co_await persist([this] {
        const std::int64_t before = processorTime();
        const int result = SSL_do_handshake(ssl_.get());
        cost_ += processorTime() - before;
        return result;
    });
    X509* const shown = SSL_get0_peer_certificate(ssl_.get());
    shaken.certificate = shown_.empty() ? describe(shown) : shown_;
    if (fault) {
        const long judged = SSL_get_verify_result(ssl_.get());
        const unsigned long why = ERR_peek_last_error();
        // An alert from the peer that is about certificates, or its certificate refused by us.
        if (judged != X509_V_OK) {
            shaken.untrusted = true;
            shaken.fault = X509_verify_cert_error_string(judged);
        } else if (why != 0) {
            // A connection that ends inside says nothing of trust.
            shaken.untrusted =
                ERR_GET_REASON(why) != SSL_R_UNEXPECTED_EOF_WHILE_READING && ERR_GET_LIB(why) == ERR_LIB_SSL;
            shaken.fault = lastFault();
        } else {
            shaken.fault = fault == asio::error::operation_aborted ? "no end in time" : fault.message();
        }
        ERR_clear_error();
        co_return shaken;
    }
    shaken.resumed = SSL_session_reused(ssl_.get()) == 1;
    if (direct_) {
        const unsigned char* protocol = nullptr;
        unsigned length = 0;
        SSL_get0_alpn_selected(ssl_.get(), &protocol, &length);
        if (std::string_view(reinterpret_cast<const char*>(protocol), length) != "postgresql") {
            shaken.untrusted = true;
            shaken.fault = "does not speak postgresql by ALPN";
            co_return shaken;
        }
    }
    // A session that is taken up again is not verified again by the library: it has to have been, and its
    // certificate to be good still.
    if (!shown || SSL_get_verify_result(ssl_.get()) != X509_V_OK || endOf(shown) <= std::time(nullptr)) {
        shaken.untrusted = true;
        shaken.fault = !shown ? "no certificate" : "certificate has run out since the session began";
        co_return shaken;
    }
    shaken_ = true;
    co_return shaken;
}

asio::awaitable<std::pair<boost::system::error_code, std::size_t>> Sealed::read(std::span<char> to) {
    const auto [fault, got] =
        co_await persist([this, to] { return SSL_read(ssl_.get(), to.data(), static_cast<int>(to.size())); });
    co_return std::pair(fault, static_cast<std::size_t>(got));
}

asio::awaitable<boost::system::error_code> Sealed::write(std::string bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
        const auto [fault, done] = co_await persist(
            [&] { return SSL_write(ssl_.get(), bytes.data() + at, static_cast<int>(bytes.size() - at)); });
        if (fault) co_return fault;
        at += static_cast<std::size_t>(done);
    }
    co_return boost::system::error_code();
}

bool Sealed::atRest() {
    if (faulty_ || !socket_.is_open()) return false;
    ERR_clear_error();
    char byte;
    const int got = SSL_peek(ssl_.get(), &byte, 1);
    if (got <= 0 && SSL_get_error(ssl_.get(), got) == SSL_ERROR_WANT_READ) return true;
    faulty_ = true;
    ERR_clear_error();
    return false;
}

}  // namespace granitereel::tls
