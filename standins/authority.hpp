// Makes certificates for stand-ins: sound ones, and ones that are wrong in a named way.
#pragma once

#include <openssl/x509.h>

#include <memory>
#include <string>
#include <vector>

namespace granitereel::standins {

// A certificate and its key, both as PEM.
struct Identity {
    std::string certificate, key;
};

class Authority {
public:
    explicit Authority(const std::string& name, const Authority* above = nullptr);

    struct Wish {
        std::string name;              // the DNS name; where it is digits and dots, an IP address
        long from = -3600, to = 3600;  // seconds from now
        std::string usage = "serverAuth";
        bool commonNameAlone = false;
    };
    Identity issue(const Wish& wish);
    Identity issue(const std::string& name) { return issue(Wish{name}); }
    Identity selfSigned(const std::string& name);
    // A revocation list with these certificates (PEM), good for an hour.
    std::string revoke(const std::vector<std::string>& certificates);
    const std::string& certificate() const { return certificate_; }

private:
    std::shared_ptr<EVP_PKEY> key_;
    std::shared_ptr<X509> own_;
    std::string certificate_;
};

}  // namespace granitereel::standins
