#include "peers/challenge.h"

#include <sodium.h>

namespace clementinefall::peers {

std::string makeNonce()
{
    std::string nonce(nonceBytes, '\0');
    randombytes_buf(nonce.data(), nonce.size());
    return nonce;
}

std::string makeProof(
    const ClusterKey& key, Side side, std::uint16_t version, std::string_view clientNonce, std::string_view serverNonce)
{
    std::string text = side == Side::Client ? "clementinefall peer client" : "clementinefall peer server";
    text.push_back(static_cast<char>(version >> 8U));
    text.push_back(static_cast<char>(version & 0xffU));
    text.append(clientNonce);
    text.append(serverNonce);
    std::string proof(crypto_generichash_BYTES, '\0');
    crypto_generichash(reinterpret_cast<unsigned char*>(proof.data()), proof.size(),
        reinterpret_cast<const unsigned char*>(text.data()), text.size(), key.data(), key.size());
    return proof;
}

bool isSameProof(std::string_view expected, std::string_view received)
{
    return expected.size() == received.size() && sodium_memcmp(expected.data(), received.data(), expected.size()) == 0;
}

} // namespace clementinefall::peers
