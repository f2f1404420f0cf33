@0xd3b6a1f0c2e94587;
# RPC interface between the nodes of one fleet.
#
# A connection starts at `Gate`, which returns a `Session` only to a peer that proved
# that it holds a key of the fleet. Fields are only added, and only at the end, so that
# nodes of different releases understand each other.

struct Identity {
  version @0 :UInt16;       # newest protocol version that the sender supports
  minVersion @1 :UInt16;    # oldest version that it supports
  nonce @2 :Data;           # random bytes, new for each connection
  member @3 :Data;          # membership record of the sender, msgpack
  sentAt @4 :Float64;       # by the sender's clock, in seconds
}

interface Gate {
  hello @0 (identity :Identity) -> (identity :Identity, proof :Data, code :UInt16);
  authenticate @1 (proof :Data, back :Session) -> (session :Session, code :UInt16);
}

interface Session {
  probe @0 (sentAt :Float64) -> ();
  probeIndirectly @1 (vm :Text, timeoutMs :UInt32) -> (reached :Bool);
  exchange @2 (message :Data, sentAt :Float64) -> (answer :Data, sentAt :Float64, code :UInt16);
  call @3 (method :Text, payload :Data) -> (payload :Data, code :UInt16, message :Text);
}
