#include "trust_store.hpp"

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

// Holds some hundreds of certificates; a larger file is a mistake.
constexpr std::size_t maxFileBytes = 1 << 20;

// Checks the permissions on the open descriptor, so that the file checked is the file read.
std::string readFile(const std::string& file, bool isPrivateKey) {
    const int fd = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) throw CertificateError(file + ": can't be read");
    const std::unique_ptr<const int, void (*)(const int*)> closer(
        &fd, [](const int* descriptor) { ::close(*descriptor); });
    struct stat status {};
    if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode))
        throw CertificateError(file + ": not a regular file");
    if (isPrivateKey && (status.st_mode & (S_IRWXO | S_IWGRP | S_IXGRP)))
        throw CertificateError(file + ": others may read it");
    if (isPrivateKey && (status.st_mode & S_IRGRP) && status.st_uid != 0)
        throw CertificateError(file + ": readable by its group, but not owned by root");
    std::string content;
    char buffer[16384];
    for (ssize_t bytesRead; (bytesRead = ::read(fd, buffer, sizeof buffer)) != 0;) {
        if (bytesRead < 0) throw CertificateError(file + ": can't be read");
        content.append(buffer, static_cast<std::size_t>(bytesRead));
        if (content.size() > maxFileBytes) throw CertificateError(file + ": larger than 1 MiB");
    }
    return content;
}

Bio memoryBio(const std::string& content) {
    return {BIO_new_mem_buf(content.data(), static_cast<int>(content.size())), &BIO_free};
}

// Calls `readEntry` until it finds no further entry. An entry that begins but can't be parsed is an error:
// the file may be only partly written.
void readPemEntries(const std::string& file, const char* entryKind, const std::function<bool()>& readEntry) {
    ERR_clear_error();
    int found = 0;
    while (readEntry()) ++found;
    const unsigned long errorCode = ERR_peek_last_error();
    const bool atEnd =
        ERR_GET_LIB(errorCode) == ERR_LIB_PEM && ERR_GET_REASON(errorCode) == PEM_R_NO_START_LINE;
    if (!atEnd)
        throw CertificateError(file + ": entry " + std::to_string(found + 1) + ": " + popOpenSslError());
    ERR_clear_error();
    if (found == 0) throw CertificateError(file + ": holds no " + entryKind);
}

std::time_t toTime(const ASN1_TIME* time) {
    std::tm calendarTime{};
    return ASN1_TIME_to_tm(time, &calendarTime) == 1 ? ::timegm(&calendarTime) : 0;
}

void addToDigest(std::string& digest, const std::string& content) {
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned size = 0;
    EVP_Digest(content.data(), content.size(), hash, &size, EVP_sha256(), nullptr);
    digest.append(reinterpret_cast<char*>(hash), size);
}

}  // namespace

std::string popOpenSslError() {
    const unsigned long errorCode = ERR_peek_last_error();
    const char* reason = ERR_reason_error_string(errorCode);
    ERR_clear_error();
    return reason ? reason : "no reason given";
}

std::time_t expiryOf(X509* certificate) {
    return toTime(X509_get0_notAfter(certificate));
}

std::string describeCertificate(X509* certificate) {
    if (!certificate) return "no certificate";
    const Bio out(BIO_new(BIO_s_mem()), &BIO_free);
    // Stays on one line whatever the name holds: control characters and non-ASCII characters are escaped.
    X509_NAME_print_ex(out.get(), X509_get_subject_name(certificate), 0, XN_FLAG_RFC2253);
    BIO_puts(out.get(), ", serial ");
    i2a_ASN1_INTEGER(out.get(), X509_get0_serialNumber(certificate));
    char* text = nullptr;
    const long length = BIO_get_mem_data(out.get(), &text);
    std::string description = "subject " + std::string(text, static_cast<std::size_t>(length));
    const std::time_t end = expiryOf(certificate);
    char date[32] = "";
    std::tm calendarTime{};
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&end, &calendarTime));
    // A name may be long; its distinguishing part comes early.
    if (description.size() > 300) description.resize(300);
    return description + ", good until " + date;
}

