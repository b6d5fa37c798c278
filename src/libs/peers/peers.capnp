@0xc5e0a7d21b94f836;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("clementinefall::peers::wire");

# First object on a connection. It gives nothing away before both sides have proved that they hold the cluster key.
interface Gate {
  # code is 0, or 8003 when the version ranges do not overlap. proof is the server's answer to the client's nonce.
  hello @0 (minimumVersion :UInt16, maximumVersion :UInt16, nonce :Data, name :Text, incarnation :UInt64)
      -> (code :UInt16, version :UInt16, nonce :Data, proof :Data);
  # code is 0, or 8002 when the proof is wrong.
  authenticate @1 (proof :Data) -> (code :UInt16, peer :Peer);
}

enum BundleKind {
  none @0;
  delta @1;
  full @2;
}

struct SignOff {
  signer @0 :Text;
  signature @1 :Data;
}

interface Peer {
  # kind is none when the caller's bundle is not older. A delta applies to haveVersion with haveDigest, and is sent only to
  # callers that accept it.
  getBundle @0 (haveVersion :UInt64, haveDigest :Data, acceptsDelta :Bool)
      -> (kind :BundleKind, version :UInt64, digest :Data, content :Data, signOffs :List(SignOff));
  announce @1 (version :UInt64, digest :Data) -> ();
  reportCrash @2 (service :Text, server :Text, fingerprint :Data, weight :Float64) -> ();
  status @3 (content :Data) -> (content :Data);
}
