/**
 * Messages between the daemons of one deployment.
 *
 * Messages carry only facts that the table service confirms or that expire by themselves. A lost,
 * late or repeated message therefore delays updates, but violates no guarantee.
 */
namespace java org.peridotcourse.wire

/** Identity and configuration version of a daemon. Sent with every exchange. */
struct PeerHello {
  1: string daemon
  2: string dataCentre
  /** Distinguishes runs of a daemon at the same address; a later run has a larger number. */
  3: i64 incarnation
  4: bool leaving
  5: i64 configVersion
  /** Age in milliseconds of the last confirmation of configVersion by the table service. */
  6: i64 configAgeMillis
}

/** One row of an accepted configuration, in the JSON form in which the table service holds it. */
struct ConfigRow {
  1: string table
  2: string key
  /** Absent if the row was deleted. */
  3: optional string value
}

/** Rows that turn configuration `fromVersion` into `toVersion`. A full copy has fromVersion 0. */
struct ConfigDelta {
  1: i64 fromVersion
  2: i64 toVersion
  3: list<ConfigRow> rows
}

/** State of one backend server as last recorded by the sender. */
struct BackendNote {
  1: string backend
  2: bool leaving
  /** Milliseconds since the sender received this state from the backend server or the host list. */
  3: i64 ageMillis
}

struct ExchangeRequest {
  1: PeerHello sender
  2: list<BackendNote> backends
  /** Present if the receiver last reported an older configuration than that of the sender. */
  3: optional ConfigDelta delta
}

struct ExchangeReply {
  1: PeerHello sender
  2: list<BackendNote> backends
  3: optional ConfigDelta delta
}

service Peer {
  ExchangeReply exchange(1: ExchangeRequest request)
}
