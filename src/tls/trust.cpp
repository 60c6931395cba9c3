#include "trust.hpp"

#include <fcntl.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/stat.h>
#include <unistd.h>

#include <functional>

namespace granitereel::tls {

namespace {

using Bio = std::unique_ptr<BIO, decltype(&BIO_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;
using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using RevocationList = std::unique_ptr<X509_CRL, decltype(&X509_CRL_free)>;

// A megabyte holds some hundreds of certificates; more is not what was meant.
constexpr std::size_t longestFile = 1 << 20;

// What is checked is what is read: the file's rights are those of the descriptor.
std::string contentOf(const std::string& file, bool secret) {
    const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) throw Untrusted(file + ": can't be read");
    const std::unique_ptr<const int, void (*)(const int*)> closes(&fd,
                                                                  [](const int* open) { ::close(*open); });
    struct stat about {};
    if (::fstat(fd, &about) != 0 || !S_ISREG(about.st_mode)) throw Untrusted(file + ": no ordinary file");
    if (secret && (about.st_mode & (S_IRWXO | S_IWGRP | S_IXGRP)))
        throw Untrusted(file + ": others may read it");
    if (secret && (about.st_mode & S_IRGRP) && about.st_uid != 0)
        throw Untrusted(file + ": its group may read it, and it is not root's");
    std::string content;
    char bytes[16384];
    for (ssize_t got; (got = ::read(fd, bytes, sizeof bytes)) != 0;) {
        if (got < 0) throw Untrusted(file + ": can't be read");
        content.append(bytes, static_cast<std::size_t>(got));
        if (content.size() > longestFile) throw Untrusted(file + ": too long");
    }
    return content;
}

Bio over(const std::string& content) {
    return {BIO_new_mem_buf(content.data(), static_cast<int>(content.size())), &BIO_free};
}

// Calls `each` until it finds no further entry. An entry that begins and can't be read is a fault: the file
// may be half written.
void readAll(const std::string& file, const char* what, const std::function<bool()>& each) {
    ERR_clear_error();
    int found = 0;
    while (each()) ++found;
    const unsigned long why = ERR_peek_last_error();
    const bool atEnd = ERR_GET_LIB(why) == ERR_LIB_PEM && ERR_GET_REASON(why) == PEM_R_NO_START_LINE;
    if (!atEnd) throw Untrusted(file + ": entry " + std::to_string(found + 1) + ": " + lastFault());
    ERR_clear_error();
    if (found == 0) throw Untrusted(file + ": holds no " + what);
}

std::time_t timeOf(const ASN1_TIME* at) {
    std::tm parts{};
    return ASN1_TIME_to_tm(at, &parts) == 1 ? ::timegm(&parts) : 0;
}

void addTo(std::string& digest, const std::string& content) {
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    EVP_Digest(content.data(), content.size(), hash, &size, EVP_sha256(), nullptr);
    digest.append(reinterpret_cast<char*>(hash), size);
}

}  // namespace

std::string lastFault() {
    const unsigned long why = ERR_peek_last_error();
    const char* words = ERR_reason_error_string(why);
    ERR_clear_error();
    return words ? words : "no reason told";
}

std::time_t endOf(X509* certificate) {
    return timeOf(X509_get0_notAfter(certificate));
}

std::string describe(X509* certificate) {
    if (!certificate) return "no certificate";
    const Bio out(BIO_new(BIO_s_mem()), &BIO_free);
    // One line whatever is in the name: control characters and all beyond ASCII are escaped.
    X509_NAME_print_ex(out.get(), X509_get_subject_name(certificate), 0, XN_FLAG_RFC2253);
    BIO_puts(out.get(), ", serial ");
    i2a_ASN1_INTEGER(out.get(), X509_get0_serialNumber(certificate));
    char* text = nullptr;
    const long length = BIO_get_mem_data(out.get(), &text);
    std::string said = "subject " + std::string(text, static_cast<std::size_t>(length));
    const std::time_t end = endOf(certificate);
    char date[32] = "";
    std::tm parts{};
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&end, &parts));
    // A name may be long; what tells it apart comes early.
    if (said.size() > 300) said.resize(300);
    return said + ", good until " + date;
}

