/**
 * Messages between the daemons of one deployment.
 *
 * A peer speaks only about facts that the table service confirms or that expire by themselves, so a
 * lost, late or repeated message never breaks a promise: it only delays news.
 */
namespace java org.peridotcourse.wire

/** What a daemon says about itself. Sent with every exchange. */
struct PeerHello {
  1: string daemon
  2: string dataCentre
  /** Distinguishes two runs of a daemon at the same address; larger is later. */
  3: i64 incarnation
  4: bool leaving
  5: i64 configVersion
  /** Milliseconds since the sender last saw the table service confirm configVersion. */
  6: i64 configAgeMillis
}

/** One row of an accepted configuration, in the JSON form in which the table service holds it. */
struct ConfigRow {
  1: string table
  2: string key
  /** Absent when the row was removed. */
  3: optional string value
}

/** Rows that turn configuration `fromVersion` into `toVersion`. A full copy has fromVersion 0. */
struct ConfigDelta {
  1: i64 fromVersion
  2: i64 toVersion
  3: list<ConfigRow> rows
}

/** What the sender knows of the backend servers' load and state. */
struct BackendNote {
  1: string backend
  2: bool leaving
  /** Milliseconds since the sender learned this from the backend server or the host list. */
  3: i64 ageMillis
}

struct ExchangeRequest {
  1: PeerHello sender
  2: list<BackendNote> backends
  /** Present when the sender knows that the receiver has an older configuration. */
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
