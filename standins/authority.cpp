#include "authority.hpp"

#undef NDEBUG
#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <atomic>
#include <cassert>

namespace granitereel::standins {

namespace {

std::shared_ptr<EVP_PKEY> newKey() {
    return {EVP_EC_gen("P-256"), EVP_PKEY_free};
}

template <class Write>
std::string pem(Write write) {
    const std::unique_ptr<BIO, decltype(&BIO_free)> out(BIO_new(BIO_s_mem()), &BIO_free);
    assert(write(out.get()) == 1);
    char* text = nullptr;
    const long length = BIO_get_mem_data(out.get(), &text);
    return {text, static_cast<std::size_t>(length)};
}

std::string pemOf(X509* certificate) {
    return pem([&](BIO* out) { return PEM_write_bio_X509(out, certificate); });
}
std::string pemOf(EVP_PKEY* key) {
    return pem(
        [&](BIO* out) { return PEM_write_bio_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr); });
}

void extend(X509* certificate, X509* issuer, int what, const std::string& value) {
    X509V3_CTX with;
    X509V3_set_ctx(&with, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* const made = X509V3_EXT_conf_nid(nullptr, &with, what, value.c_str());
    assert(made);
    X509_add_ext(certificate, made, -1);
    X509_EXTENSION_free(made);
}

std::shared_ptr<X509> blank(const std::string& name, EVP_PKEY* key, long from, long to) {
    static std::atomic<long> serial{1000};
    std::shared_ptr<X509> made(X509_new(), X509_free);
    X509_set_version(made.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(made.get()), from);
    X509_gmtime_adj(X509_getm_notAfter(made.get()), to);
    X509_NAME_add_entry_by_txt(X509_get_subject_name(made.get()), "CN", MBSTRING_UTF8,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_pubkey(made.get(), key);
    return made;
}

}  // namespace

Authority::Authority(const std::string& name, const Authority* above) : key_(newKey()) {
    own_ = blank(name, key_.get(), -7200, 7 * 24 * 3600);
    X509* const issuer = above ? above->own_.get() : own_.get();
    X509_set_issuer_name(own_.get(), X509_get_subject_name(issuer));
    extend(own_.get(), issuer, NID_basic_constraints, "critical,CA:TRUE");
    extend(own_.get(), issuer, NID_key_usage, "critical,keyCertSign,cRLSign");
    extend(own_.get(), issuer, NID_subject_key_identifier, "hash");
    assert(X509_sign(own_.get(), above ? above->key_.get() : key_.get(), EVP_sha256()) > 0);
    certificate_ = pemOf(own_.get());
}

Identity Authority::issue(const Wish& wish) {
    const auto key = newKey();
    const auto made = blank(wish.name, key.get(), wish.from, wish.to);
    X509_set_issuer_name(made.get(), X509_get_subject_name(own_.get()));
    const bool address = wish.name.find_first_not_of("0123456789.") == std::string::npos;
    if (!wish.commonNameAlone)
        extend(made.get(), own_.get(), NID_subject_alt_name, (address ? "IP:" : "DNS:") + wish.name);
    extend(made.get(), own_.get(), NID_ext_key_usage, wish.usage);
    assert(X509_sign(made.get(), key_.get(), EVP_sha256()) > 0);
    return {pemOf(made.get()), pemOf(key.get())};
}

Identity Authority::selfSigned(const std::string& name) {
    const auto key = newKey();
    const auto made = blank(name, key.get(), -3600, 3600);
    X509_set_issuer_name(made.get(), X509_get_subject_name(made.get()));
    extend(made.get(), made.get(), NID_subject_alt_name, "DNS:" + name);
    assert(X509_sign(made.get(), key.get(), EVP_sha256()) > 0);
    return {pemOf(made.get()), pemOf(key.get())};
}

std::string Authority::revoke(const std::vector<std::string>& certificates) {
    const std::shared_ptr<X509_CRL> list(X509_CRL_new(), X509_CRL_free);
    X509_CRL_set_version(list.get(), 1);
    X509_CRL_set_issuer_name(list.get(), X509_get_subject_name(own_.get()));
    const std::shared_ptr<ASN1_TIME> at(X509_gmtime_adj(nullptr, -60), ASN1_TIME_free);
    const std::shared_ptr<ASN1_TIME> next(X509_gmtime_adj(nullptr, 3600), ASN1_TIME_free);
    X509_CRL_set1_lastUpdate(list.get(), at.get());
    X509_CRL_set1_nextUpdate(list.get(), next.get());
    for (const std::string& each : certificates) {
        const std::shared_ptr<BIO> in(BIO_new_mem_buf(each.data(), static_cast<int>(each.size())), BIO_free);
        const std::shared_ptr<X509> certificate(PEM_read_bio_X509(in.get(), nullptr, nullptr, nullptr),
                                                X509_free);
        X509_REVOKED* const entry = X509_REVOKED_new();
        X509_REVOKED_set_serialNumber(entry, X509_get_serialNumber(certificate.get()));
        X509_REVOKED_set_revocationDate(entry, at.get());
        X509_CRL_add0_revoked(list.get(), entry);
    }
    X509_CRL_sort(list.get());
    assert(X509_CRL_sign(list.get(), key_.get(), EVP_sha256()) > 0);
    return pem([&](BIO* out) { return PEM_write_bio_X509_CRL(out, list.get()); });
}

}  // namespace granitereel::standins