TrustStore::TrustStore(const fittings::TlsToStores& settings, std::time_t now)
    : context_(SSL_CTX_new(TLS_client_method())) {
    if (!context_) throw CertificateError("TLS: " + popOpenSslError());
    SSL_CTX* const context = context_.get();
    const bool allowTls12 = settings.oldest_version() == fittings::TlsToStores::TLS_1_2 && !settings.direct();
    SSL_CTX_set_min_proto_version(context, allowTls12 ? TLS1_2_VERSION : TLS1_3_VERSION);
    SSL_CTX_set_options(context, SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION);
    // Frees the buffers of idle connections, and lets a write be retried with the same bytes at another
    // address.
    SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS | SSL_MODE_ENABLE_PARTIAL_WRITE |
                                  SSL_MODE_ACCEPT_MOVING_WRITE_BUFFER);
    // Reads the header and body of a record with one system call.
    SSL_CTX_set_read_ahead(context, 1);
    SSL_CTX_set_verify(context, SSL_VERIFY_PEER, nullptr);
    SSL_CTX_set_verify_depth(context, static_cast<int>(settings.longest_chain()));

    X509_STORE* const store = SSL_CTX_get_cert_store(context);
    std::string content = readFile(settings.trust(), false);
    addToDigest(digest_, content);
    Bio input = memoryBio(content);
    bool anyUnexpired = false;
    readPemEntries(settings.trust(), "certificate", [&] {
        std::unique_ptr<X509, Free> certificate(PEM_read_bio_X509(input.get(), nullptr, nullptr, nullptr));
        if (!certificate) return false;
        anyUnexpired = anyUnexpired || expiryOf(certificate.get()) > now;
        X509_STORE_add_cert(store, certificate.get());
        certificates_.push_back(std::move(certificate));
        return true;
    });
    if (!anyUnexpired) throw CertificateError(settings.trust() + ": all certificates in it have expired");
    // Each certificate in the file is a trust anchor, also one that is signed by another.
    unsigned long flags = X509_V_FLAG_PARTIAL_CHAIN;
    if (settings.has_revoked()) {
        content = readFile(settings.revoked(), false);
        addToDigest(digest_, content);
        input = memoryBio(content);
        readPemEntries(settings.revoked(), "revocation list", [&] {
            const RevocationList revocationList(PEM_read_bio_X509_CRL(input.get(), nullptr, nullptr, nullptr),
                                                &X509_CRL_free);
            if (!revocationList) return false;
            const ASN1_TIME* const nextUpdate = X509_CRL_get0_nextUpdate(revocationList.get());
            if (nextUpdate && toTime(nextUpdate) < now)
                throw CertificateError(settings.revoked() + ": a revocation list in it has expired");
            X509_STORE_add_crl(store, revocationList.get());
            return true;
        });
        flags |= X509_V_FLAG_CRL_CHECK | X509_V_FLAG_CRL_CHECK_ALL;
    }
    X509_STORE_set_flags(store, flags);

    if (!settings.has_certificate()) return;
    content = readFile(settings.certificate(), false);
    addToDigest(digest_, content);
    input = memoryBio(content);
    bool first = true;
    readPemEntries(settings.certificate(), "certificate", [&] {
        std::unique_ptr<X509, Free> certificate(PEM_read_bio_X509(input.get(), nullptr, nullptr, nullptr));
        if (!certificate) return false;
        if (expiryOf(certificate.get()) <= now || toTime(X509_get0_notBefore(certificate.get())) > now)
            throw CertificateError(settings.certificate() +
                                   ": not good now: " + describeCertificate(certificate.get()));
        if (first && SSL_CTX_use_certificate(context, certificate.get()) != 1)
            throw CertificateError(settings.certificate() + ": " + popOpenSslError());
        if (!first) SSL_CTX_add1_chain_cert(context, certificate.get());
        if (std::exchange(first, false)) certificates_.push_back(std::move(certificate));
        return true;
    });
    content = readFile(settings.key(), true);
    addToDigest(digest_, content);
    input = memoryBio(content);
    // An encrypted key is refused: there is nobody to enter the passphrase.
    const auto noPassphrase = [](char*, int, int, void*) { return -1; };
    const Key key(PEM_read_bio_PrivateKey(input.get(), nullptr, noPassphrase, nullptr), &EVP_PKEY_free);
    if (!key) throw CertificateError(settings.key() + ": " + popOpenSslError());
    if (SSL_CTX_use_PrivateKey(context, key.get()) != 1 || SSL_CTX_check_private_key(context) != 1)
        throw CertificateError(settings.key() + ": does not belong to " + settings.certificate() + ": " +
                               popOpenSslError());
}

std::vector<std::string> TrustStore::expiringBefore(std::time_t limit) const {
    std::vector<std::string> expiring;
    for (const auto& certificate : certificates_)
        if (expiryOf(certificate.get()) < limit) expiring.push_back(describeCertificate(certificate.get()));
    return expiring;
}

}  // namespace granitereel::tls