Trust::Trust(const fittings::TlsToStores& terms, std::time_t now)
    : context_(SSL_CTX_new(TLS_client_method())) {
    if (!context_) throw Untrusted("TLS: " + lastFault());
    SSL_CTX* const context = context_.get();
    const bool old = terms.oldest_version() == fittings::TlsToStores::TLS_1_2 && !terms.direct();
    SSL_CTX_set_min_proto_version(context, old ? TLS1_2_VERSION : TLS1_3_VERSION);
    SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
    // Buffers of an idle connection are given back; writes are taken up again with the same bytes elsewhere.
    SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS | SSL_MODE_ENABLE_PARTIAL_WRITE |
                                  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    // A record's head and body by one call.
    SSL_CTX_set_read_ahead(context, 1);
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER, nullptr);
    SSL_CTX_set_verify_depth(context, static_cast<int>(terms.longest_chain()));

    X509_STORE* const store = SSL_CTX_get_cert_store(context);
    std::string content = contentOf(terms.trust(), false);
    addTo(digest_, content);
    Bio in = over(content);
    bool anyGood = false;
    readAll(terms.trust(), "certificate", [&] {
        std::unique_ptr<X509, Free> each(PEM_read_bio_X509(in.get(), nullptr, nullptr, nullptr));
        if (!each) return false;
        anyGood = anyGood || endOf(each.get()) > now;
        X509_STORE_add_cert(store, each.get());
        kept_.push_back(std::move(each));
        return true;
    });
    if (!anyGood) throw Untrusted(terms.trust() + ": all that it holds has run out");
    // Whoever is named there is trusted, also where it is signed by another in turn.
    unsigned long flags = X509_V_FLAG_PARTIAL_CHAIN;
    if (terms.has_revoked()) {
        content = contentOf(terms.revoked(), false);
        addTo(digest_, content);
        in = over(content);
        readAll(terms.revoked(), "revocation list", [&] {
            const RevocationList each(PEM_read_bio_X509_CRL(in.get(), nullptr, nullptr, nullptr),
                                      &X509_CRL_free);
            if (!each) return false;
            const ASN1_TIME* const next = X509_CRL_get0_nextUpdate(each.get());
            if (next && timeOf(next) < now) throw Untrusted(terms.revoked() + ": a list in it has run out");
            X509_STORE_add_crl(store, each.get());
            return true;
        });
        flags |= X509_V_FLAG_CRL_CHECK | X509_V_FLAG_CRL_CHECK_ALL;
    }
    X509_STORE_set_flags(store, flags);

    if (!terms.has_certificate()) return;
    content = contentOf(terms.certificate(), false);
    addTo(digest_, content);
    in = over(content);
    bool first = true;
    readAll(terms.certificate(), "certificate", [&] {
        std::unique_ptr<X509, Free> each(PEM_read_bio_X509(in.get(), nullptr, nullptr, nullptr));
        if (!each) return false;
        if (endOf(each.get()) <= now || timeOf(X509_get0_notBefore(each.get())) > now)
            throw Untrusted(terms.certificate() + ": not good now: " + describe(each.get()));
        if (first && SSL_CTX_use_certificate(context, each.get()) != 1)
            throw Untrusted(terms.certificate() + ": " + lastFault());
        if (!first) SSL_CTX_add1_chain_cert(context, each.get());
        if (std::exchange(first, false)) kept_.push_back(std::move(each));
        return true;
    });
    content = contentOf(terms.key(), true);
    addTo(digest_, content);
    in = over(content);
    // A key that asks for a passphrase can't be had: nobody is there to be asked.
    const auto nobody = [](char*, int, int, void*) { return -1; };
    const Key key(PEM_read_bio_PrivateKey(in.get(), nullptr, nobody, nullptr), &EVP_PKEY_free);
    if (!key) throw Untrusted(terms.key() + ": " + lastFault());
    if (SSL_CTX_use_PrivateKey(context, key.get()) != 1 || SSL_CTX_check_private_key(context) != 1)
        throw Untrusted(terms.key() + ": does not belong to " + terms.certificate() + ": " + lastFault());
}

std::vector<std::string> Trust::runOutBefore(std::time_t then) const {
    std::vector<std::string> found;
    for (const auto& each : kept_)
        if (endOf(each.get()) < then) found.push_back(describe(each.get()));
    return found;
}

}  // namespace granitereel::tls
