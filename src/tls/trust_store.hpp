// What a front trusts and who it is, as read from files: taken whole after checks, or not at all.
#pragma once

#include <openssl/ssl.h>

#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "fittings/fittings.hpp"

namespace granitereel::tls {

// The files can't be used; the text names the file and says why.
struct CertificateError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class TrustStore {
public:
    // Reads and checks all files. Throws Untrusted.
    TrustStore(const fittings::TlsToStores& settings, std::time_t now);

    SSL_CTX* context() const { return context_.get(); }
    // The same for the same files: whether anything has changed.
    const std::string& digest() const { return digest_; }
    // Certificates that run out before `then`, a line on each.
    std::vector<std::string> expiringBefore(std::time_t limit) const;

private:
    struct Free {
        void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
        void operator()(X509* certificate) const { X509_free(certificate); }
    };
    std::unique_ptr<SSL_CTX, Free> context_;
    std::vector<std::unique_ptr<X509, Free>>
        certificates_;  // trusted ones, and the own one last where there is one
    std::string digest_;
};

// 'subject CN=..., serial 1A, good until 2027-01-31T00:00:00Z'; of what a peer shows.
std::string describeCertificate(X509* certificate);
// The last error of the library on this thread, in its words; the queue is empty after it.
std::string popOpenSslError();
std::time_t expiryOf(X509* certificate);

}  // namespace granitereel::tls
