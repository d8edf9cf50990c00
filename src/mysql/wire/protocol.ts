/**
 * Numbers of the MySQL client/server protocol that both ends of the proxy use. Source: MySQL internals manual,
 * "Client/Server Protocol". Numbers that only one module needs stand there.
 */

/** Longest payload of one packet, in bytes; a longer one is sent in parts. */
export const MAXIMUM_PAYLOAD_BYTES = 0xffffff;

/** First byte of an OK packet. */
export const OK_MARKER = 0;

/** First byte of a value in a text row that stands for SQL NULL. */
export const NULL_MARKER = 0xfb;

/** Command bytes. */
export const Command = {
  quit: 1,
  initDb: 2,
  query: 3,
  statistics: 9,
  ping: 14,
  prepare: 22,
  execute: 23,
  sendLongData: 24,
  closeStatement: 25,
  resetStatement: 26,
  setOption: 27,
  resetConnection: 31,
} as const;

/** Status flags of OK and EOF packets. */
export const StatusFlag = {
  inTransaction: 0x1,
  autocommit: 0x2,
  moreResults: 0x8,
  sessionStateChanged: 0x4000,
} as const;

/** Type of the entry of an OK packet's session state that holds GTIDs. */
export const SESSION_TRACK_GTIDS = 3;

/** Numbers of character sets. */
export const CharacterSet = {
  utf8mb4: 45,
  binary: 63,
} as const;

/** Column and parameter types that matter here. */
export const FieldType = {
  tiny: 1,
  short: 2,
  long: 3,
  float: 4,
  double: 5,
  null: 6,
  timestamp: 7,
  longLong: 8,
  int24: 9,
  date: 10,
  time: 11,
  dateTime: 12,
  year: 13,
  blob: 252,
  varString: 253,
} as const;

/** Error numbers of MySQL that this project answers with or tells apart. */
export const MysqlError = {
  tooManyConnections: 1040,
  accessDenied: 1045,
  unknownCommand: 1047,
  duplicateEntry: 1062,
  noSuchThread: 1094,
  noSuchTable: 1146,
  unknownStatement: 1243,
  tooManyPreparedStatements: 1461,
} as const;
