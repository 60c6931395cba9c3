// The trusted certificates, revocation lists and client certificate of a proxy, read from files. They are
// loaded and validated as a whole, or not at all.
#pragma once

#include <openssl/ssl.h>

#include <ctime>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "fittings/fittings.hpp"

namespace granitereel::tls {

// A certificate, key or revocation list can't be used; the message says why and names the file, if any.
struct CertificateError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class TrustStore {
public:
    // Reads and validates all files. Throws CertificateError.
    TrustStore(const fittings::TlsToStores& settings, std::time_t now);

    SSL_CTX* context() const { return context_.get(); }
    // Hash of the contents of all files, to detect changes.
    const std::string& digest() const { return digest_; }
    // Describes each certificate that expires before `limit`.
    std::vector<std::string> expiringBefore(std::time_t limit) const;

private:
    struct Free {
        void operator()(SSL_CTX* context) const { SSL_CTX_free(context); }
        void operator()(X509* certificate) const { X509_free(certificate); }
    };
    std::unique_ptr<SSL_CTX, Free> context_;
    // The trusted certificates, then the client certificate, if there is one.
    std::vector<std::unique_ptr<X509, Free>> certificates_;
    std::string digest_;
};

// For log lines: 'subject CN=..., serial 1A, good until 2027-01-31T00:00:00Z'.
std::string describeCertificate(X509* certificate);
// OpenSSL's reason for its last error on this thread; clears the thread's error queue.
std::string popOpenSslError();
// The notAfter time; 0 if it can't be parsed.
std::time_t expiryOf(X509* certificate);

}  // namespace granitereel::tls
