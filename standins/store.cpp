#include "store.hpp"

#include <openssl/err.h>
#include <openssl/pem.h>

#include <algorithm>
#include <csignal>

#include "wire/statement.hpp"

namespace granitereel::standins {

void Audit::launched(const std::string& id) {
    const std::lock_guard hold(lock_);
    ++launches_[id];
}

void Audit::answered(const std::string& id, const std::string& how) {
    const std::lock_guard hold(lock_);
    answers_[id].push_back(how);
}

int Audit::launches(const std::string& id) const {
    const std::lock_guard hold(lock_);
    const auto found = launches_.find(id);
    return found == launches_.end() ? 0 : found->second;
}

int Audit::delivered() const {
    const std::lock_guard hold(lock_);
    int n = 0;
    for (const auto& [id, answers] : answers_) n += answers.front() == "for " + id;
    return n;
}

void Audit::check(const std::vector<std::string>& ids,
                  const std::function<bool(const std::string&)>& oneShot) const {
    for (const std::string& id : ids) {
        const int launched = launches(id);
        const std::lock_guard hold(lock_);
        const auto found = answers_.find(id);
        assert(found != answers_.end() && found->second.size() == 1);
        const std::string& how = found->second.front();
        const bool made = how == "for " + id;
        // An answer is the one made for it, or a nack, or a write-off, and nothing else.
        if (!made && !how.starts_with("53300") && how != "40003")
            std::fprintf(stderr, "%s was answered %s\n", id.c_str(), how.c_str());
        assert(made || how.starts_with("53300") || how == "40003");
        assert(!made || launched > 0);
        assert(!oneShot(id) || launched <= 1);
        // A nacked one-shot can't have run.
        assert(!oneShot(id) || !how.starts_with("53300") || launched == 0);
    }
}

// One connection, sealed or not.
struct Store::Link {
    int fd, number;
    SSL* ssl = nullptr;
    ~Link() {
        if (ssl) SSL_free(ssl);
    }
    bool take(char* to, std::size_t n) {
        while (n > 0) {
            const auto got = ssl ? SSL_read(ssl, to, static_cast<int>(n)) : ::recv(fd, to, n, 0);
            if (got <= 0) return false;
            to += got;
            n -= static_cast<std::size_t>(got);
        }
        return true;
    }
    bool give(std::string_view bytes) {
        while (!bytes.empty()) {
            const auto done = ssl ? SSL_write(ssl, bytes.data(), static_cast<int>(bytes.size()))
                                  : ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (done <= 0) return false;
            bytes.remove_prefix(static_cast<std::size_t>(done));
        }
        return true;
    }
    void reset() const {
        const linger now{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    void waitForEnd() const {
        char byte;
        while (::recv(fd, &byte, 1, 0) > 0) {
        }
    }
};

Store::Store(std::string role, Audit& audit) : role_(std::move(role)), audit_(audit) {
    std::signal(SIGPIPE, SIG_IGN);
    listener_ = std::thread([this] { listen(); });
}

Store::~Store() {
    over_ = true;
    {  // a call of its own ends the wait for others
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(static_cast<std::uint16_t>(place_.port));
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
        ::close(fd);
    }
    listener_.join();
    cutAll();
    for (std::thread& each : threads_) each.join();
}

void Store::behave(const Ways& ways) {
    const std::lock_guard hold(lock_);
    ways_ = ways;
}

void Store::cutAll() {
    const std::lock_guard hold(lock_);
    for (const int fd : fds_) {
        const linger now{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        ::shutdown(fd, SHUT_RDWR);
    }
}

std::string Store::clientSeen() const {
    const std::lock_guard hold(lock_);
    return seen_;
}

void Store::happened() {
    const std::lock_guard hold(lock_);
    changed_.notify_all();
}

void Store::until(const std::function<bool()>& holds) {
    std::unique_lock hold(lock_);
    const bool so = changed_.wait_for(hold, std::chrono::seconds(10), holds);
    assert(so);
}

void Store::seal(const Identity& identity, const std::string& clients, const std::string& chain) {
    const std::shared_ptr<SSL_CTX> made(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
    const auto each = [](const std::string& pem, auto use) {
        const std::shared_ptr<BIO> in(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())), BIO_free);
        while (X509* const found = PEM_read_bio_X509(in.get(), nullptr, nullptr, nullptr)) {
            use(found);
            X509_free(found);
        }
        ERR_clear_error();
    };
    each(identity.certificate, [&](X509* found) { SSL_CTX_use_certificate(made.get(), found); });
    each(chain, [&](X509* found) { SSL_CTX_add1_chain_cert(made.get(), found); });
    const std::shared_ptr<BIO> in(BIO_new_mem_buf(identity.key.data(), static_cast<int>(identity.key.size())),
                                  BIO_free);
    const std::shared_ptr<EVP_PKEY> key(PEM_read_bio_PrivateKey(in.get(), nullptr, nullptr, nullptr),
                                        EVP_PKEY_free);
    assert(SSL_CTX_use_PrivateKey(made.get(), key.get()) == 1);
    if (!clients.empty()) {
        each(clients, [&](X509* found) { X509_STORE_add_cert(SSL_CTX_get_cert_store(made.get()), found); });
        SSL_CTX_set_verify(made.get(), SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    }
    SSL_CTX_set_session_id_context(made.get(), reinterpret_cast<const unsigned char*>("store"), 5);
    SSL_CTX_set_session_cache_mode(made.get(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_alpn_select_cb(
        made.get(),
        [](SSL*, const unsigned char** out, unsigned char* length, const unsigned char* offered,
           unsigned size, void*) {
            static const unsigned char ours[] = "\x0apostgresql";
            return SSL_select_next_proto(const_cast<unsigned char**>(out), length, ours, sizeof ours - 1,
                                         offered, size) == OPENSSL_NPN_NEGOTIATED
                       ? SSL_TLSEXT_ERR_OK
                       : SSL_TLSEXT_ERR_NOACK;
        },
        nullptr);
    const std::lock_guard hold(lock_);
    context_ = made;
}

void Store::listen() {
    while (!over_) {
        pollfd wait{place_.fd(), POLLIN, 0};
        if (::poll(&wait, 1, 1000) != 1) continue;
        const int fd = ::accept4(place_.fd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        if (over_) {
            ::close(fd);
            return;
        }
        const int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const std::lock_guard hold(lock_);
        fds_.push_back(fd);
        threads_.emplace_back([this, fd, number = ++connections_] { serve(fd, number); });
    }
}

bool Store::shake(Link& link, const Ways& ways) {
    std::shared_ptr<SSL_CTX> context;
    {
        const std::lock_guard hold(lock_);
        context = context_;
    }
    if (!context) return true;
    if (!ways.direct) {
        char request[8];
        if (!link.take(request, sizeof request)) return false;
        if (ways.stallAt == 1) return link.waitForEnd(), false;
        if (ways.resetAt == 1) return link.reset(), false;
        link.give(ways.insteadOfS.empty() ? "S" : ways.insteadOfS);
        if (!ways.insteadOfS.empty() && ways.insteadOfS[0] != 'S') return link.waitForEnd(), false;
    }
    if (ways.stallAt == 2) return link.waitForEnd(), false;
    if (ways.resetAt == 2) return link.reset(), false;
    link.ssl = SSL_new(context.get());
    SSL_set_fd(link.ssl, link.fd);
    SSL_set_min_proto_version(link.ssl, ways.tls12 ? TLS1_2_VERSION : TLS1_3_VERSION);
    SSL_set_max_proto_version(link.ssl, ways.tls13 ? TLS1_3_VERSION : TLS1_2_VERSION);
    SSL_set_num_tickets(link.ssl, static_cast<std::size_t>(ways.ticketsEach));
    if (ways.forgetTickets) {
        unsigned char keys[80];
        const long size = SSL_CTX_get_tlsext_ticket_keys(context.get(), nullptr, 0);
        assert(size <= static_cast<long>(sizeof keys));
        for (auto& each : keys) each = static_cast<unsigned char>(link.number * 31 + (&each - keys));
        SSL_CTX_set_tlsext_ticket_keys(context.get(), keys, size);
    }
    if (SSL_accept(link.ssl) != 1) {
        ++refused_;
        return false;
    }
    ++(SSL_session_reused(link.ssl) ? resumed_ : full_);
    const std::shared_ptr<X509> client(SSL_get1_peer_certificate(link.ssl), X509_free);
    if (client) {
        char name[256] = "";
        X509_NAME_oneline(X509_get_subject_name(client.get()), name, sizeof name);
        const std::lock_guard hold(lock_);
        seen_ = name;
    }
    return true;
}

void Store::answer(Link& link, const std::string& text, const Ways& ways) {
    std::string id;
    bool whole = false;
    readMarks(
        text,
        [&](std::string_view name, std::string_view value) {
            if (name == "id") id = value;
        },
        whole);
    if (!id.empty()) audit_.launched(id), ++launches_;
    ++statements_;
    happened();
    if (ways.stallInAnswer) return link.waitForEnd();
    std::this_thread::sleep_for(ways.takes);  // the time that the work takes
    std::string bytes = End::row("for " + id);
    postgres::putSetting(bytes, "role", role_);
    postgres::putReady(bytes);
    if (ways.cutInAnswer) {
        link.give(std::string_view(bytes).substr(0, bytes.size() / 2));
        ::shutdown(link.fd, SHUT_RDWR);
        return;
    }
    link.give(bytes);
}

void Store::serve(int fd, int number) {
    ++open_;
    {
        Link link{fd, number};
        Ways ways;
        const auto look = [&] {
            const std::lock_guard hold(lock_);
            ways = ways_;
        };
        look();
        if (shake(link, ways)) {
            happened();
            std::string hello(4, '\0');
            bool on = link.take(hello.data(), 4);
            if (on) {
                std::string rest(postgres::number(hello) - 4, '\0');
                on = link.take(rest.data(), rest.size());
            }
            if (on && ways.stallAt == 3) link.waitForEnd(), on = false;
            if (on && ways.resetAt == 3) link.reset(), on = false;
            std::string welcome;
            postgres::putMessage(welcome, 'R', std::string(4, '\0'));
            postgres::putReady(welcome);
            on = on && link.give(welcome);
            while (on) {
                std::string head(5, '\0');
                if (!link.take(head.data(), 5)) break;
                std::string body(postgres::number(std::string_view(head).substr(1)) - 4, '\0');
                if (!link.take(body.data(), body.size())) break;
                if (head[0] != 'Q') break;
                look();
                answer(link, body.substr(0, body.size() - 1), ways);
            }
        }
        if (link.ssl && !over_) SSL_shutdown(link.ssl);
        ERR_clear_error();
        const std::lock_guard hold(lock_);
        std::erase(fds_, fd);
        ::close(fd);
    }
    --open_;
    happened();
}

}  // namespace granitereel::standins
